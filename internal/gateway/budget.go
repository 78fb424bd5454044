package gateway

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// retryBudget bounds the retries of a service's requests to a ratio of the requests that callers
// sent, in every time span as long as a window. Each host applies the ratio to its own traffic, so
// that the retries of all hosts together stay within the same ratio of all requests.
type retryBudget struct {
	ratio float64
	// spareRetries returns the number of retries per window that this host may make regardless of
	// the number of requests.
	spareRetries func() float64
	mu           sync.Mutex
	// slots holds the counts for equal parts of the window, which are slotDuration long.
	// slots[i%n], where n is the number of slots, holds the counts for the i-th part since start.
	slots        []budgetSlot
	slotDuration time.Duration
	start        time.Time
}

// budgetSlot holds the numbers of requests and retries in one part of the window. number is the
// index of the part, counted from the creation of the budget.
type budgetSlot struct {
	number   int64
	requests int
	retries  int
}

// spareRetries returns this host's share of the retries that all hosts together may make regardless
// of the number of requests. Without this share a host that just started could make few retries,
// because its budget is a ratio of the few requests that it has received so far, while many of
// these are cut off. The share is 0 until the number of hosts is known. Half of the spare retries
// stay unused, because there may be hosts that aren't counted yet.
func (g *Gateway) spareRetries() float64 {
	hosts := g.hostCount.Load()
	if hosts == 0 {
		return 0
	}
	const used = 0.5
	return used * g.settings.RetryHeadroom / float64(hosts)
}

// budgetSlots is the number of parts of a window that are counted separately.
const budgetSlots = 20

func newRetryBudget(ratio float64, window time.Duration, spare func() float64) *retryBudget {
	return &retryBudget{
		ratio:        ratio,
		spareRetries: spare,
		slots:        make([]budgetSlot, budgetSlots+1),
		slotDuration: window / budgetSlots,
		start:        boottime.Now(),
	}
}

// countRequest counts a caller's request.
func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceSlot().requests++
}

// tryTake reports whether a retry is within the budget, and counts it if so. Retries and requests
// are both counted over the current part of the window and the budgetSlots parts before it.
func (b *retryBudget) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.advanceSlot()
	if !b.hasRoom(now) {
		return false
	}
	now.retries++
	return true
}

// giveBack takes back a retry that tryTake counted and that isn't made. It is taken from the earliest part of the window with
// retries: the others then count for at least as long as they have to.
func (b *retryBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.advanceSlot()
	var earliest *budgetSlot
	for i := range b.slots {
		s := &b.slots[i]
		if s.retries > 0 && now.number-s.number <= budgetSlots && (earliest == nil || s.number < earliest.number) {
			earliest = s
		}
	}
	if earliest != nil {
		earliest.retries--
	}
}

// available reports whether tryTake would succeed now.
func (b *retryBudget) available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(b.advanceSlot())
}

func (b *retryBudget) hasRoom(now *budgetSlot) bool {
	requests, retries := b.counts(now)
	return float64(retries+1) <= b.ratio*float64(requests)+b.spareRetries()
}

// counts returns the requests and retries in the window.
func (b *retryBudget) counts(now *budgetSlot) (requests, retries int) {
	for i := range b.slots {
		s := &b.slots[i]
		if now.number-s.number > budgetSlots {
			continue
		}
		retries += s.retries
		requests += s.requests
	}
	return requests, retries
}

// advanceSlot returns the slot for the current part of the window. It clears the slot first if the
// slot holds the counts for an earlier part.
func (b *retryBudget) advanceSlot() *budgetSlot {
	number := int64(boottime.Since(b.start) / b.slotDuration)
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}
