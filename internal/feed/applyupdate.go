package feed

import (
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// applyUpdate applies another host's update as the store's answer of the given time. It returns
// false if the store must be called for the changes.
func (w *Watcher) applyUpdate(update Update, at time.Time) bool {
	switch {
	case !w.hasTable && (!update.Whole || update.Revision < w.revision):
		return false // after lost history only a whole table helps, and never an older one
	case w.hasTable && update.Revision <= w.revision:
	case update.Whole, update.Complete && update.Since <= w.revision:
		if !w.applyRows(update) {
			return false
		}
	default:
		w.lag.add(update.Revision, w.sinceStart())
		return false
	}
	w.recordSuccess(max(1, w.sinceStart()-boottime.Since(at)))
	return true
}

// applyRows applies the whole table, or its changes, from another host.
func (w *Watcher) applyRows(update Update) bool {
	rows := update.Rows
	if update.Packed != nil {
		var err error
		if rows, err = unpack(update.Packed); err != nil {
			w.log.Error().Str("event", "news-unreadable").Stringer("revision", update.Revision).Int("bytes", len(update.Packed)).Err(err).Msg("")
			return false
		}
	}
	if update.Whole {
		w.log.Info().Str("event", "table-handed-on").Stringer("revision", update.Revision).Int("rows", len(rows)).Int("bytes", len(update.Packed)).Msg("")
		w.partial = listing{}
		w.replace(rows, update.Revision, update.Packed)
		return true
	}
	fresh := slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return row.Revision <= w.revision })
	packed := update.Packed
	if len(fresh) < len(rows) {
		packed = nil // it holds rows that are older than those already applied
	}
	w.applyChanges(fresh, packed, update.Revision)
	return true
}

// loadTable gets the whole table, from another host if one sends it soon, or from the store.
// Otherwise a fleet that starts at once would read the store's tables as many times as it has
// hosts.
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

// applyFreshUpdate applies another host's last update if it is recent enough and suffices.
func (w *Watcher) applyFreshUpdate() bool {
	update, at, ok := w.freshUpdate()
	return ok && w.applyUpdate(update, at)
}

// largeTableWait is how long a host waits for another one to send a table of many pages, if the
// hub answers. In a fleet of 300 hosts that starts at once, the hubs are named, and all of them
// have a table of 3,000 rows, within a second. Reading such a table from the store takes half a
// second on a link of 20 Mbit/s, and each host would add to the store's traffic.
const largeTableWait = time.Second

// awaitWholeTable waits once, after the first page of a table, for another host to send the
// whole table.
func (w *Watcher) awaitWholeTable(ctx context.Context) (bool, error) {
	if w.waitedLargeTable || w.options.HubAnswers == nil || !w.options.HubAnswers() {
		return false, nil
	}
	w.waitedLargeTable = true
	if err := w.awaitFreshUpdate(ctx, largeTableWait); err != nil {
		return false, err
	}
	return w.applyFreshUpdate(), nil
}

// awaitFreshUpdate waits until there is a recent update, or it is known that none will come, or
// the timeout expires.
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

// awaitNextUpdate waits for another host's next update, or until the last one is too old to
// rely on.
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

// awaitFirstUpdate waits once for another host's update. Without it, the watcher's own call
// would be held until the next change, although the hub's update makes that call unnecessary.
func (w *Watcher) awaitFirstUpdate(ctx context.Context) error {
	if w.waitedFirstUpdate || w.options.FirstUpdateWait <= 0 || w.relays() {
		return nil
	}
	w.waitedFirstUpdate = true
	return w.awaitFreshUpdate(ctx, w.options.FirstUpdateWait)
}

// logRelying logs when the watcher starts and stops relying on another host.
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
