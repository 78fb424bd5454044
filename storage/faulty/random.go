package faulty

import (
	"math/rand/v2"
	"time"
)

// Bounds holds the upper bounds, all exclusive, of the faults that
// SetRandomFault draws.
type Bounds struct {
	// Commits bounds the number of commits that a fault affects; at least 2.
	Commits int
	// Delay bounds the delay of each call.
	Delay time.Duration
	// Late bounds the time until a late commit takes effect.
	Late time.Duration
}

// SetRandomFault sets one random fault or ends all faults, each with the same
// probability. A new fault is added to those set before.
func (t *Table) SetRandomFault(random *rand.Rand, bounds Bounds) {
	commits := 1 + random.IntN(bounds.Commits-1)
	switch random.IntN(6) {
	case 0:
		t.SetDown(true)
	case 1:
		t.SetDelay(time.Duration(random.Int64N(int64(bounds.Delay))))
	case 2:
		t.LoseNextResponses(commits)
	case 3:
		t.DropNextCommits(commits)
	case 4:
		t.DelayNextCommits(commits, time.Duration(random.Int64N(int64(bounds.Late))))
	default:
		t.ClearFaults()
	}
}
