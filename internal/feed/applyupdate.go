package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// applyUpdate applies another host's update as if the store had returned it at the given time.
// It returns false if the watcher must call the store instead.
func (w *Watcher) applyUpdate(update Update, at time.Time) bool {
	switch {
	case w.hasTable.Load() && update.Revision <= w.revision:
	case update.advances(w.revision, w.hasTable.Load()):
		w.changedSince = w.lastAnswer()
		if !w.applyRows(update) {
			w.unusable.Store(update.variant())
			return false
		}
	case !w.hasTable.Load():
		return false
	default:
		w.lag.add(update.Revision, w.sinceStart())
		return false
	}
	w.recordSuccess(max(1, w.sinceStart()-boottime.Since(at)))
	return true
}

// awaitsParts reports whether another host will soon have sent the changes that the update leaves
// out, so that the watcher need not read them from the store.
func (w *Watcher) awaitsParts(update Update) bool {
	limit := time.Duration(transferFraction * float64(w.options.ApplyTime))
	return w.hasTable.Load() && update.Remaining > 0 && w.Lag()+update.Remaining <= limit
}

// advances reports whether a watcher with the rows as of the revision can apply the update and
// gets newer rows by it. A watcher without the table needs a snapshot. One whose history was lost
// still has the rows that the changes follow, and also gets the table by a snapshot of its revision.
func (u *Update) advances(revision storage.Revision, hasTable bool) bool {
	if u.IsSnapshot {
		return u.Revision > revision || !hasTable && u.Revision == revision
	}
	return u.Complete && (hasTable || revision > 0) && u.Revision > revision && u.Since <= revision
}

// applyRows passes the rows of another host's update to the handler, either as a whole table or
// as changes. It returns false if they can't be unpacked.
func (w *Watcher) applyRows(update Update) bool {
	rows := update.Rows
	if update.Packed != nil {
		var err error
		if rows, err = unpack(update.Packed); err != nil {
			w.log.Error().Str("event", "news-unreadable").Stringer("revision", update.Revision).Int("bytes", len(update.Packed)).Err(err).Msg("")
			return false
		}
	}
	if update.IsSnapshot {
		w.log.Info().Str("event", "table-handed-on").Stringer("revision", update.Revision).Int("rows", len(rows)).Int("bytes", len(update.Packed)).Msg("")
		w.partialListing = listing{}
		w.replace(rows, update.Revision, update.Packed)
		return true
	}
	built, err := w.recent.build(update.Deltas)
	if err != nil {
		w.rejectsDeltas.Store(true)
		w.log.Warn().Str("event", "delta-unusable").Stringer("revision", update.Revision).Err(err).Msg("")
		return false
	}
	changes := changeSet{rows: slices.Concat(rows, built), packed: update.Packed, deltas: update.Deltas, source: fromHub}
	changes.rows = slices.DeleteFunc(changes.rows, func(row Row) bool { return row.Revision <= w.revision })
	if len(changes.rows) != len(rows) || len(built) > 0 {
		changes.packed = nil // it holds other rows
	}
	slices.SortStableFunc(changes.rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	w.applyChanges(changes, update.Revision)
	// The other host followed the changes, so that this one can go on from there after lost history.
	w.hasTable.Store(true)
	w.partialListing = listing{}
	return true
}

// AcceptsDeltas reports whether other hosts may send this watcher deltas of large rows. After a
// delta that can't be applied they may not until the watcher has applied whole rows.
func (w *Watcher) AcceptsDeltas() bool { return !w.rejectsDeltas.Load() }

// loadTable gets the whole table from another host, if one sends it within FirstTableWait, or
// else from the store. If every host read the tables from the store, a fleet that starts at
// once would cause as many reads of each table as it has hosts.
func (w *Watcher) loadTable(ctx context.Context) error {
	if !w.waitedFirstTable && w.options.FirstTableWait > 0 {
		w.waitedFirstTable = true
		if err := w.awaitFreshUpdate(ctx, w.options.FirstTableWait); err != nil {
			return err
		}
	}
	if w.applyFreshUpdate() {
		return nil
	}
	return w.list(ctx)
}

// applyFreshUpdate applies the last update from another host if it is recent enough. It reports
// whether this saves the call of the store.
func (w *Watcher) applyFreshUpdate() bool {
	update, at, ok := w.freshUpdate()
	return ok && w.applyUpdate(update, at)
}

// largeTableWait is how long a host waits for another host to send a table of many pages,
// provided that the hub answers. In a fleet of 300 hosts that starts at once, it takes less
// than a second until the hubs are appointed and all of them have a table of 3,000 rows.
// Reading such a table from the store takes half a second on a link of 20 Mbit/s, and each host
// that reads it adds to the store's traffic.
const largeTableWait = time.Second

// awaitSnapshot waits for another host to send the whole table, and reports whether one did. list
// calls it after each page of a table but the last. It returns false at once if the hub doesn't
// answer, or if it has already waited for largeTableWait.
func (w *Watcher) awaitSnapshot(ctx context.Context) (bool, error) {
	if w.waitedLargeTable || w.options.HubAnswers == nil || !w.options.HubAnswers() {
		return false, nil
	}
	w.waitedLargeTable = true
	if err := w.awaitFreshUpdate(ctx, largeTableWait); err != nil {
		return false, err
	}
	return w.applyFreshUpdate(), nil
}

// awaitFreshUpdate waits until another host has sent a recent update, until it turns out that
// the other host doesn't relay the table, or until the timeout expires.
func (w *Watcher) awaitFreshUpdate(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		if _, _, ok := w.freshUpdate(); ok || w.relayed.unavailable() {
			return nil
		}
		select {
		case <-w.relayed.updated:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitNextUpdate waits for the next update from another host, or until the last one is too old
// to rely on. at is the time that the last update is as of.
func (w *Watcher) awaitNextUpdate(ctx context.Context, at time.Time) error {
	w.options.Link.stopProbing(w)
	timer := time.NewTimer(w.maxRelayedAge() - boottime.Since(at))
	defer timer.Stop()
	select {
	case <-w.relayed.updated:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitFirstUpdate waits for another host's update before the watcher's first call for changes,
// and only once. Otherwise the store would hold that call until the next change, although the
// hub's update makes it unnecessary.
func (w *Watcher) awaitFirstUpdate(ctx context.Context) error {
	if w.waitedFirstUpdate || w.options.FirstUpdateWait <= 0 || w.relays() {
		return nil
	}
	w.waitedFirstUpdate = true
	return w.awaitFreshUpdate(ctx, w.options.FirstUpdateWait)
}

// logRelying logs when the watcher begins and stops to rely on another host's updates.
func (w *Watcher) logRelying(rely bool) {
	if rely == w.relying {
		return
	}
	w.relying = rely
	event := "relay-lost"
	if rely {
		event = "relay-used"
	}
	w.log.Info().Str("event", event).Stringer("revision", w.revision).Msg("")
}
