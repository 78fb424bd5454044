package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
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
// the host doesn't have the table, or the changes are larger, it returns the whole table. Updates
// that the links can't carry in one reply are returned in parts. A host that this hub doesn't
// relay to gets only tables of which it lacks changes, and those that it doesn't have yet if this
// host's data are recent. pending reports that a table that the host doesn't have will probably
// follow.
func (h *hub) tableUpdates(from string, r Report, relays bool) (tables map[string]TableUpdate, pending bool) {
	tables = make(map[string]TableUpdate)
	budget, awaitsHub := h.tableByteLimit(from, r)
	messageBytes := maxTableBytes // what is left in the reply
	for _, name := range slices.Sorted(maps.Keys(h.tables)) {
		watcher, known := h.tables[name], r.Revisions[name]
		if !relays && known > 0 && watcher.MissingSince(known) == 0 {
			continue
		}
		update, ok := smallestUpdate(watcher, known, r.acceptsDeltas(name), budget)
		switch {
		case !ok:
			pending = true // this hub is still reading the table
		case !relays && known == 0 && watcher.Stale():
		case update.PackedBytes() <= budget:
			budget -= update.PackedBytes()
			messageBytes -= update.PackedBytes()
			tables[name] = encodeUpdate(update)
		case awaitsHub && known == 0:
			pending = true
		default:
			part := h.partOf(from, name, r, update, messageBytes)
			tables[name] = part
			if part.Part != nil {
				messageBytes -= len(part.Part.Content)
			}
		}
	}
	return tables, pending
}

// isOutdated reports whether some of this hub's tables are older than its calls of the store account
// for.
func (h *hub) isOutdated() bool {
	for _, watcher := range h.tables {
		if watcher.IsOutdated() {
			return true
		}
	}
	return false
}

// smallestUpdate returns the smaller one of the changes after the revision that a host has and the
// whole table. It doesn't make the whole table if the changes don't exceed the budget in bytes. ok
// is false if the watcher doesn't have the table.
func smallestUpdate(watcher *feed.Watcher, known storage.Revision, withDeltas bool, budget int) (update feed.Update, ok bool) {
	update, ok = watcher.UpdateSince(known, withDeltas, maxTransferBytes)
	if !ok || known > 0 && update.Complete && update.PackedBytes() <= budget {
		return update, ok
	}
	limit := maxTransferBytes
	if known > 0 && update.Complete {
		limit = update.PackedBytes()
	}
	if snapshot, fits := watcher.Snapshot(limit); fits {
		return snapshot, true
	}
	return update, true
}

// partOf returns the next part of an update for the host, of at most messageBytes bytes. A host
// that accepts no parts receives an update without the changes, and reads them from the store.
func (h *hub) partOf(from, table string, r Report, update feed.Update, messageBytes int) TableUpdate {
	part := encodeUpdate(feed.Update{Since: update.Since, Revision: update.Revision, Age: update.Age, Clock: update.Clock, Outdated: update.Outdated})
	if !r.AcceptsParts {
		return part
	}
	seconds := Interval.Seconds() * transferLinkShare / base64Factor
	limits := partLimits{link: int(bytesPerSecond(h.linkMbps) * seconds), host: int(bytesPerSecond(r.LinkMbps) * seconds), message: messageBytes}
	var err error
	if part.Part, err = h.transfers.next(from, table, r, update, limits); err != nil {
		h.log.Error().Str("event", "transfer-failed").Str("table", table).Err(err).Msg("")
	}
	return part
}

// bytesPerSecond returns how many bytes a link of the bandwidth in Mbit/s carries per second.
func bytesPerSecond(mbps float64) float64 { return max(mbps, minLinkMbps) * 1e6 / 8 }

// tableByteLimit returns the maximum size in bytes of the packed tables in a reply to the host:
// what this host's link carries within maxTransferDuration to all hosts that report here, and the
// host's own link to that host. awaitsHub reports that the host will soon get a hub of its own
// zone, which can send it larger tables.
func (h *hub) tableByteLimit(from string, r Report) (maxBytes int, awaitsHub bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	linkBytes := bytesPerSecond(h.linkMbps) * maxTransferDuration.Seconds()
	share := linkBytes / float64(max(1, h.countReporters().reporters))
	if _, found := h.reports[from]; found && r.Hosts > 1 {
		share = linkBytes // the host is a hub, whose followers need the table too
	}
	if r.AcceptsParts {
		share = min(share, bytesPerSecond(r.LinkMbps)*maxTransferDuration.Seconds())
	}
	return int(min(maxTableBytes, share/base64Factor)), h.awaitsZoneHub(r)
}

// base64Factor is how much longer bytes are in a message.
const base64Factor = 4. / 3

func encodeUpdate(update feed.Update) TableUpdate {
	t := TableUpdate{
		Since: update.Since, Revision: update.Revision, Complete: update.Complete, IsSnapshot: update.IsSnapshot, Packed: update.Packed,
		AgeMs: update.Age.Milliseconds(), ClockMs: update.Clock.Milliseconds(), Outdated: update.Outdated,
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

// addTableSupport sets the fields of a report that state in which forms this host accepts table
// updates, and what it has of those that it receives in parts.
func (m *Member) addTableSupport(report *Report, incoming incomingTransfers) {
	report.Deltas, report.AcceptsParts = true, true
	report.Parts, report.LinkMbps = incoming.positions(), m.options.LinkMbps
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
		Outdated:   t.Outdated,
	}
	for _, r := range t.Rows {
		update.Rows = append(update.Rows, feed.Row(r))
	}
	for _, d := range t.Deltas {
		update.Deltas = append(update.Deltas, feed.RowDelta(d))
	}
	return update
}
