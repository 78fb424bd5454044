package gateway

import (
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Tables holds the names of the store's tables that the gateway follows, and of the keys in them.
type Tables struct {
	// Operator holds the routing document under DocumentKey, and roll-out orders under
	// OrdersPrefix followed by the service's name.
	Operator     string
	DocumentKey  string
	OrdersPrefix string
	// EvacuationsPrefix, followed by the name of an availability zone, is the key of a row in the
	// operators' table. While the row exists, the zone's upstreams get no requests.
	EvacuationsPrefix string
	// Upstreams holds the upstreams' entries under their ids.
	Upstreams string
	// Status holds the statuses of roll-outs under the keys of their orders, and the quarantine
	// verdicts under VerdictsPrefix followed by the digest of the request.
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
