package quota

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// control is what the background pass knows of an account.
type control struct {
	// held is the holding that the row was last seen to state.
	held int
	// open is a commit without a clear answer; nil if there is none.
	open *openCommit
	// holders are the other holders last seen, largest first.
	holders []holding
	// lender is the place in holders of the one asked next.
	lender int
	// short says that the last pass left the account short of slots.
	short bool
}

// openCommit is a commit whose effect is unknown, now or later. It can take
// effect only while the row has the version that it was made for.
type openCommit struct {
	base uint64
	held int
}

// pass renews the lease and goes over all accounts. Loans are for when the
// table doesn't answer: with it, lent slots would only be slower to move.
func (l *Limiter) pass(ctx context.Context) error {
	err := l.readAndAdjust(ctx)
	if err != nil {
		l.borrowAll(ctx)
	}
	return err
}

func (l *Limiter) readAndAdjust(ctx context.Context) error {
	if err := l.renew(ctx); err != nil {
		return err
	}
	if l.lease.Load() == nil {
		return nil
	}
	if err := l.refreshHosts(ctx); err != nil {
		return err
	}
	if l.lease.Load() == nil {
		// Others ended it; the next pass registers anew.
		return nil
	}
	listed, err := l.list(ctx, accountPrefix)
	if err != nil {
		return err
	}
	rows := make(map[string]storage.Row, len(listed))
	for _, row := range listed {
		rows[row.Key] = row
	}
	period := l.period()
	for _, b := range l.sorted() {
		row := rows[accountKey(b.account)]
		if err := l.adjust(ctx, b, row, period); err != nil {
			return err
		}
	}
	return nil
}

// urgentPass goes over the accounts that began to refuse since the last pass.
func (l *Limiter) urgentPass(ctx context.Context) error {
	if l.lease.Load() == nil {
		return l.pass(ctx)
	}
	err := l.adjustUrgent(ctx)
	if err != nil {
		l.borrowAll(ctx)
	}
	return err
}

func (l *Limiter) adjustUrgent(ctx context.Context) error {
	urgent := l.urgent()
	if len(urgent) == 0 {
		return nil
	}
	if err := l.refreshHosts(ctx); err != nil || l.lease.Load() == nil {
		return err
	}
	for _, b := range urgent {
		row, err := l.get(ctx, accountKey(b.account))
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			return err
		}
		if err := l.adjust(ctx, b, row, 0); err != nil {
			return err
		}
	}
	return nil
}

// urgent lists the accounts that refuse, but for those that were found short
// already: the next regular pass is soon enough for them.
func (l *Limiter) urgent() []*bucket {
	var list []*bucket
	for _, b := range l.sorted() {
		if !b.control.short && b.isShort() {
			list = append(list, b)
		}
	}
	return list
}

// isShort reports whether more is refused than by chance.
func (b *bucket) isShort() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pressing && b.isRefusing()
}

// period is the time since demand was last measured.
func (l *Limiter) period() time.Duration {
	now := l.opts.Clock()
	last := l.measured
	l.measured = now
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// sorted lists the buckets in the order of names, so that runs are alike.
func (l *Limiter) sorted() []*bucket {
	all := l.all()
	list := make([]*bucket, 0, len(all))
	for _, b := range all {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].account < list[j].account })
	return list
}
