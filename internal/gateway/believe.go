package gateway

import (
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/routing"
)

// Tables names the places in the store that the gateway follows.
type Tables struct {
	// Operator holds the routing document under DocumentKey and roll-out orders
	// under OrdersPrefix and the service's name.
	Operator     string
	DocumentKey  string
	OrdersPrefix string
	// Upstreams holds the upstreams' entries under their ids.
	Upstreams string
	// Status holds the states of roll-outs, under the keys of their orders.
	Status string
}

// Codec decodes and encodes the rows of the tables.
type Codec struct {
	Document     func(data []byte) (routing.Document, error)
	Upstream     func(id string, data []byte) (Upstream, error)
	Order        func(data []byte, revision uint64) (Order, error)
	Status       func(data []byte, revision uint64) (RolloutStatus, error)
	EncodeStatus func(status RolloutStatus) ([]byte, error)
}

// operatorRows takes the operators' table.
type operatorRows struct {
	gateway *Gateway
}

// Replace implements feed.Handler. A document that vanished stays in force:
// operators replace documents, they don't withdraw them.
func (h *operatorRows) Replace(rows []feed.Row) {
	for _, row := range rows {
		h.Change(row)
	}
}

// Change implements feed.Handler.
func (h *operatorRows) Change(row feed.Row) {
	g := h.gateway
	tables := &g.settings.Tables
	switch {
	case row.Deleted:
	case row.Key == tables.DocumentKey:
		g.takeDocument(row)
	case strings.HasPrefix(row.Key, tables.OrdersPrefix):
		order, err := g.settings.Codec.Order(row.Data, row.Revision)
		if err != nil {
			g.unreadable(row, err)
			return
		}
		g.rollouts.order(order)
	}
}

// takeDocument puts a document in force unless a newer one is.
func (g *Gateway) takeDocument(row feed.Row) {
	start := time.Now()
	doc, err := g.settings.Codec.Document(row.Data)
	if err != nil {
		g.unreadable(row, err)
		return
	}
	known := g.table.Load()
	if known != nil && doc.Version <= known.Version {
		g.log.Debug().Str("event", "document-known").Uint64("version", doc.Version).Msg("")
		return
	}
	table, err := routing.New(doc)
	if err != nil {
		g.unreadable(row, err)
		return
	}
	g.table.Store(table)
	g.log.Info().Str("event", "document-in-force").Uint64("version", doc.Version).Uint64("revision", row.Revision).
		Int("routes", table.Routes()).Int("accounts", len(doc.Accounts)).
		Int("bytes", len(row.Data)).Int64("decode_ms", time.Since(start).Milliseconds()).Msg("")
}

func (g *Gateway) unreadable(row feed.Row, err error) {
	g.metrics.unreadable.Inc()
	g.log.Error().Str("event", "row-unreadable").Str("key", row.Key).Uint64("revision", row.Revision).Err(err).Msg("")
}

// upstreamRows takes the upstreams' table.
type upstreamRows struct {
	gateway *Gateway
}

// Replace implements feed.Handler.
func (h *upstreamRows) Replace(rows []feed.Row) {
	listed := make(map[string]bool, len(rows))
	revision := uint64(0)
	for _, row := range rows {
		listed[row.Key] = true
		revision = max(revision, row.Revision)
		h.Change(row)
	}
	h.gateway.fleet.Keep(listed, revision)
}

// Change implements feed.Handler.
func (h *upstreamRows) Change(row feed.Row) {
	g := h.gateway
	if row.Deleted {
		g.fleet.Remove(row.Key, row.Revision)
		return
	}
	u, err := g.settings.Codec.Upstream(row.Key, row.Data)
	if err != nil {
		g.unreadable(row, err)
		return
	}
	g.fleet.Set(u, row.Revision)
}

// statusRows takes the states of roll-outs.
type statusRows struct {
	gateway *Gateway
}

// Replace implements feed.Handler.
func (h *statusRows) Replace(rows []feed.Row) {
	for _, row := range rows {
		h.Change(row)
	}
}

// Change implements feed.Handler.
func (h *statusRows) Change(row feed.Row) {
	g := h.gateway
	if row.Deleted || !strings.HasPrefix(row.Key, g.settings.Tables.OrdersPrefix) {
		return
	}
	status, err := g.settings.Codec.Status(row.Data, row.Revision)
	if err != nil {
		g.unreadable(row, err)
		return
	}
	g.rollouts.status(status)
}
