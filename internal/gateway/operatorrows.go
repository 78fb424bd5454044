package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// operatorTableHandler applies the rows of the operators' table.
type operatorTableHandler struct {
	gateway     *Gateway
	unreadable  unreadableRowTracker
	evacuations *evacuations
}

func newOperatorTableHandler(g *Gateway) *operatorTableHandler {
	return &operatorTableHandler{
		gateway: g, unreadable: newUnreadableRowTracker(g, g.settings.Tables.Operator),
		evacuations: newEvacuations(g.settings.Tables.EvacuationsPrefix, g.fleet),
	}
}

// Replace implements feed.Handler. If the row of the document was removed, the document stays in
// force, since operators replace documents and don't withdraw them. If the row of an evacuation was
// removed, the evacuation ends, unless the store was restored from a backup that lacks the row.
func (h *operatorTableHandler) Replace(rows []feed.Row, revision storage.Revision) {
	h.evacuations.replace(rows, revision)
	for _, row := range rows {
		h.apply(row, true)
	}
}

// Change implements feed.Handler.
func (h *operatorTableHandler) Change(row feed.Row) {
	if !h.evacuations.change(row) {
		h.apply(row, false)
	}
}

// apply applies the row of a document or an order. listed is set if the row was received with the
// whole table.
func (h *operatorTableHandler) apply(row feed.Row, listed bool) {
	g := h.gateway
	tables := &g.settings.Tables
	switch {
	case row.Deleted:
	case row.Key == tables.DocumentKey:
		h.recordResult(row, g.applyDocument(row))
	case strings.HasPrefix(row.Key, tables.OrdersPrefix):
		h.recordResult(row, g.applyOrder(row, listed))
	}
}

// recordResult records whether a row could be applied: err is nil if so. If not, the previous
// content of the row stays in force.
func (h *operatorTableHandler) recordResult(row feed.Row, err error) {
	if err != nil {
		h.unreadable.report(row, err)
		return
	}
	h.unreadable.clear(row.Key)
}

// applyOrder applies the order of a roll-out. listed is set if the row was received with the whole
// table.
func (g *Gateway) applyOrder(row feed.Row, listed bool) error {
	order, err := g.settings.Codec.Order(row.Data, row.Revision)
	if err != nil {
		return err
	}
	if g.settings.Tables.OrdersPrefix+order.Service != row.Key {
		return fmt.Errorf("%w: %q", errKeyMismatch, order.Service)
	}
	g.rollouts.addOrder(order, listed)
	return nil
}

// applyDocument puts a routing document in force, unless one of the same or a newer version is in
// force.
func (g *Gateway) applyDocument(row feed.Row) error {
	start := time.Now()
	doc, err := g.settings.Codec.Document(row.Data)
	if err != nil {
		return err
	}
	known := g.routingTable.Load()
	if known != nil && doc.Version <= known.Version {
		g.log.Debug().Str("event", "document-known").Uint64("version", doc.Version).Msg("")
		return nil
	}
	table, err := routing.New(doc)
	if err != nil {
		return err
	}
	g.routingTable.Store(table)
	g.fleet.SetServices(doc.Services)
	g.log.Info().Str("event", "document-in-force").Uint64("version", doc.Version).Stringer("revision", row.Revision).
		Int("routes", table.RouteCount()).Int("accounts", len(doc.Accounts)).
		Int("bytes", len(row.Data)).Int64("decode_ms", time.Since(start).Milliseconds()).Msg("")
	return nil
}
