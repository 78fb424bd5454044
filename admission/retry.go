package admission

import (
	"math"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// budgetWindow is the time constant with which unused retries are forgotten,
// so that a long quiet time doesn't pay for a storm.
const budgetWindow = 10 * time.Second

// RetryBudget bounds retries to a part of first attempts plus a small constant
// rate. It is safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	perSecond float64
	clock     storage.Clock

	mu      sync.Mutex
	balance float64
	at      time.Time
}

// NewRetryBudget returns a budget of ratio retries for each first attempt, and
// of perSecond retries a second besides. A nil clock means boottime.Now.
func NewRetryBudget(ratio, perSecond float64, clock storage.Clock) *RetryBudget {
	if clock == nil {
		clock = boottime.Now
	}
	return &RetryBudget{
		ratio:     ratio,
		perSecond: perSecond,
		clock:     clock,
		balance:   perSecond,
		at:        clock(),
	}
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	b.balance += b.ratio
}

// Withdraw takes one retry. If it returns false, the caller doesn't retry.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refresh lets the balance decay and adds the constant rate.
func (b *RetryBudget) refresh() {
	now := b.clock()
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	decay := math.Exp(-float64(elapsed) / float64(budgetWindow))
	rest := b.perSecond * budgetWindow.Seconds()
	if b.perSecond > 0 {
		// A balance that rests below 1 would never pay for a retry.
		rest = max(rest, 2)
	}
	b.balance = rest + (b.balance-rest)*decay
}
