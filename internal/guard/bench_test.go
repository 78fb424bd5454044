package guard

import (
	"fmt"
	"testing"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// BenchmarkAttempt measures what the guard adds to an attempt, by the number of parts of the prompt.
func BenchmarkAttempt(b *testing.B) {
	for _, partCount := range []int{0, 3, 32} {
		b.Run(fmt.Sprintf("parts=%d", partCount), func(b *testing.B) {
			g := newTestGuard("host", nil)
			var parts []quarantine.Digest
			for i := range partCount {
				parts = append(parts, quarantine.PartDigest(fmt.Sprint("part-", i)))
			}
			upstream := Upstream{ID: "u-1", Service: "service", Address: "127.0.0.1:1"}
			request := quarantine.PartDigest("request")
			b.ReportAllocs()
			for b.Loop() {
				if err := g.Admit(b.Context(), request, upstream.Service, parts...); err != nil {
					b.Fatal(err)
				}
				g.Begin(upstream, request, parts...)
				g.End(upstream, request, NotRun, parts...)
				g.Leave(request, parts...)
			}
		})
	}
}
