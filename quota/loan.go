package quota

import (
	"context"
	"errors"
	"time"
)

// ErrNoLoan means that the lender has no slots to spare.
var ErrNoLoan = errors.New("quota: nothing to lend")

// LoanRequest asks another host for slots.
type LoanRequest struct {
	Account string `json:"account"`
	Slots   int    `json:"slots"`
}

// Loan is a number of slots for a time. The borrower counts the term from
// before it asked, the lender from after it agreed; so the slots have one
// spender at any time, though an answer may be lost.
type Loan struct {
	Slots int `json:"slots"`
	// Term is how long the loan lasts, in nanoseconds.
	Term time.Duration `json:"term"`
	// Tokens is the part of the lender's saved-up requests that goes along.
	Tokens float64 `json:"tokens"`
}

// Peers reaches other hosts.
type Peers interface {
	// Borrow hands the request to the Lend method of the host that holds
	// slots under the name of holder: Options.Host, a dot, and a suffix
	// without dots.
	Borrow(ctx context.Context, holder string, request LoanRequest) (Loan, error)
}

// Lend answers another host's request. It gives no more than this host can do
// without, and fails with ErrNoLoan if that is nothing.
func (l *Limiter) Lend(request LoanRequest) (Loan, error) {
	b := l.find(request.Account)
	if b == nil || l.leaving.Load() {
		return Loan{}, ErrNoLoan
	}
	now := l.opts.Clock()
	return b.lend(now, l.leaseEnd(), request.Slots, l.opts.LoanTerm)
}

func (b *bucket) lend(now, leaseEnd time.Time, want int, length time.Duration) (Loan, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := now.Add(withMargin(length))
	if !until.Before(leaseEnd) {
		return Loan{}, ErrNoLoan
	}
	b.advance(now, leaseEnd)
	mine := b.own - sum(b.lent, now)
	keep := int(headroom * b.inSlots(b.expected(now)))
	slots := min(want, mine-max(keep, b.least()))
	if slots <= 0 {
		return Loan{}, ErrNoLoan
	}
	tokens := b.tokens * float64(slots) / b.spendable(now, leaseEnd)
	b.tokens -= tokens
	b.lent = append(b.lent, term{slots: slots, until: until})
	return Loan{Slots: slots, Term: length, Tokens: tokens}, nil
}

// borrow adds a loan that was asked for at a time.
func (b *bucket) borrow(asked, now, leaseEnd time.Time, loan Loan) {
	until := asked.Add(loan.Term)
	if !now.Before(until) || loan.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, leaseEnd)
	b.loans = append(b.loans, term{slots: loan.Slots, until: until})
	b.tokens += max(0, loan.Tokens)
	b.tokens = min(b.tokens, b.depth(b.spendable(now, leaseEnd)))
}

// borrowAll asks for loans for the accounts that refuse.
func (l *Limiter) borrowAll(ctx context.Context) {
	if l.opts.Peers == nil || l.leaving.Load() {
		return
	}
	for _, b := range l.sorted() {
		if b.control.short || b.isShort() {
			l.borrow(ctx, b)
		}
	}
}

// borrow asks one other holder for what the host is short of. It stays with a
// holder that lends, and goes on to the next largest after one that doesn't.
func (l *Limiter) borrow(ctx context.Context, b *bucket) {
	c := &b.control
	asked := l.opts.Clock()
	n := b.measure(asked, 0)
	missing := int(tightHeadroom*n.slots) - (n.own - n.lent + n.loans)
	if len(c.holders) == 0 || missing <= 0 {
		return
	}
	holder := c.holders[c.lender%len(c.holders)].Holder
	request := LoanRequest{Account: b.account, Slots: max(n.least, missing)}
	ctx, cancel := context.WithTimeout(ctx, l.opts.Timeout)
	defer cancel()
	loan, err := l.opts.Peers.Borrow(ctx, holder, request)
	if err != nil {
		c.lender++
		return
	}
	now := l.opts.Clock()
	b.borrow(asked, now, l.leaseEnd(), loan)
}
