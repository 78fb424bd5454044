package egress_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/egress"
)

// Open connections may go on while new ones are refused. They must not hide that.
func TestConnectionOpenedBeforeTheFailuresDoesNotEndThem(t *testing.T) {
	is := is.New(t)
	tr, start := egress.NewTracker(), time.Now()
	is.True(!tr.ConnectionFailed("10.0.0.1:80", start).Suspicious()) // a single upstream may have terminated
	is.True(tr.ConnectionFailed("10.0.0.2:80", start.Add(time.Millisecond)).Suspicious())
	is.Equal(tr.ConnectionUsable(start.Add(-time.Second)), egress.Failures{})
	is.True(tr.Failures().Suspicious())
	ended := tr.ConnectionUsable(start.Add(time.Second))
	is.Equal(ended, egress.Failures{Count: 2, Addresses: 2, Since: start})
	is.Equal(tr.Failures().Count, 0)
}
