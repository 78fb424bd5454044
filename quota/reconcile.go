package quota

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// reconcileState is the state of an account between reconciliations.
type reconcileState struct {
	// held is this host's holding as last read from or written to the row.
	held int
	// unresolved is a commit whose outcome is unknown. It is nil if there is
	// none.
	unresolved *unresolvedCommit
	// holders are the other holders in the row as last read, largest first.
	holders []holding
	// nextLender is the index in holders, modulo its length, of the holder from
	// which the next loan is requested.
	nextLender int
	// short is true if the last reconciliation left the account short of slots.
	short bool
}

// unresolvedCommit is a commit whose outcome is unknown and that would set this
// host's holding to held. It may still take effect, but only while the row has
// the version baseVersion. If several such commits are unresolved, held is the
// lowest holding that any of them would set.
type unresolvedCommit struct {
	baseVersion uint64
	held        int
}

// reconcile renews the lease and adjusts the holdings of all accounts. It
// requests loans only if that fails, for example because the table can't be
// reached. While the table is reachable, loans would do harm, because slots that
// are lent out can't be reassigned until the loan expires.
func (l *Limiter) reconcile(ctx context.Context) error {
	err := l.reconcileAll(ctx)
	if err != nil {
		l.requestLoans(ctx)
	}
	return err
}

func (l *Limiter) reconcileAll(ctx context.Context) error {
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
		// Another host deleted the row; the next reconciliation registers again.
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
	period := l.startMeasurement()
	for _, b := range l.sortedBuckets() {
		row := rows[accountKey(b.account)]
		if err := l.adjust(ctx, b, row, period); err != nil {
			return err
		}
	}
	return nil
}

// reconcileUrgent adjusts the holdings of the accounts that urgentBuckets
// returns, or reconciles all accounts if the host holds no lease.
func (l *Limiter) reconcileUrgent(ctx context.Context) error {
	if l.lease.Load() == nil {
		return l.reconcile(ctx)
	}
	err := l.adjustUrgent(ctx)
	if err != nil {
		l.requestLoans(ctx)
	}
	return err
}

func (l *Limiter) adjustUrgent(ctx context.Context) error {
	urgent := l.urgentBuckets()
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

// urgentBuckets returns the accounts that started to refuse requests, except
// those that the last reconciliation left short: for them, the next regular
// reconciliation is soon enough.
func (l *Limiter) urgentBuckets() []*bucket {
	var list []*bucket
	for _, b := range l.sortedBuckets() {
		if !b.state.short && b.hasNewShortage() {
			list = append(list, b)
		}
	}
	return list
}

// hasNewShortage reports whether requests were refused since the last call of
// measureDemand, and more than tolerated in the current measurement period.
func (b *bucket) hasNewShortage() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newlyRefused && b.exceedsToleratedRefusals()
}

// startMeasurement starts a measurement period and returns the length of the
// previous one. It returns 0 if there was no previous period.
func (l *Limiter) startMeasurement() time.Duration {
	now := l.opts.Clock()
	last := l.lastMeasured
	l.lastMeasured = now
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// sortedBuckets returns the buckets sorted by account, so that the order of
// operations is deterministic.
func (l *Limiter) sortedBuckets() []*bucket {
	all := l.allBuckets()
	list := make([]*bucket, 0, len(all))
	for _, b := range all {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].account < list[j].account })
	return list
}
