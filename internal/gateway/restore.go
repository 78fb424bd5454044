package gateway

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// restoreGrace is how long after the store was restored from a backup its tables may lack rows
// that operators and upstreams had written since the backup: they write them again within some
// seconds. Until then hosts keep the data that they have.
const restoreGrace = 5 * time.Second

// eraTracker detects tables of a store that was recently restored from a backup.
type eraTracker struct {
	newest storage.Revision
	// restoredAt is the time at which a table of the current era was first seen; zero in the first
	// era.
	restoredAt time.Time
}

// observe records a table's revision. It reports whether the store was restored from a backup
// since the previous one.
func (w *eraTracker) observe(revision storage.Revision) (restored bool) {
	restored = w.newest != 0 && revision.Era() > w.newest.Era()
	w.newest = max(w.newest, revision)
	if restored {
		w.restoredAt = boottime.Now()
	}
	return restored
}

// inRestoreGrace reports whether rows that were written before the restore may still be missing.
func (w *eraTracker) inRestoreGrace() bool {
	return !w.restoredAt.IsZero() && boottime.Since(w.restoredAt) < restoreGrace
}

// adoptReissuedOrder handles an order that was known before the store was restored from a backup
// and that operators wrote again: the same roll-out continues under the order's new revision. It
// also returns true for the previous order, which the backup contains.
func (m *rollouts) adoptReissuedOrder(current *activeRollout, o RolloutOrder, listed bool) bool {
	current.era.observe(o.Revision)
	if !current.era.inRestoreGrace() {
		return false
	}
	if o.Version != current.order.Version || o.Duration != current.order.Duration {
		return listed && o.Revision.Version() < current.order.Revision.Version()
	}
	m.log.Info().Str("event", "rollout-order-again").Str("service", o.Service).Str("version", o.Version).
		Stringer("revision", o.Revision).Stringer("formerly", current.order.Revision).Msg("")
	current.earlierRevisions = append(current.earlierRevisions, current.order.Revision)
	if current.hasStatus() {
		current.status.OrderRevision = o.Revision
		current.unsaved = true
	}
	current.order.Revision = o.Revision
	return true
}

// matchesOrder reports whether the revision is that of the order's row, in the current era or an
// earlier one.
func (a *activeRollout) matchesOrder(revision storage.Revision) bool {
	return revision == a.order.Revision || slices.Contains(a.earlierRevisions, revision)
}

// resetStored handles a restore of the store from a backup: the statuses that it holds may be
// outdated or missing, so the known ones are written again.
func (m *rollouts) resetStored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.stored)
	for _, a := range m.active {
		a.status.Revision = 0
		a.unsaved = a.hasStatus()
	}
}
