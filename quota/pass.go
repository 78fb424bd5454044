package quota

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/quetzalweir/quetzalweir/platform"
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
	// calm is until when refusals call for no further pass, since the last
	// one gained nothing.
	calm time.Time
	// short says that the last pass left the account short of slots.
	short bool
}

// openCommit is a commit whose effect is unknown, now or later. It can take
// effect only while the row has the version that it was made for.
type openCommit struct {
	base uint64
	held int
}

// pass renews the lease and goes over all accounts.
func (l *Limiter) pass(ctx context.Context) error {
	err := l.readAndAdjust(ctx)
	l.borrowAll(ctx)
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
	rows := make(map[string]platform.Row, len(listed))
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

// urgentPass goes over the accounts that refused since the last pass.
func (l *Limiter) urgentPass(ctx context.Context) error {
	if l.lease.Load() == nil {
		return l.pass(ctx)
	}
	now := l.opts.Clock()
	urgent := l.urgent(now)
	if len(urgent) == 0 {
		return nil
	}
	if err := l.refreshHosts(ctx); err != nil || l.lease.Load() == nil {
		return err
	}
	for _, b := range urgent {
		row, err := l.get(ctx, accountKey(b.account))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		before := b.control.held
		if err := l.adjust(ctx, b, row, 0); err != nil {
			return err
		}
		if b.control.short {
			l.borrow(ctx, b)
		}
		if b.control.held <= before {
			b.control.calm = now.Add(l.opts.Interval)
		}
	}
	return nil
}

// urgent lists the accounts that refused, but for those that just gained
// nothing by a pass.
func (l *Limiter) urgent(now time.Time) []*bucket {
	var list []*bucket
	for _, b := range l.sorted() {
		if b.isRefusing() && !now.Before(b.control.calm) {
			list = append(list, b)
		}
	}
	return list
}

func (b *bucket) isRefusing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused > 0
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
