package exchange

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

const (
	// maxTransferDuration is how long a hub's network link may be saturated when all its
	// followers start at once and receive whole tables. It is below callTimeout: a reply that
	// takes longer is lost and requested again.
	maxTransferDuration = 350 * time.Millisecond
	// maxTableBytes bounds the size in bytes of a packed table in a message. Base64 makes it a
	// third larger, and a message may take up to 1 MB.
	maxTableBytes = 700_000
	// minLinkMbps is the lowest bandwidth that is assumed for a network link, in Mbit/s; it
	// also stands for an unknown one.
	minLinkMbps = 10
)

// relaysTo reports whether this hub relays table updates to the host. A hub that stands for
// fewer than minHostsPerHub hosts relays to none. If at most maxHostsPerHub hosts report here,
// it relays to all; beyond that, to all hubs and to a subset of the other hosts that remains
// mostly the same. A hub that receives the updates from another hub makes no additional calls
// for them and relays them to every host.
func (h *hub) relaysTo(host string) bool {
	if h.receivesTables.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.countReporters()
	isHub := h.reports[host].hosts > 1
	return counts.represented >= minHostsPerHub && (counts.reporters <= maxHostsPerHub || isHub || hash(host)%uint64(counts.reporters) < maxHostsPerHub)
}

// tableUpdates returns, for each table, the changes after the revision that the host has. If
// the host doesn't have the table, or the changes are too large, it returns the whole table,
// provided that this host's link can carry it. A host that this hub doesn't relay to gets only
// tables that it doesn't have yet, and only if this host's data are recent. pending reports
// that a table that the host doesn't have will probably follow.
func (h *hub) tableUpdates(from string, r Report, relays bool) (tables map[string]TableUpdate, pending bool) {
	tables = make(map[string]TableUpdate)
	maxBytes, awaitsHub := h.tableByteLimit(from, r)
	for name, watcher := range h.tables {
		known := r.Revisions[name]
		if !relays && known > 0 {
			continue
		}
		update, ok := watcher.UpdateSince(known, r.acceptsDeltas(name), maxBytes)
		switch {
		case !ok:
			pending = true // this hub is still reading the table
			continue
		case !relays && watcher.Stale():
			continue
		}
		if known == 0 || !update.Complete {
			if snapshot, fits := watcher.Snapshot(maxBytes); fits {
				update = snapshot
			} else if awaitsHub && known == 0 {
				pending = true
				continue
			}
		}
		tables[name] = encodeUpdate(update)
	}
	return tables, pending
}

// tableByteLimit returns the maximum size in bytes of a packed table for the host. awaitsHub
// reports that the host will soon get a hub of its own zone, which can send it larger tables.
func (h *hub) tableByteLimit(from string, r Report) (maxBytes int, awaitsHub bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bytesPerSecond := max(h.linkMbps, minLinkMbps) * 1e6 / 8
	bytesPerHost := bytesPerSecond * maxTransferDuration.Seconds() / float64(max(1, h.countReporters().reporters))
	if _, found := h.reports[from]; found && r.Hosts > 1 {
		bytesPerHost = maxTableBytes // the host is a hub, whose followers need the table too
	}
	return int(min(maxTableBytes, bytesPerHost)), h.awaitsZoneHub(r)
}

func encodeUpdate(update feed.Update) TableUpdate {
	t := TableUpdate{
		Since: update.Since, Revision: update.Revision, Complete: update.Complete, IsSnapshot: update.IsSnapshot, Packed: update.Packed,
		AgeMs: update.Age.Milliseconds(), ClockMs: update.Clock.Milliseconds(),
	}
	for _, r := range update.Rows {
		t.Rows = append(t.Rows, UpdateRow(r))
	}
	for _, d := range update.Deltas {
		t.Deltas = append(t.Deltas, RowDelta(d))
	}
	return t
}

// acceptsDeltas reports whether the reporting host accepts deltas of the table's large rows.
func (r *Report) acceptsDeltas(table string) bool {
	return r.Deltas && !slices.Contains(r.NoDeltas, table)
}

// addDeltaSupport sets the fields of a report that state which deltas this host accepts.
func (m *Member) addDeltaSupport(report *Report) {
	report.Deltas = true
	for name, w := range m.options.Tables {
		if !w.AcceptsDeltas() {
			report.NoDeltas = append(report.NoDeltas, name)
		}
	}
}

func (t *TableUpdate) decode() feed.Update {
	update := feed.Update{
		Since:      t.Since,
		Revision:   t.Revision,
		Complete:   t.Complete,
		IsSnapshot: t.IsSnapshot,
		Packed:     t.Packed,
		Age:        time.Duration(t.AgeMs) * time.Millisecond,
		Clock:      time.Duration(t.ClockMs) * time.Millisecond,
	}
	for _, r := range t.Rows {
		update.Rows = append(update.Rows, feed.Row(r))
	}
	for _, d := range t.Deltas {
		update.Deltas = append(update.Deltas, feed.RowDelta(d))
	}
	return update
}
