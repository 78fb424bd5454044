package entry

import (
	"testing"

	"github.com/quetzalweir/quetzalweir/membership"
)

func TestProcessesReplaced(t *testing.T) {
	running := membership.Fact{Key: factProcess + "entry-1", Version: 1, Value: []byte("entry-1/b"), TTL: processTTL}
	expired := membership.Fact{Key: running.Key, Version: 1, TTL: -1}
	tests := []struct {
		desc        string
		facts       []membership.Fact
		incarnation string
		want        bool
	}{
		{desc: "nothing known", incarnation: "entry-1/a"},
		{desc: "another process runs", facts: []membership.Fact{running}, incarnation: "entry-1/a", want: true},
		{desc: "this process runs", facts: []membership.Fact{running}, incarnation: "entry-1/b"},
		{desc: "the fact expired", facts: []membership.Fact{running, expired}, incarnation: "entry-1/a"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var p processes
			for _, f := range test.facts {
				p.update("entry-1", f)
			}
			if got := p.replaced("entry-1", test.incarnation); got != test.want {
				t.Errorf("replaced: %t", got)
			}
		})
	}
}
