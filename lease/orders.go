package lease

import (
	"context"
	"time"
)

// Receiver is the destination of orders.
type Receiver struct {
	// ID identifies the receiver.
	ID string
	// Fenced is true if the receiver rejects an order whose fencing number is
	// lower than one it has received. It must be false if that is unknown.
	Fenced bool
}

// SendFunc sends one order with the fencing number. It must return when its
// context ends. The order must be idempotent.
type SendFunc func(ctx context.Context, receiver Receiver, fencing uint64) error

// Orders sends orders on behalf of the holder of a lease.
//
// A receiver that checks fencing numbers rejects the orders of an earlier
// holder. For other receivers, the first order of a new holder is delayed by the
// predecessor's TTL and margin after the acquisition, so that any order that the
// predecessor was sending has arrived or failed by then. If the predecessor is
// paused for longer, between its last check and its write, only the receiver
// could reject its order. The holder therefore repeats its orders to such
// receivers while it holds the lease, so that its order is the last one.
type Orders struct {
	lease *Lease
	send  SendFunc
}

// NewOrders returns an Orders that sends with send while l is held.
func NewOrders(l *Lease, send SendFunc) *Orders {
	return &Orders{lease: l, send: send}
}

// Send sends an order to the receiver. If it returns ErrLapsed, ErrLost,
// ErrReleased or *TooEarlyError, nothing was sent. The context of the order ends
// no later than the lease.
func (o *Orders) Send(ctx context.Context, receiver Receiver) error {
	if wait := o.wait(receiver); wait > 0 {
		return &TooEarlyError{Wait: wait}
	}
	remaining := o.lease.Remaining()
	if remaining == 0 {
		return o.lease.reason()
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return o.send(ctx, receiver, o.lease.Fencing())
}

func (o *Orders) wait(receiver Receiver) time.Duration {
	if receiver.Fenced {
		return 0
	}
	return o.lease.unfencedWait()
}

// unfencedWait returns how long no order may be sent to receivers without
// fencing.
func (l *Lease) unfencedWait() time.Duration {
	if l.predecessorTTL == 0 {
		return 0
	}
	waitTime := l.predecessorTTL + l.manager.margin(l.predecessorTTL)
	return waitTime - l.manager.clock().Sub(l.acquiredAt)
}

// reason returns the error that ended the lease.
func (l *Lease) reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason
}
