package gateway

import (
	"errors"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// upstreamTableHandler applies the rows of the upstreams' table, which contain their entries.
type upstreamTableHandler struct {
	gateway    *Gateway
	unreadable unreadableRowTracker
	era        eraTracker
}

func newUpstreamTableHandler(g *Gateway) *upstreamTableHandler {
	return &upstreamTableHandler{gateway: g, unreadable: newUnreadableRowTracker(g, g.settings.Tables.Upstreams)}
}

// Replace implements feed.Handler. After a restore of the store from a backup, upstreams whose
// entries the backup lacks write them again, so missing entries count as expired because of an
// outage.
func (h *upstreamTableHandler) Replace(rows []feed.Row, revision storage.Revision) {
	expiredInOutage := h.era.observe(revision) || h.era.inRestoreGrace() || h.gateway.storeRecentlyRecovered()
	keys := make(map[string]bool, len(rows))
	entries := make([]entry, 0, len(rows))
	var starts startCounts
	for _, row := range rows {
		keys[row.Key] = true
		u, known := h.gateway.fleet.currentEntry(row.Key, row.Revision)
		if !known {
			var ok bool
			if u, ok = h.decode(row); !ok {
				continue
			}
		}
		starts.count(&u, 1)
		if !known || u.Incarnation == 0 { // may be rejected if most others have a start time
			entries = append(entries, entry{upstream: u, row: row})
		}
	}
	for _, e := range entries {
		h.applyEntry(e, starts.mostHaveStart())
	}
	h.unreadable.retain(keys)
	h.gateway.fleet.RemoveUnlistedEntries(keys, revision, expiredInOutage)
}

// entry is a row of an upstream and its decoded content.
type entry struct {
	upstream Upstream
	row      feed.Row
}

// Change implements feed.Handler.
func (h *upstreamTableHandler) Change(row feed.Row) {
	if row.Deleted {
		h.unreadable.clear(row.Key)
		h.gateway.fleet.RemoveEntry(row.Key, row.Revision, h.gateway.storeRecentlyRecovered())
		return
	}
	if u, ok := h.decode(row); ok {
		h.applyEntry(entry{upstream: u, row: row}, u.Incarnation == 0 && h.gateway.fleet.startCounts().mostHaveStart())
	}
}

// decode decodes the row of an upstream. If it can't be decoded, the upstream is withdrawn.
func (h *upstreamTableHandler) decode(row feed.Row) (Upstream, bool) {
	u, err := h.gateway.settings.Codec.Upstream(row.Key, row.Data)
	if err != nil {
		h.reject(row, err)
		return Upstream{}, false
	}
	return u, true
}

// errNoStart means that an entry has no start time although the entries of most other upstreams
// have one.
var errNoStart = errors.New("gateway: the entry has no start time of the upstream")

// applyEntry applies an entry. Where most upstreams have a start time, it rejects an entry without
// one, which something other than an upstream must have written.
func (h *upstreamTableHandler) applyEntry(e entry, mostHaveStart bool) {
	if mostHaveStart && e.upstream.Incarnation == 0 {
		h.reject(e.row, errNoStart)
		return
	}
	h.unreadable.clear(e.row.Key)
	h.gateway.fleet.ApplyEntry(e.upstream, e.row.Revision)
}

func (h *upstreamTableHandler) reject(row feed.Row, err error) {
	h.unreadable.report(row, err)
	h.gateway.fleet.WithdrawUpstream(row.Key, row.Revision)
}
