package gateway

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// retryBudget bounds the retries of one service's requests relative to the requests that callers
// sent, in every span of a window. Each host keeps the bound for its own traffic, and thereby the
// sum over all hosts keeps it.
type retryBudget struct {
	ratio float64
	// spare returns the retries per window that are permitted regardless of the number of
	// requests.
	spare func() float64
	mu    sync.Mutex
	// slots hold the counts of equal parts of the window. slots[i%n] holds the i-th part since
	// start.
	slots []budgetSlot
	span  time.Duration
	start time.Time
}

type budgetSlot struct {
	number   int64
	requests int
	retries  int
}

// spareRetries returns this host's share of the retries that all hosts together may make
// regardless of the number of requests. A host that just started has few requests to base its
// budget on, at a time when many of them are cut off. The share is 0 until the number of hosts is
// known, and half of all spare retries stay unused, for hosts that aren't known yet.
func (g *Gateway) spareRetries() float64 {
	hosts := g.hostCount.Load()
	if hosts == 0 {
		return 0
	}
	const used = 0.5
	return used * g.settings.RetryHeadroom / float64(hosts)
}

// budgetSlots is the number of parts in which a window is counted.
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

// countRequest counts a caller's request.
func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// tryTake counts a retry and reports true if it is within the budget. Retries are counted over the
// window including the current part, requests over the window without it, so that no span exceeds
// the ratio.
func (b *retryBudget) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	requests, retries := 0, 0
	for i := range b.slots {
		s := &b.slots[i]
		if now.number-s.number > budgetSlots {
			continue
		}
		retries += s.retries
		requests += s.requests
	}
	if float64(retries+1) > b.ratio*float64(requests)+b.spare() {
		return false
	}
	now.retries++
	return true
}

// current returns the slot of the current part, cleared if it held an earlier one.
func (b *retryBudget) current() *budgetSlot {
	number := int64(boottime.Since(b.start) / b.span)
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}
