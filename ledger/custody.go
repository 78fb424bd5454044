package ledger

import (
	"context"
	"errors"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

const (
	// DefaultMaxHeld is the number of bills that a host holds for its peers.
	DefaultMaxHeld = 20_000
	// DefaultMaxAge is how long bills are held without a word from their owner
	// before they are written.
	DefaultMaxAge = time.Minute
)

// ErrCustodyFull means that a peer holds as many bills as it may.
var ErrCustodyFull = errors.New("ledger: custody is full")

// CustodyOptions configure a Custody.
type CustodyOptions struct {
	// MaxBills bounds the held bills; default DefaultMaxHeld.
	MaxBills int
	// MaxAge is the age at which Sweep writes bills whose owner hasn't been
	// heard of for as long; default DefaultMaxAge.
	MaxAge time.Duration
}

// Custody is the peer's side of Holder: it keeps copies of other hosts' bills
// and writes them when their owner is down. It is safe for concurrent use.
type Custody struct {
	ledger *Ledger
	opts   CustodyOptions

	mu     sync.Mutex
	owners map[string]*owned
	held   int
}

// owned are the copies for one owner.
type owned struct {
	// dropped is the highest number that the owner has released. A message
	// that comes after its own release is ignored.
	dropped uint64
	// batches are in the order of their arrival; the last loose of them aren't
	// packed yet.
	batches []heldBatch
	loose   int
	// touched is when the owner was last heard of.
	touched time.Time
}

// NewCustody returns a Custody that writes through l.
func NewCustody(l *Ledger, opts CustodyOptions) *Custody {
	defaults.Positive(&opts.MaxBills, DefaultMaxHeld)
	defaults.Positive(&opts.MaxAge, DefaultMaxAge)
	return &Custody{ledger: l, opts: opts, owners: make(map[string]*owned)}
}

// Hold keeps bills for owner. It refuses with ErrCustodyFull at its bound.
func (c *Custody) Hold(owner string, seq uint64, bills []Bill) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+len(bills) > c.opts.MaxBills {
		return ErrCustodyFull
	}
	o := c.owner(owner)
	if seq <= o.dropped {
		return nil
	}
	o.hold(seq, bills)
	c.held += len(bills)
	return nil
}

// Drop releases the owner's bills up to upTo.
func (c *Custody) Drop(owner string, upTo uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owner(owner)
	o.dropped = max(o.dropped, upTo)
	c.release(o, upTo)
}

// Held is the number of bills held.
func (c *Custody) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Settle writes the bills held for a host that is down. host is a host's name
// or the owner of one incarnation. The bills become those of this host's
// ledger, which holds them elsewhere and retries until they are written; an
// error says only that they aren't written yet.
func (c *Custody) Settle(ctx context.Context, host string) error {
	return c.adopt(ctx, func(owner string, _ *owned) bool {
		return owner == host || strings.HasPrefix(owner, host+"/")
	})
}

// Sweep writes the bills of owners that haven't been heard of for MaxAge, such
// as a process that was restarted, and forgets these owners.
func (c *Custody) Sweep(ctx context.Context) error {
	oldest := c.ledger.opts.Clock().Add(-c.opts.MaxAge)
	return c.adopt(ctx, func(_ string, o *owned) bool {
		return o.touched.Before(oldest)
	})
}

// adopt moves the copies of the owners that match to the ledger and flushes
// it.
func (c *Custody) adopt(ctx context.Context, match func(name string, o *owned) bool) error {
	if !c.move(match) {
		return nil
	}
	return c.ledger.Flush(ctx)
}

// move reports whether there was a bill to move. The bills are in the ledger
// before they leave the custody.
func (c *Custody) move(match func(name string, o *owned) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := false
	for name, o := range c.owners {
		if !match(name, o) {
			continue
		}
		for _, b := range c.release(o, math.MaxUint64) {
			moved = true
			c.ledger.addAll(b.unpack())
		}
		delete(c.owners, name)
	}
	return moved
}

// release removes the batches up to upTo and returns them. Custody.mu is held.
func (c *Custody) release(o *owned, upTo uint64) []heldBatch {
	released := o.release(upTo)
	for _, b := range released {
		c.held -= b.count
	}
	return released
}

// owner returns the record of an owner and notes that it was heard of.
// Custody.mu is held.
func (c *Custody) owner(name string) *owned {
	o := c.owners[name]
	if o == nil {
		o = &owned{}
		c.owners[name] = o
	}
	o.touched = c.ledger.opts.Clock()
	return o
}
