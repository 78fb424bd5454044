package lease

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrLapsed means that the lease has expired. It never becomes valid again.
	// Contenders may still have to wait for the name; Release frees it at once.
	ErrLapsed = errors.New("lease: lapsed")
	// ErrLost means that the lease's row now belongs to another acquisition.
	ErrLost = errors.New("lease: lost to another holder")
	// ErrReleased means that the lease was already released.
	ErrReleased = errors.New("lease: released")
)

// HeldError means that the name is held by another holder.
type HeldError struct {
	Holder  string
	Fencing uint64
	// Wait is how much longer the row must stay unchanged before this Manager
	// may acquire the name.
	Wait time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: held by %q with fencing number %d", e.Holder, e.Fencing)
}

// TooEarlyError means that no order may be sent yet to a receiver that doesn't
// check fencing numbers.
type TooEarlyError struct {
	// Wait is the remaining time until an order may be sent.
	Wait time.Duration
}

// Error implements error.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("lease: orders to a receiver without fencing must wait %v", e.Wait)
}
