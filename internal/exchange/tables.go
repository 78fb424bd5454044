package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

const (
	// handOnTime is the time for which a hub's network link may be full when all of its
	// followers start at once and are handed whole tables. It is below callTimeout: an
	// answer that takes longer is lost, and asked for again.
	handOnTime = 350 * time.Millisecond
	// maxHandedBytes bounds a packed table in a message, which takes a third more as
	// text and may have a MB.
	maxHandedBytes = 700_000
	// leastLink is the network link that is taken where none is told, in Mbit/s.
	leastLink = 10
)

// relaysTo says whether the host is told what the store said: all are, up to
// maxFollowers, and beyond that a part of them that stays about the same. A hub that
// another one tells the store's word makes no calls for it, and tells all.
func (h *hub) relaysTo(host string) bool {
	if h.told.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.reporters()
	speaksForOthers := h.reports[host].hosts > 1
	return n.hosts >= minFollowers && (n.all <= maxFollowers || speaksForOthers || hash(host)%uint64(n.all) < maxFollowers)
}

// news is what the store told of the tables after the revisions that the host knows.
// Where that is too much, or the host knows none, it is told the whole table if this
// host's link bears that. A host that isn't relayed to is told only tables that it
// doesn't know, if this host's word on them is young. later says that one is likely to
// come.
func (h *hub) news(from string, r Report, relays bool) (tables map[string]TableNews, later bool) {
	tables = make(map[string]TableNews)
	room, pending := h.room(from, r)
	for name, watcher := range h.tables {
		known := r.Revisions[name]
		if !relays && known > 0 {
			continue
		}
		n, ok := watcher.News(known, room)
		switch {
		case !ok:
			later = true // this host is reading it itself
			continue
		case !relays && watcher.Old():
			continue
		}
		if known == 0 || !n.Complete {
			if whole, fits := watcher.Whole(room); fits {
				n = whole
			} else if pending && known == 0 {
				later = true
				continue
			}
		}
		tables[name] = encodeNews(n)
	}
	return tables, later
}

// room is the most bytes of a packed table for the host. pending says that the host gets
// a hub of its own zone soon, and from that the tables that are too large for this one.
func (h *hub) room(from string, r Report) (bytes int, pending bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := max(h.linkMbps, leastLink) * 1e6 / 8
	share := link * handOnTime.Seconds() / float64(max(1, h.reporters().all))
	if _, named := h.reports[from]; named && r.Hosts > 1 {
		share = maxHandedBytes // its followers wait for it
	}
	return int(min(maxHandedBytes, share)), h.pending(r)
}

func encodeNews(n feed.News) TableNews {
	t := TableNews{
		Since: n.Since, Revision: n.Revision, Complete: n.Complete, Whole: n.Whole, Packed: n.Packed,
		AgeMs: n.Age.Milliseconds(), ClockMs: n.Clock.Milliseconds(),
	}
	for _, r := range n.Rows {
		t.Rows = append(t.Rows, NewsRow(r))
	}
	return t
}

func (t *TableNews) news() feed.News {
	n := feed.News{
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
