package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

const (
	// tableTransferTime is how long a hub's network link may be saturated when all its
	// followers start at once and receive whole tables. It is below callTimeout: a reply that
	// takes longer is lost and requested again.
	tableTransferTime = 350 * time.Millisecond
	// maxTableBytes bounds a packed table in a message. As base64 it takes a third more, and a
	// message may have 1 MB.
	maxTableBytes = 700_000
	// minLinkMbps is the bandwidth assumed for an unknown network link, in Mbit/s.
	minLinkMbps = 10
)

// relaysTo reports whether table updates are relayed to the host. Up to maxFollowers all hosts
// receive them, beyond that a mostly stable subset. A hub that receives the updates from
// another hub makes no extra calls for them and relays them to all.
func (h *hub) relaysTo(host string) bool {
	if h.receivesTables.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.reporters()
	isHub := h.reports[host].hosts > 1
	return n.hosts >= minFollowers && (n.all <= maxFollowers || isHub || hash(host)%uint64(n.all) < maxFollowers)
}

// tableUpdates returns the changes of the tables after the revisions that the host has. If they
// are too large, or the host has none, it returns the whole table, provided that this host's
// link can carry it. A host that isn't relayed to gets only tables that it doesn't have yet,
// and only if this host's data are recent. pending reports that a missing table will probably
// follow.
func (h *hub) tableUpdates(from string, r Report, relays bool) (tables map[string]TableUpdate, pending bool) {
	tables = make(map[string]TableUpdate)
	maxBytes, awaitsHub := h.tableByteLimit(from, r)
	for name, watcher := range h.tables {
		known := r.Revisions[name]
		if !relays && known > 0 {
			continue
		}
		n, ok := watcher.UpdateSince(known, maxBytes)
		switch {
		case !ok:
			pending = true // this hub is still reading the table
			continue
		case !relays && watcher.Stale():
			continue
		}
		if known == 0 || !n.Complete {
			if whole, fits := watcher.Whole(maxBytes); fits {
				n = whole
			} else if awaitsHub && known == 0 {
				pending = true
				continue
			}
		}
		tables[name] = encodeUpdate(n)
	}
	return tables, pending
}

// tableByteLimit returns the maximum size of a packed table for the host. awaitsHub reports
// that the host will soon get a hub of its own zone, which can send it larger tables.
func (h *hub) tableByteLimit(from string, r Report) (maxBytes int, awaitsHub bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := max(h.linkMbps, minLinkMbps) * 1e6 / 8
	share := link * tableTransferTime.Seconds() / float64(max(1, h.reporters().all))
	if _, found := h.reports[from]; found && r.Hosts > 1 {
		share = maxTableBytes // the hub's followers need the table too
	}
	return int(min(maxTableBytes, share)), h.awaitsHub(r)
}

func encodeUpdate(n feed.Update) TableUpdate {
	t := TableUpdate{
		Since: n.Since, Revision: n.Revision, Complete: n.Complete, Whole: n.Whole, Packed: n.Packed,
		AgeMs: n.Age.Milliseconds(), ClockMs: n.Clock.Milliseconds(),
	}
	for _, r := range n.Rows {
		t.Rows = append(t.Rows, UpdateRow(r))
	}
	return t
}

func (t *TableUpdate) decode() feed.Update {
	n := feed.Update{
		Since:    t.Since,
		Revision: t.Revision,
		Complete: t.Complete,
		Whole:    t.Whole,
		Packed:   t.Packed,
		Age:      time.Duration(t.AgeMs) * time.Millisecond,
		Clock:    time.Duration(t.ClockMs) * time.Millisecond,
	}
	for _, r := range t.Rows {
		n.Rows = append(n.Rows, feed.Row(r))
	}
	return n
}
