package gateway

import (
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Tables are the names of the tables and keys in the store that the gateway follows.
type Tables struct {
	// Operator holds the routing document under DocumentKey, and roll-out orders under
	// OrdersPrefix followed by the service's name.
	Operator     string
	DocumentKey  string
	OrdersPrefix string
	// EvacuationsPrefix precedes the name of an availability zone in the operators' table: while
	// the row exists, the zone's upstreams get no requests.
	EvacuationsPrefix string
	// Upstreams holds the upstreams' entries under their ids.
	Upstreams string
	// Status holds the statuses of roll-outs under the keys of their orders, and the quarantined
	// requests under VerdictsPrefix followed by their digests.
	Status         string
	VerdictsPrefix string
}

// Codec decodes and encodes the rows of the tables.
type Codec struct {
	Document     func(data []byte) (routing.Document, error)
	Upstream     func(id string, data []byte) (Upstream, error)
	Order        func(data []byte, revision storage.Revision) (RolloutOrder, error)
	Status       func(data []byte, revision storage.Revision) (RolloutStatus, error)
	EncodeStatus func(status RolloutStatus) ([]byte, error)
}
