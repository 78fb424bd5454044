package quota

import (
	"context"
	"errors"
	"time"
)

// ErrNoLoan means that the lender has no slots to lend.
var ErrNoLoan = errors.New("quota: no slots to lend")

// LoanRequest is a request to another host to lend slots.
type LoanRequest struct {
	Account string `json:"account"`
	Slots   int    `json:"slots"`
}

// Loan is a number of slots lent for a term. The borrower counts the term from
// before it sent the request, the lender from after it received the request,
// with a margin for different clock speeds. The term therefore ends at the
// borrower before it ends at the lender, and at most one host uses the slots at
// any time, even if the response is lost.
type Loan struct {
	Slots int `json:"slots"`
	// Term is the duration of the loan, in nanoseconds.
	Term time.Duration `json:"term"`
	// Tokens is the part of the lender's tokens that is transferred with the
	// slots.
	Tokens float64 `json:"tokens"`
}

// Peers sends loan requests to other hosts.
type Peers interface {
	// Borrow passes the request to Limiter.Lend on the host with the given
	// holder ID, which is Options.Host, a dot, and a suffix without dots.
	Borrow(ctx context.Context, holder string, request LoanRequest) (Loan, error)
}

// Lend handles another host's loan request. It lends only slots that this host
// doesn't need itself, and returns ErrNoLoan if there are none.
func (l *Limiter) Lend(request LoanRequest) (Loan, error) {
	b := l.bucketOf(request.Account)
	if b == nil || l.leaving.Load() {
		return Loan{}, ErrNoLoan
	}
	now := l.opts.Clock()
	return b.lend(now, l.leaseEnd(), request.Slots, l.opts.LoanTerm)
}

func (b *bucket) lend(now, leaseEnd time.Time, want int, term time.Duration) (Loan, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := now.Add(withClockMargin(term))
	if !until.Before(leaseEnd) {
		return Loan{}, ErrNoLoan
	}
	b.refill(now, leaseEnd)
	ownUnlent := b.ownSlots - validSlots(b.lentSlots, now)
	keep := int(demandHeadroom * b.slotsForRate(b.expectedDemand(now)))
	slots := min(want, ownUnlent-max(keep, b.minSlots()))
	if slots <= 0 {
		return Loan{}, ErrNoLoan
	}
	tokens := b.tokens * float64(slots) / b.usableSlots(now, leaseEnd)
	b.tokens -= tokens
	b.lentSlots = append(b.lentSlots, timedSlots{slots: slots, until: until})
	return Loan{Slots: slots, Term: term, Tokens: tokens}, nil
}

// addLoan adds a loan that was requested at requestedAt.
func (b *bucket) addLoan(requestedAt, now, leaseEnd time.Time, loan Loan) {
	until := requestedAt.Add(loan.Term)
	if !now.Before(until) || loan.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, leaseEnd)
	b.borrowedSlots = append(b.borrowedSlots, timedSlots{slots: loan.Slots, until: until})
	b.tokens += max(0, loan.Tokens)
	b.tokens = min(b.tokens, b.depth(b.usableSlots(now, leaseEnd)))
}

// requestLoans requests a loan for each account that is short of slots.
func (l *Limiter) requestLoans(ctx context.Context) {
	if l.opts.Peers == nil || l.leaving.Load() {
		return
	}
	for _, b := range l.sortedBuckets() {
		if b.state.short || b.hasNewShortage() {
			l.requestLoan(ctx, b)
		}
	}
}

// requestLoan requests the slots that an account lacks from one other holder.
// After a success the next request goes to the same holder, after a failure to
// the one with the next largest holding.
func (l *Limiter) requestLoan(ctx context.Context, b *bucket) {
	state := &b.state
	requestedAt := l.opts.Clock()
	stats := b.measureDemand(requestedAt, 0)
	missing := int(scarceHeadroom*stats.demandSlots) - (stats.ownSlots - stats.lentSlots + stats.borrowedSlots)
	if len(state.holders) == 0 || missing <= 0 {
		return
	}
	holder := state.holders[state.nextLender%len(state.holders)].Holder
	request := LoanRequest{Account: b.account, Slots: max(stats.minSlots, missing)}
	ctx, cancel := context.WithTimeout(ctx, l.opts.Timeout)
	defer cancel()
	loan, err := l.opts.Peers.Borrow(ctx, holder, request)
	if err != nil {
		state.nextLender++
		return
	}
	now := l.opts.Clock()
	b.addLoan(requestedAt, now, l.leaseEnd(), loan)
}
