package gateway

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// retryBudget bounds the requests that one service is sent again, against those
// that callers sent for it, in every span of a window. Each host keeps the
// bound for its own traffic, so that the sum over all hosts keeps it too.
type retryBudget struct {
	ratio float64
	// spare returns the repeats of a window that are permitted whatever the requests.
	spare func() float64
	mu    sync.Mutex
	// slots hold the counts of equal parts of the window; slot i%n is of the
	// i-th part since start.
	slots []budgetSlot
	span  time.Duration
	start time.Time
}

type budgetSlot struct {
	number   int64
	requests int
	repeats  int
}

// spareRepeats is this host's part of the repeats that all hosts may make whatever the
// requests. A host that just started has few requests to count on, at a time when many of
// them break off. It has none before it has heard how many hosts there are; half of all
// stay unused, for hosts that aren't heard of yet.
func (g *Gateway) spareRepeats() float64 {
	hosts := g.hosts.Load()
	if hosts == 0 {
		return 0
	}
	const used = 0.5
	return used * g.settings.RetrySpare / float64(hosts)
}

// budgetSlots is how many parts a window is counted in.
const budgetSlots = 20

func newRetryBudget(ratio float64, window time.Duration, spare func() float64) *retryBudget {
	return &retryBudget{
		ratio: ratio,
		spare: spare,
		slots: make([]budgetSlot, budgetSlots+1),
		span:  window / budgetSlots,
		start: boottime.Now(),
	}
}

// request counts a caller's request.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// take counts a repeat and says whether it is within the budget. Repeats are
// counted over the window and the part that is under way, requests over the
// window without it, so that no span exceeds the ratio.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	requests, repeats := 0, 0
	for i := range b.slots {
		s := &b.slots[i]
		if now.number-s.number > budgetSlots {
			continue
		}
		repeats += s.repeats
		requests += s.requests
	}
	if float64(repeats+1) > b.ratio*float64(requests)+b.spare() {
		return false
	}
	now.repeats++
	return true
}

// current is the slot of this moment, cleared if it was of an earlier one.
func (b *retryBudget) current() *budgetSlot {
	number := int64(boottime.Since(b.start) / b.span)
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}
