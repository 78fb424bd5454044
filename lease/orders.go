package lease

import (
	"context"
	"time"
)

// Receiver takes orders.
type Receiver struct {
	// ID names the receiver.
	ID string
	// Fenced says that it refuses an order whose fencing number is lower than
	// one it has seen. Where that isn't known it must be false.
	Fenced bool
}

// SendFunc sends one order with the fencing number. It must end with its
// context. The order must be idempotent.
type SendFunc func(ctx context.Context, receiver Receiver, fencing uint64) error

// Orders sends orders on behalf of a lease's holder.
//
// A receiver that checks fencing numbers refuses the orders of an earlier
// holder by itself. For one that doesn't, the first order of a new holder
// waits for the predecessor's TTL and margin after the lease was acquired, so
// that an order which the predecessor was sending has arrived or failed by
// then. A predecessor that is paused for longer, in the instant between its
// last check and its write, can't be stopped by anyone but the receiver. The
// holder therefore repeats its orders to such receivers while it holds the
// lease, and the last word is the holder's.
type Orders struct {
	lease *Lease
	send  SendFunc
}

// NewOrders returns an Orders for the holder of l.
func NewOrders(l *Lease, send SendFunc) *Orders {
	return &Orders{lease: l, send: send}
}

// Send gives the receiver an order. It returns ErrLapsed, ErrLost, ErrReleased
// or *TooEarlyError without sending anything. The context that the order is
// sent with ends no later than the lease.
func (o *Orders) Send(ctx context.Context, receiver Receiver) error {
	if wait := o.wait(receiver); wait > 0 {
		return &TooEarlyError{Wait: wait}
	}
	remaining := o.lease.Remaining()
	if remaining == 0 {
		return o.lease.why()
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

// unfencedWait returns how long receivers without fencing must be left alone.
func (l *Lease) unfencedWait() time.Duration {
	if l.predecessor == 0 {
		return 0
	}
	quiet := l.predecessor + l.manager.margin(l.predecessor)
	return quiet - l.manager.clock().Sub(l.acquired)
}

// why returns the reason why the lease is over.
func (l *Lease) why() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}
