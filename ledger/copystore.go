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
	// DefaultMaxCopies is the maximum number of bills that a host stores for its
	// peers.
	DefaultMaxCopies = 20_000
	// DefaultMaxAge is the time since the last message of an owner after which
	// its bills are written.
	DefaultMaxAge = time.Minute
)

// ErrCopyStoreFull means that a host already stores the maximum number of bills
// for its peers.
var ErrCopyStoreFull = errors.New("ledger: too many bills held for other hosts")

// CopyStoreOptions configure a CopyStore.
type CopyStoreOptions struct {
	// MaxBills bounds the number of stored bills; default DefaultMaxCopies.
	MaxBills int
	// MaxAge is the time since the last message of an owner after which Sweep
	// writes its bills; default DefaultMaxAge.
	MaxAge time.Duration
}

// CopyStore is the receiving side of Replicator: it stores copies of other
// hosts' bills and writes them to the table when their owner is down. It is safe
// for concurrent use.
type CopyStore struct {
	ledger *Ledger
	opts   CopyStoreOptions

	mu        sync.Mutex
	owners    map[string]*ownerCopies
	billCount int
}

// ownerCopies holds the copies of one owner's bills.
type ownerCopies struct {
	// released is the highest message number that the owner has released. A
	// message that arrives after its own release is ignored.
	released uint64
	// batches holds the copies in the order of their arrival. unpacked is the
	// number of batches, at the end of the list, that aren't packed yet.
	batches  []copyBatch
	unpacked int
	// lastContact is when the owner's last message arrived.
	lastContact time.Time
}

// NewCopyStore returns a CopyStore that writes through l.
func NewCopyStore(l *Ledger, opts CopyStoreOptions) *CopyStore {
	defaults.Positive(&opts.MaxBills, DefaultMaxCopies)
	defaults.Positive(&opts.MaxAge, DefaultMaxAge)
	return &CopyStore{ledger: l, opts: opts, owners: make(map[string]*ownerCopies)}
}

// Store stores copies of the owner's bills in message seq. It returns
// ErrCopyStoreFull, and stores none, if they would exceed MaxBills.
func (c *CopyStore) Store(owner string, seq uint64, bills []Bill) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.billCount+len(bills) > c.opts.MaxBills {
		return ErrCopyStoreFull
	}
	o := c.owner(owner)
	if seq <= o.released {
		return nil
	}
	o.add(seq, bills)
	c.billCount += len(bills)
	return nil
}

// Release deletes the copies of the owner's messages up to number upTo.
func (c *CopyStore) Release(owner string, upTo uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owner(owner)
	o.released = max(o.released, upTo)
	c.release(o, upTo)
}

// Count returns the number of stored bills.
func (c *CopyStore) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.billCount
}

// TakeOver writes the bills stored for a host that is down. host is a host's
// name or the Owner of one of its incarnations. The bills move to this host's ledger,
// which copies them to another peer and retries until they are written; an
// error means only that they aren't written yet.
func (c *CopyStore) TakeOver(ctx context.Context, host string) error {
	return c.takeOver(ctx, func(owner string, _ *ownerCopies) bool {
		return owner == host || strings.HasPrefix(owner, host+"/")
	})
}

// Sweep writes the bills of owners that haven't sent a message for MaxAge, such
// as a process that was restarted, and removes these owners.
func (c *CopyStore) Sweep(ctx context.Context) error {
	oldest := c.ledger.opts.Clock().Add(-c.opts.MaxAge)
	return c.takeOver(ctx, func(_ string, o *ownerCopies) bool {
		return o.lastContact.Before(oldest)
	})
}

// takeOver moves the copies of the owners that match to the ledger and flushes
// it.
func (c *CopyStore) takeOver(ctx context.Context, match func(name string, o *ownerCopies) bool) error {
	if !c.moveToLedger(match) {
		return nil
	}
	return c.ledger.Flush(ctx)
}

// moveToLedger adds the bills of the owners that match to the ledger, removes
// these owners and reports whether there was a bill to move. It adds the bills
// to the ledger before it releases CopyStore.mu, so that a concurrent caller finds
// each bill in the store or in the ledger at any time.
func (c *CopyStore) moveToLedger(match func(name string, o *ownerCopies) bool) bool {
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

// release removes the batches of messages up to number upTo and returns them.
// CopyStore.mu is held.
func (c *CopyStore) release(o *ownerCopies, upTo uint64) []copyBatch {
	released := o.release(upTo)
	for _, b := range released {
		c.billCount -= b.count
	}
	return released
}

// owner returns the record of an owner, creating it if needed, and updates its
// lastContact. CopyStore.mu is held.
func (c *CopyStore) owner(name string) *ownerCopies {
	o := c.owners[name]
	if o == nil {
		o = &ownerCopies{}
		c.owners[name] = o
	}
	o.lastContact = c.ledger.opts.Clock()
	return o
}
