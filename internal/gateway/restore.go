package gateway

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// restoreGrace is the time after a restore of the store from a backup in which the tables may lack
// rows that operators and upstreams wrote after the backup was made. They write these rows again
// within a few seconds. Until then, hosts keep the data that they have.
const restoreGrace = 5 * time.Second

// eraTracker detects restores of the store from a backup: the revisions of a table then have a
// higher era. newest is the highest revision that was observed.
type eraTracker struct {
	newest storage.Revision
	// restoredAt is when a revision of the current era was first observed; zero if no restore was
	// observed.
	restoredAt time.Time
}

// observe records a revision of the table. It reports whether the store was restored from a backup
// since the previously observed revision.
func (t *eraTracker) observe(revision storage.Revision) (restored bool) {
	restored = t.newest != 0 && revision.Era() > t.newest.Era()
	t.newest = max(t.newest, revision)
	if restored {
		t.restoredAt = boottime.Now()
	}
	return restored
}

// inRestoreGrace reports whether rows that were written before the restore may be missing from the
// table.
func (t *eraTracker) inRestoreGrace() bool {
	return !t.restoredAt.IsZero() && boottime.Since(t.restoredAt) < restoreGrace
}

// adoptReissuedOrder reports whether an order must not begin a new roll-out because the store was
// restored from a backup within restoreGrace. It returns true in two cases: operators wrote the
// current order again, and its roll-out then continues under the order's new revision; or the order
// is an earlier one that the backup contains.
func (ro *rollouts) adoptReissuedOrder(current *serviceRollout, o RolloutOrder, listed bool) bool {
	current.era.observe(o.Revision)
	if !current.era.inRestoreGrace() {
		return false
	}
	if o.Version != current.order.Version || o.Duration != current.order.Duration {
		return listed && o.Revision.Version() < current.order.Revision.Version()
	}
	ro.log.Info().Str("event", "rollout-order-again").Str("service", o.Service).Str("version", o.Version).
		Stringer("revision", o.Revision).Stringer("formerly", current.order.Revision).Msg("")
	current.earlierRevisions = append(current.earlierRevisions, current.order.Revision)
	if current.hasStatus() {
		current.status.OrderRevision = o.Revision
		current.unsaved = true
	}
	current.order.Revision = o.Revision
	return true
}

// matchesOrder reports whether the revision is one that the order's row has, or had in an earlier
// era.
func (sr *serviceRollout) matchesOrder(revision storage.Revision) bool {
	return revision == sr.order.Revision || slices.Contains(sr.earlierRevisions, revision)
}

// resetStoredStatuses handles a restore of the store from a backup. The restored statuses may be
// outdated or missing, so the statuses that this host has are written again.
func (ro *rollouts) resetStoredStatuses() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	clear(ro.storedStatuses)
	for _, sr := range ro.byService {
		sr.status.Revision = 0
		sr.unsaved = sr.hasStatus()
	}
}
