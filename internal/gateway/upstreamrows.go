package gateway

import (
	"errors"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// upstreamRows takes the upstreams' table.
type upstreamRows struct {
	gateway    *Gateway
	unreadable unreadableRows
	era        eraWatch
}

func newUpstreamRows(g *Gateway) *upstreamRows {
	return &upstreamRows{gateway: g, unreadable: newUnreadableRows(g, g.settings.Tables.Upstreams)}
}

// Replace implements feed.Handler. Upstreams that the copy lacks from which the store came
// back write their entries again.
func (h *upstreamRows) Replace(rows []feed.Row, revision storage.Revision) {
	lapsed := h.era.note(revision) || h.era.rewriting() || h.gateway.storeReturned()
	keys := make(map[string]bool, len(rows))
	entries := make([]entry, 0, len(rows))
	var starts starts
	for _, row := range rows {
		keys[row.Key] = true
		u, known := h.gateway.fleet.entry(row.Key, row.Revision)
		if !known {
			var ok bool
			if u, ok = h.read(row); !ok {
				continue
			}
		}
		starts.count(&u, 1)
		if !known || u.Incarnation == 0 { // the others may refuse one without a start
			entries = append(entries, entry{upstream: u, row: row})
		}
	}
	for _, e := range entries {
		h.set(e, starts.usual())
	}
	h.unreadable.keep(keys)
	h.gateway.fleet.Keep(keys, revision, lapsed)
}

// entry is an upstream's row and what it says.
type entry struct {
	upstream Upstream
	row      feed.Row
}

// Change implements feed.Handler.
func (h *upstreamRows) Change(row feed.Row) {
	if row.Deleted {
		h.unreadable.clear(row.Key)
		h.gateway.fleet.Remove(row.Key, row.Revision, h.gateway.storeReturned())
		return
	}
	if u, ok := h.read(row); ok {
		h.set(entry{upstream: u, row: row}, u.Incarnation == 0 && h.gateway.fleet.starts().usual())
	}
}

// read decodes an entry. One that can't be read names no upstream to use, whatever its
// key named before.
func (h *upstreamRows) read(row feed.Row) (Upstream, bool) {
	u, err := h.gateway.settings.Codec.Upstream(row.Key, row.Data)
	if err != nil {
		h.refuse(row, err)
		return Upstream{}, false
	}
	return u, true
}

// errNoStart means that an entry doesn't tell the upstream's start, where the other
// upstreams' do.
var errNoStart = errors.New("gateway: the entry doesn't tell the upstream's start")

// set puts an entry into use. Where upstreams usually tell their start, an entry without
// one is another writer's.
func (h *upstreamRows) set(e entry, startUsual bool) {
	if startUsual && e.upstream.Incarnation == 0 {
		h.refuse(e.row, errNoStart)
		return
	}
	h.unreadable.clear(e.row.Key)
	h.gateway.fleet.Set(e.upstream, e.row.Revision)
}

func (h *upstreamRows) refuse(row feed.Row, err error) {
	h.unreadable.note(row, err)
	h.gateway.fleet.Withdraw(row.Key, row.Revision)
}
