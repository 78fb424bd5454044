package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Order is an operators' request to move a service's requests to a version.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision is the store's at the order; a later order has a higher one.
	Revision storage.Revision
}

// RolloutState is how far a roll-out is.
type RolloutState int

const (
	// RolloutRunning moves requests to the new version.
	RolloutRunning RolloutState = iota
	// RolloutCompleted runs all requests on the new version.
	RolloutCompleted
	// RolloutReverted runs none on it.
	RolloutReverted
)

// String is the state's name in logs.
func (s RolloutState) String() string {
	return [...]string{"running", "completed", "reverted"}[s]
}

// RolloutStatus is what the store keeps of a roll-out.
type RolloutStatus struct {
	Service string
	Version string
	State   RolloutState
	// OrderRevision is the revision of the order that this is about.
	OrderRevision storage.Revision
	// Started is the store's clock when the first host saw the order.
	Started time.Duration
	// Revision is the store's at this status; 0 before it is written.
	Revision storage.Revision
}
