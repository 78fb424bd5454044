package admission

import (
	"testing"

	"github.com/matryer/is"
)

// TestSchedulerUnderOverload checks the conclusions of the experiment with
// one seed; the workload and all policies are deterministic.
func TestSchedulerUnderOverload(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var got metrics
			best := 0.0
			for _, c := range policies() {
				f := measure(s, run(s, c.make(), 1))
				if c.name == "admission" {
					got = f
				} else {
					best = max(best, f.goodput)
				}
			}
			is.True(got.goodput > best-0.01)                 // no baseline does more useful work
			is.True(got.inTime[0] > 0.97)                    // almost all reports are answered in time
			is.True(got.inTime[2] > 0.05)                    // narration isn't starved
			is.True(got.inTimeSmall >= got.inTimeLarge-0.02) // small accounts aren't crowded out
			is.True(got.late[0]+got.late[1]+got.late[2] < 0.06)
		})
	}
}
