package lease

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrLapsed means that the lease's time ran out. It never becomes valid
	// again; Release gives its name free before others' wait is over.
	ErrLapsed = errors.New("lease: lapsed")
	// ErrLost means that the row has another holder.
	ErrLost = errors.New("lease: lost to another holder")
	// ErrReleased means that the lease was released before.
	ErrReleased = errors.New("lease: released")
)

// HeldError reports that the name has a holder.
type HeldError struct {
	Holder  string
	Fencing uint64
	// Wait is how long the row must stay unchanged, from now, until this
	// manager may take the name.
	Wait time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: held by %q with fencing number %d", e.Holder, e.Fencing)
}

// TooEarlyError reports that a receiver that doesn't check fencing numbers
// can't be given an order yet.
type TooEarlyError struct {
	// Wait is the time left.
	Wait time.Duration
}

// Error implements error.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("lease: orders to a receiver without fencing must wait %v", e.Wait)
}
