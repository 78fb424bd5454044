package gateway

import (
	"fmt"
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// statusRows takes the states of roll-outs.
type statusRows struct {
	gateway    *Gateway
	unreadable unreadableRows
	era        eraWatch
}

func newStatusRows(g *Gateway) *statusRows {
	return &statusRows{gateway: g, unreadable: newUnreadableRows(g, g.settings.Tables.Status)}
}

// Replace implements feed.Handler. What hosts wrote after the copy from which the store came
// back they write again.
func (h *statusRows) Replace(rows []feed.Row, revision storage.Revision) {
	if h.era.note(revision) {
		h.gateway.rollouts.forgetRows()
		h.gateway.guard.ForgetRows()
	}
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		keys[row.Key] = true
		h.Change(row)
	}
	h.gateway.guard.KeepRows(keys)
}

// changeVerdict takes the row of a verdict. One that can't be read keeps nothing away.
func (h *statusRows) changeVerdict(row feed.Row) {
	var err error
	if row.Deleted {
		err = h.gateway.guard.RowRemoved(row.Key)
	} else {
		err = h.gateway.guard.TakeRow(row.Key, row.Data, row.Revision)
	}
	if err != nil {
		h.unreadable.note(row, err)
		return
	}
	h.unreadable.clear(row.Key)
}

// Change implements feed.Handler. A status that can't be read tells nothing but its
// revision, at which the next one replaces it: without that no host could ever write
// one again.
func (h *statusRows) Change(row feed.Row) {
	g := h.gateway
	if strings.HasPrefix(row.Key, g.settings.Tables.VerdictsPrefix) {
		h.changeVerdict(row)
		return
	}
	service, ok := strings.CutPrefix(row.Key, g.settings.Tables.OrdersPrefix)
	if row.Deleted || !ok {
		return
	}
	status, err := g.settings.Codec.Status(row.Data, row.Revision)
	if err == nil && status.Service != service {
		err = fmt.Errorf("%w: %q", errOtherKey, status.Service)
	}
	if err != nil {
		h.unreadable.note(row, err)
		g.rollouts.status(RolloutStatus{Service: service, Revision: row.Revision})
		return
	}
	h.unreadable.clear(row.Key)
	g.rollouts.status(status)
}
