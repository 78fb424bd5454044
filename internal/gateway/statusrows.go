package gateway

import (
	"fmt"
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// statusTableHandler applies the rows of the status table: the statuses of roll-outs and the
// quarantine verdicts.
type statusTableHandler struct {
	gateway    *Gateway
	unreadable unreadableRowTracker
	era        eraTracker
}

func newStatusTableHandler(g *Gateway) *statusTableHandler {
	return &statusTableHandler{gateway: g, unreadable: newUnreadableRowTracker(g, g.settings.Tables.Status)}
}

// Replace implements feed.Handler. After a restore of the store from a backup, it marks this host's
// statuses and verdicts to be written again, since the backup may lack them.
func (h *statusTableHandler) Replace(rows []feed.Row, revision storage.Revision) {
	if h.era.observe(revision) {
		h.gateway.rollouts.resetStoredStatuses()
		h.gateway.guard.MarkRowsUnsaved()
	}
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		keys[row.Key] = true
		h.Change(row)
	}
	h.gateway.guard.DropMissingVerdicts(keys)
}

// applyVerdict applies the row of a quarantine verdict. A row that can't be decoded is ignored.
func (h *statusTableHandler) applyVerdict(row feed.Row) {
	var err error
	if row.Deleted {
		err = h.gateway.guard.ApplyRowRemoval(row.Key)
	} else {
		err = h.gateway.guard.ApplyRow(row.Key, row.Data, row.Revision)
	}
	if err != nil {
		h.unreadable.report(row, err)
		return
	}
	h.unreadable.clear(row.Key)
}

// Change implements feed.Handler. If a status can't be decoded, its revision is still applied,
// since writes are conditional on it and no host could replace the row without it.
func (h *statusTableHandler) Change(row feed.Row) {
	g := h.gateway
	if strings.HasPrefix(row.Key, g.settings.Tables.VerdictsPrefix) {
		h.applyVerdict(row)
		return
	}
	service, ok := strings.CutPrefix(row.Key, g.settings.Tables.OrdersPrefix)
	if row.Deleted || !ok {
		return
	}
	status, err := g.settings.Codec.Status(row.Data, row.Revision)
	if err == nil && status.Service != service {
		err = fmt.Errorf("%w: %q", errKeyMismatch, status.Service)
	}
	if err != nil {
		h.unreadable.report(row, err)
		g.rollouts.setStatus(RolloutStatus{Service: service, Revision: row.Revision})
		return
	}
	h.unreadable.clear(row.Key)
	g.rollouts.setStatus(status)
}
