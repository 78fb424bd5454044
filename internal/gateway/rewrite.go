package gateway

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// rewriteTime is how long after the store came back from a copy its tables may lack what
// operators and upstreams had written since: they write it again within some seconds. What
// hosts know of it holds until then.
const rewriteTime = 5 * time.Second

// eraWatch tells the tables of a store that just came back from a copy.
type eraWatch struct {
	newest storage.Revision
	// roseAt is when a table of the present era was first seen; zero in the first one.
	roseAt time.Time
}

// note takes in a table's revision. It reports whether the store came back from a copy
// since the table before.
func (w *eraWatch) note(revision storage.Revision) (rose bool) {
	rose = w.newest != 0 && revision.Era() > w.newest.Era()
	w.newest = max(w.newest, revision)
	if rose {
		w.roseAt = boottime.Now()
	}
	return rose
}

// rewriting says that what was written before the return may still be missing.
func (w *eraWatch) rewriting() bool {
	return !w.roseAt.IsZero() && boottime.Since(w.roseAt) < rewriteTime
}

// rewritten takes an order that was known before the store came back from a copy and that
// operators wrote again: the same roll-out goes on under its new revision. It also reports
// true for the order before that one, which the copy has.
func (m *rollouts) rewritten(known *activeRollout, o Order, listed bool) bool {
	known.era.note(o.Revision)
	if !known.era.rewriting() {
		return false
	}
	if o.Version != known.order.Version || o.Duration != known.order.Duration {
		return listed && o.Revision.Version() < known.order.Revision.Version()
	}
	m.log.Info().Str("event", "rollout-order-again").Str("service", o.Service).Str("version", o.Version).
		Stringer("revision", o.Revision).Stringer("formerly", known.order.Revision).Msg("")
	known.formerly = append(known.formerly, known.order.Revision)
	if known.known() {
		known.status.OrderRevision = o.Revision
		known.unsaved = true
	}
	known.order.Revision = o.Revision
	return true
}

// isOrder says whether the order's row has, or had in a former era, the revision.
func (a *activeRollout) isOrder(revision storage.Revision) bool {
	return revision == a.order.Revision || slices.Contains(a.formerly, revision)
}

// forgetRows takes in that the store came back from a copy: what it had of states may be
// older, or gone, and is written again.
func (m *rollouts) forgetRows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.stored)
	for _, a := range m.active {
		a.status.Revision = 0
		a.unsaved = a.known()
	}
}
