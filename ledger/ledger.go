package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of Options.
const (
	// DefaultFlushEvery is the time between flushes.
	DefaultFlushEvery = time.Second
	// DefaultMinFlushGap is the least time between flushes asked for early.
	DefaultMinFlushGap = 100 * time.Millisecond
	// DefaultMaxSegment is the number of bills in one segment.
	DefaultMaxSegment = 2000
	// DefaultMaxPending is the number of unwritten bills of one host.
	DefaultMaxPending = 20_000
	// DefaultRecordTimeout is how long Record waits for a bill to be safe.
	DefaultRecordTimeout = 200 * time.Millisecond
	// DefaultHoldTimeout is how long one peer may take to accept bills.
	DefaultHoldTimeout = 60 * time.Millisecond
	// DefaultWriteTimeout bounds the write of one segment.
	DefaultWriteTimeout = 5 * time.Second
)

const (
	// shardCount is a power of two.
	shardCount = 16
	// maxHoldBatch is the most bills in one message to a peer.
	maxHoldBatch = 512
)

// Holder keeps copies of bills on peers in other availability zones.
type Holder interface {
	// Hold gives bills to a peer of the implementation's choice and returns
	// its host. With an error, a holder that isn't empty may have the bills.
	// An implementation goes to another peer after a failed call.
	Hold(ctx context.Context, owner string, seq uint64, bills []Bill) (holder string, err error)
	// Drop says that the owner's bills up to upTo are in the table.
	Drop(ctx context.Context, holder, owner string, upTo uint64) error
}

// Options configure a Ledger. Table, Objects and Host are needed.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	// Host is this host's name.
	Host string
	// Holders is nil where there are no peers; then Record waits for a flush.
	Holders Holder
	// FlushEvery is the time between flushes; default DefaultFlushEvery.
	FlushEvery time.Duration
	// MinFlushGap is the least time between flushes when bills wait that no
	// peer holds; default DefaultMinFlushGap.
	MinFlushGap time.Duration
	// MaxSegment is the most bills in a segment; default DefaultMaxSegment.
	MaxSegment int
	// MaxPending is the number of unwritten bills at which Admit refuses;
	// default DefaultMaxPending.
	MaxPending int
	// RecordTimeout is how long Record waits; default DefaultRecordTimeout.
	RecordTimeout time.Duration
	// HoldTimeout bounds one call of Holders; default DefaultHoldTimeout.
	HoldTimeout time.Duration
	// WriteTimeout bounds the write of one segment; default
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Clock is the source of the time of refusals; default time.Now.
	Clock storage.Clock
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.FlushEvery, DefaultFlushEvery)
	defaults.Positive(&o.MinFlushGap, DefaultMinFlushGap)
	defaults.Positive(&o.RecordTimeout, DefaultRecordTimeout)
	defaults.Positive(&o.HoldTimeout, DefaultHoldTimeout)
	defaults.Positive(&o.WriteTimeout, DefaultWriteTimeout)
	defaults.Positive(&o.MaxSegment, DefaultMaxSegment)
	defaults.Positive(&o.MaxPending, DefaultMaxPending)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

// Ledger records the bills of one host. It is safe for concurrent use.
type Ledger struct {
	opts        Options
	incarnation string
	shards      [shardCount]shard
	refusals    refusalCounts
	// wake tells the hold loop of new bills; urgent asks for an early flush.
	wake, urgent chan struct{}
	// flushEvery is the time between flushes, a time.Duration.
	flushEvery atomic.Int64
	// pending is the number of bills that aren't in the table.
	pending atomic.Int64
	// flushing is held during a flush.
	flushing chan struct{}

	mu sync.Mutex
	// unheld are the bills to give to a peer, in order.
	unheld []*entry
	// unflushed are the bills that are in no segment yet.
	unflushed []*entry
	// frozen are the segments that aren't known to be in the table.
	frozen []*frozenSegment
	// holders are the peers that may have copies, with the number of the last
	// message to each.
	holders map[string]uint64
	// holdSeq numbers the messages to peers; segmentSeq numbers segments;
	// dropped is the highest number that peers were told to release.
	holdSeq, segmentSeq, dropped uint64
	atRisk                       int
}

// entry is an unwritten bill.
type entry struct {
	bill Bill
	// safe is closed when the bill would survive the loss of this host.
	safe chan struct{}
	// The rest is guarded by Ledger.mu.
	protected, flushed, gaveUp bool
	holder                     string
}

// shard takes new bills off the request path.
type shard struct {
	mu    sync.Mutex
	fresh []*entry
}

// New returns a Ledger. Bills are made safe while Run runs.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	l := &Ledger{
		opts:        opts,
		incarnation: uuid.NewString(),
		refusals:    refusalCounts{counts: make(map[refusalKey]int)},
		wake:        make(chan struct{}, 1),
		urgent:      make(chan struct{}, 1),
		flushing:    make(chan struct{}, 1),
		holders:     make(map[string]uint64),
	}
	l.SetFlushEvery(opts.FlushEvery)
	return l
}

// Owner names this ledger to its holders: the host and the incarnation of its
// process, so a restarted host doesn't reuse the numbers of its predecessor.
func (l *Ledger) Owner() string {
	return l.opts.Host + "/" + l.incarnation
}

// Admit returns ErrFull when the host holds too many unwritten bills. It is
// asked before a request is dispatched, so the memory is bounded by MaxPending
// bills and one for each request in flight, and no bill is ever thrown away.
func (l *Ledger) Admit() error {
	if l.pending.Load() >= int64(l.opts.MaxPending) {
		return ErrFull
	}
	return nil
}

// Record takes a bill and waits until it would survive the loss of this host.
// Call it before the end of the answer goes to the caller. ErrAtRisk says that
// the wait ended before; the bill is kept and written all the same, and isn't
// to be recorded again.
func (l *Ledger) Record(ctx context.Context, b Bill) error {
	b, err := normal(b)
	if err != nil {
		return err
	}
	e := l.add(b)
	timer := time.NewTimer(l.opts.RecordTimeout)
	defer timer.Stop()
	select {
	case <-e.safe:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.giveUp(e)
}

// add puts a bill into its shard.
func (l *Ledger) add(b Bill) *entry {
	e := &entry{bill: b, safe: make(chan struct{})}
	l.pending.Add(1)
	s := &l.shards[xxhash.Sum64String(b.ID)%shardCount]
	s.mu.Lock()
	s.fresh = append(s.fresh, e)
	s.mu.Unlock()
	signal(l.wake)
	return e
}

// addAll puts bills that came from elsewhere into their shards.
func (l *Ledger) addAll(bills []Bill) {
	for _, b := range bills {
		l.add(b)
	}
}

// giveUp ends the wait for a bill that isn't safe.
func (l *Ledger) giveUp(e *entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.protected {
		return nil
	}
	e.gaveUp = true
	l.atRisk++
	return ErrAtRisk
}

// protect marks a bill as safe. Ledger.mu is held.
func (l *Ledger) protect(e *entry) {
	if e.protected {
		return
	}
	e.protected = true
	close(e.safe)
	if e.gaveUp {
		l.atRisk--
	}
}

// AtRisk is the number of bills that Record gave up on and that are still in
// this host's memory only.
func (l *Ledger) AtRisk() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atRisk
}

// Pending is the number of bills that aren't known to be in the table.
func (l *Ledger) Pending() int {
	return int(l.pending.Load())
}

// collect moves new bills from the shards to the queues. Ledger.mu is held.
func (l *Ledger) collect() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		fresh := s.fresh
		s.fresh = nil
		s.mu.Unlock()
		l.unheld = append(l.unheld, fresh...)
		l.unflushed = append(l.unflushed, fresh...)
	}
}

// signal wakes the reader of c, once for any number of calls.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
