package lease

import (
	"context"
	"time"
)

// Receiver is the destination of orders.
type Receiver struct {
	// ID identifies the receiver.
	ID string
	// ChecksFencing is true if the receiver rejects an order whose fencing number is
	// lower than one that it has received before. It must be false if it isn't
	// known whether the receiver rejects such orders.
	ChecksFencing bool
}

// SendFunc sends one order with the fencing number to the receiver. It must return
// when its context ends. The order must be idempotent.
type SendFunc func(ctx context.Context, receiver Receiver, fencing uint64) error

// Orders sends orders on behalf of the holder of a lease.
//
// A receiver that checks fencing numbers rejects the orders of an earlier
// holder. For other receivers, the first order of a new holder is delayed by the
// predecessor's TTL and margin after the acquisition, so that any order that the
// predecessor was sending has arrived or failed by then. If the predecessor is
// paused for longer than this delay between its check of the lease and its write, only
// the receiver could reject its late order. The new holder must therefore repeat its
// order to a receiver without fencing while it holds the lease, so that the last
// order that the receiver executes is the new holder's.
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
	if wait := o.remainingWait(receiver); wait > 0 {
		return &TooEarlyError{Wait: wait}
	}
	remaining := o.lease.Remaining()
	if remaining == 0 {
		return o.lease.currentEndReason()
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return o.send(ctx, receiver, o.lease.Fencing())
}

func (o *Orders) remainingWait(receiver Receiver) time.Duration {
	if receiver.ChecksFencing {
		return 0
	}
	return o.lease.unfencedWait()
}

// unfencedWait returns how much longer orders to receivers without fencing must be
// delayed; the result is zero or less if they may be sent.
func (l *Lease) unfencedWait() time.Duration {
	if l.predecessorTTL == 0 {
		return 0
	}
	totalWait := l.predecessorTTL + l.manager.margin(l.predecessorTTL)
	return totalWait - l.manager.clock().Sub(l.acquiredAt)
}

// currentEndReason returns the error with which the lease ended. It returns nil if no
// call has found that it ended.
func (l *Lease) currentEndReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason
}
