package gateway

import (
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
