package gateway

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Tables names the places in the store that the gateway follows.
type Tables struct {
	// Operator holds the routing document under DocumentKey and roll-out orders
	// under OrdersPrefix and the service's name.
	Operator     string
	DocumentKey  string
	OrdersPrefix string
	// EvacuationsPrefix is before the name of an availability zone in the operator's
	// table: while the row is there, the zone's upstreams get nothing.
	EvacuationsPrefix string
	// Upstreams holds the upstreams' entries under their ids.
	Upstreams string
	// Status holds the states of roll-outs, under the keys of their orders, and under
	// VerdictsPrefix and their digests the requests that are kept away from upstreams.
	Status         string
	VerdictsPrefix string
}

// Codec decodes and encodes the rows of the tables.
type Codec struct {
	Document     func(data []byte) (routing.Document, error)
	Upstream     func(id string, data []byte) (Upstream, error)
	Order        func(data []byte, revision storage.Revision) (Order, error)
	Status       func(data []byte, revision storage.Revision) (RolloutStatus, error)
	EncodeStatus func(status RolloutStatus) ([]byte, error)
}

// operatorRows takes the operators' table.
type operatorRows struct {
	gateway    *Gateway
	unreadable unreadableRows
	evacuated  *evacuations
}

func newOperatorRows(g *Gateway) *operatorRows {
	return &operatorRows{
		gateway: g, unreadable: newUnreadableRows(g, g.settings.Tables.Operator),
		evacuated: newEvacuations(g.settings.Tables.EvacuationsPrefix, g.fleet),
	}
}

// Replace implements feed.Handler. A document that vanished stays in force:
// operators replace documents, they don't withdraw them. An evacuation that vanished is
// over, unless the store came back from a copy that lacks it.
func (h *operatorRows) Replace(rows []feed.Row, revision storage.Revision) {
	h.evacuated.replace(rows, revision)
	for _, row := range rows {
		h.change(row, true)
	}
}

// Change implements feed.Handler.
func (h *operatorRows) Change(row feed.Row) {
	if !h.evacuated.change(row) {
		h.change(row, false)
	}
}

// change takes the row of a document or an order; listed says that it came with the whole
// table.
func (h *operatorRows) change(row feed.Row, listed bool) {
	g := h.gateway
	tables := &g.settings.Tables
	switch {
	case row.Deleted:
	case row.Key == tables.DocumentKey:
		h.note(row, g.takeDocument(row))
	case strings.HasPrefix(row.Key, tables.OrdersPrefix):
		h.note(row, g.takeOrder(row, listed))
	}
}

// note takes in whether a row could be read. What was in force before stays.
func (h *operatorRows) note(row feed.Row, err error) {
	if err != nil {
		h.unreadable.note(row, err)
		return
	}
	h.unreadable.clear(row.Key)
}

// takeOrder takes the order of a roll-out; listed says that it came with the whole table.
func (g *Gateway) takeOrder(row feed.Row, listed bool) error {
	order, err := g.settings.Codec.Order(row.Data, row.Revision)
	if err != nil {
		return err
	}
	if g.settings.Tables.OrdersPrefix+order.Service != row.Key {
		return fmt.Errorf("%w: %q", errOtherKey, order.Service)
	}
	g.rollouts.order(order, listed)
	return nil
}

// takeDocument puts a document in force unless a newer one is.
func (g *Gateway) takeDocument(row feed.Row) error {
	start := time.Now()
	doc, err := g.settings.Codec.Document(row.Data)
	if err != nil {
		return err
	}
	known := g.table.Load()
	if known != nil && doc.Version <= known.Version {
		g.log.Debug().Str("event", "document-known").Uint64("version", doc.Version).Msg("")
		return nil
	}
	table, err := routing.New(doc)
	if err != nil {
		return err
	}
	g.table.Store(table)
	g.fleet.SetServices(doc.Services)
	g.log.Info().Str("event", "document-in-force").Uint64("version", doc.Version).Stringer("revision", row.Revision).
		Int("routes", table.Routes()).Int("accounts", len(doc.Accounts)).
		Int("bytes", len(row.Data)).Int64("decode_ms", time.Since(start).Milliseconds()).Msg("")
	return nil
}

// unreadableRows are the rows of one table that can't be read, with the revisions at
// which that was told: a listing brings them again, and each is logged once a change.
type unreadableRows struct {
	gateway *Gateway
	table   string
	told    map[string]storage.Revision
}

func newUnreadableRows(g *Gateway, table string) unreadableRows {
	return unreadableRows{gateway: g, table: table, told: make(map[string]storage.Revision)}
}

// note takes in a row that can't be read.
func (u *unreadableRows) note(row feed.Row, err error) {
	if u.told[row.Key] == row.Revision {
		return
	}
	u.told[row.Key] = row.Revision
	u.gateway.metrics.unreadable(u.table).Inc()
	u.gateway.log.Error().Str("event", "row-unreadable").Str("table", u.table).Str("key", row.Key).
		Stringer("revision", row.Revision).Int("bytes", len(row.Data)).Err(err).Msg("")
}

// keep forgets the keys that have no row any more.
func (u *unreadableRows) keep(keys map[string]bool) {
	maps.DeleteFunc(u.told, func(key string, _ storage.Revision) bool { return !keys[key] })
}

// clear takes in that the key has a row that can be read, or none.
func (u *unreadableRows) clear(key string) { delete(u.told, key) }

// errOtherKey means that a row says that it is about something else than its key.
var errOtherKey = errors.New("gateway: the row's key is another one's")

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
