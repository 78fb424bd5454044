package faulty

import (
	"math/rand/v2"
	"time"
)

// Bounds bound the faults that SetRandom draws. Each is exclusive.
type Bounds struct {
	// Commits bounds how many commits are lost, dropped or late; at least 2.
	Commits int
	// Delay bounds the delay of each call.
	Delay time.Duration
	// Late bounds how late a late commit comes.
	Late time.Duration
}

// SetRandom sets one fault, each as likely as the others and as an end of all
// faults. The faults set before go on.
func (t *Table) SetRandom(random *rand.Rand, most Bounds) {
	commits := 1 + random.IntN(most.Commits-1)
	switch random.IntN(6) {
	case 0:
		t.SetDown(true)
	case 1:
		t.SetDelay(time.Duration(random.Int64N(int64(most.Delay))))
	case 2:
		t.LoseNext(commits)
	case 3:
		t.DropNext(commits)
	case 4:
		t.DelayNext(commits, time.Duration(random.Int64N(int64(most.Late))))
	default:
		t.Heal()
	}
}
