package admission

import (
	"math"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// budgetWindow is the time constant with which unused retries expire, so that the
// retries left over from a long quiet period can't cause a retry storm.
const budgetWindow = 10 * time.Second

// RetryBudget limits retries to a ratio of first attempts plus a small constant
// rate. It is safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	perSecond float64
	clock     storage.Clock

	mu        sync.Mutex
	balance   float64
	updatedAt time.Time
}

// NewRetryBudget returns a budget of ratio retries for each first attempt, plus
// perSecond retries a second. A nil clock means boottime.Now.
func NewRetryBudget(ratio, perSecond float64, clock storage.Clock) *RetryBudget {
	if clock == nil {
		clock = boottime.Now
	}
	return &RetryBudget{
		ratio:     ratio,
		perSecond: perSecond,
		clock:     clock,
		balance:   perSecond,
		updatedAt: clock(),
	}
}

// Deposit adds the retries that the budget allows for one first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decayBalance()
	b.balance += b.ratio
}

// Withdraw spends one retry. If it returns false, the budget is used up and the
// caller must not retry.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decayBalance()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// decayBalance moves the balance towards the value at which the constant rate of
// new retries equals the decay.
func (b *RetryBudget) decayBalance() {
	now := b.clock()
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	decay := math.Exp(-float64(elapsed) / float64(budgetWindow))
	equilibrium := b.perSecond * budgetWindow.Seconds()
	if b.perSecond > 0 {
		// With an equilibrium below 1, the balance would never allow a retry.
		equilibrium = max(equilibrium, 2)
	}
	b.balance = equilibrium + (b.balance-equilibrium)*decay
}
