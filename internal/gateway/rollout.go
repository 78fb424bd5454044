package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// RolloutOrder is an operators' order to move a service's requests to a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision is the store revision of the order. A later order has a higher revision.
	Revision storage.Revision
}

// RolloutState is the state of a roll-out.
type RolloutState int

const (
	// RolloutRunning: requests are being moved to the new version.
	RolloutRunning RolloutState = iota
	// RolloutCompleted: all requests run on the new version.
	RolloutCompleted
	// RolloutReverted: no requests run on the new version.
	RolloutReverted
)

// String returns the state's name in logs.
func (s RolloutState) String() string {
	return [...]string{"running", "completed", "reverted"}[s]
}

// RolloutStatus is the stored status of a roll-out.
type RolloutStatus struct {
	Service string
	Version string
	State   RolloutState
	// BaseVersion is the version that serves the requests that don't run on Version; empty if it isn't
	// known. Hosts that start during the roll-out can't derive it from the upstreams.
	BaseVersion string
	// OrderRevision is the revision of the order that the status belongs to.
	OrderRevision storage.Revision
	// Started is the time, by the store's clock, at which the host that wrote the first status
	// received the order.
	Started time.Duration
	// Revision is the store revision of this status; 0 before it is written.
	Revision storage.Revision
}
