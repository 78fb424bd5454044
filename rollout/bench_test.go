package rollout

import (
	"fmt"
	"testing"
)

// peersEvidence returns the exports of n hosts for one version.
func peersEvidence(n int) []Evidence {
	var list []Evidence
	clock := newClock()
	for i := range n {
		host := New(Options{Host: fmt.Sprint("host-", i), Clock: clock.Now, GrantedOnly: true})
		host.SetVersions([]VersionRule{testRule})
		for range 20 {
			host.Observe("m", "2", goodOutcome)
		}
		list = append(list, host.Export()...)
	}
	return list
}

func BenchmarkTakeAndObserve(b *testing.B) {
	tracker := newTracker("a", newClock(), testRule)
	for b.Loop() {
		tracker.Take("m", "2")
		tracker.Observe("m", "2", goodOutcome)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, hosts := range []int{7, 440} {
		b.Run(fmt.Sprint(hosts, "hosts"), func(b *testing.B) {
			tracker := newTracker("a", newClock(), testRule)
			tracker.Merge(peersEvidence(hosts))
			update := peersEvidence(1)
			for b.Loop() { // one peer's evidence changes
				update[0].Total.Answers++
				update[0].Segments[0].Counters.Answers++
				tracker.Merge(update)
			}
		})
	}
}

func BenchmarkExport440Hosts(b *testing.B) {
	tracker := newTracker("a", newClock(), testRule)
	tracker.Merge(peersEvidence(440))
	for b.Loop() {
		tracker.Export()
	}
}
