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
	// DefaultFlushInterval is the time between flushes.
	DefaultFlushInterval = time.Second
	// DefaultMinFlushInterval is the minimum time before an early flush.
	DefaultMinFlushInterval = 100 * time.Millisecond
	// DefaultMaxSegmentBills is the maximum number of bills in one segment.
	DefaultMaxSegmentBills = 2000
	// DefaultMaxPending is the maximum number of unwritten bills of one host.
	DefaultMaxPending = 20_000
	// DefaultRecordTimeout is how long Record waits for a bill to be durable.
	DefaultRecordTimeout = 200 * time.Millisecond
	// DefaultReplicateTimeout is how long one peer may take to accept bills.
	DefaultReplicateTimeout = 60 * time.Millisecond
	// DefaultWriteTimeout bounds the write of one segment.
	DefaultWriteTimeout = 5 * time.Second
)

const (
	// shardCount is a power of two.
	shardCount = 16
	// maxMessageBills is the maximum number of bills in one message to a peer.
	maxMessageBills = 512
)

// Replicator sends copies of bills to peers in other availability zones.
type Replicator interface {
	// Replicate sends the bills of message seq to a peer that the implementation
	// selects and returns the name of that peer's host. If it returns both an
	// error and a host name, that host may have stored the bills. After a
	// failed call an implementation selects another peer.
	Replicate(ctx context.Context, owner string, seq uint64, bills []Bill) (holder string, err error)
	// Release tells holder that the owner's bills in the messages up to and
	// including number upTo are in the table, so their copies can be deleted.
	Release(ctx context.Context, holder, owner string, upTo uint64) error
}

// Options configure a Ledger. Table, Objects and Host are required.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	// Host is this host's name.
	Host string
	// Replicator copies bills to peers. It is nil if there are no peers; Record
	// then waits for a flush.
	Replicator Replicator
	// FlushInterval is the time between flushes; default DefaultFlushInterval.
	FlushInterval time.Duration
	// MinFlushInterval is the minimum time between flushes while there are
	// bills that no peer has a copy of; default DefaultMinFlushInterval.
	MinFlushInterval time.Duration
	// MaxSegmentBills is the maximum number of bills in a segment; default
	// DefaultMaxSegmentBills.
	MaxSegmentBills int
	// MaxPending is the number of unwritten bills at which Admit returns
	// ErrFull; default DefaultMaxPending.
	MaxPending int
	// RecordTimeout is how long Record waits; default DefaultRecordTimeout.
	RecordTimeout time.Duration
	// ReplicateTimeout bounds one call of the Replicator; default
	// DefaultReplicateTimeout.
	ReplicateTimeout time.Duration
	// WriteTimeout bounds the write of one segment; default
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Clock returns the time under which refusals are counted; default
	// time.Now.
	Clock storage.Clock
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.FlushInterval, DefaultFlushInterval)
	defaults.Positive(&o.MinFlushInterval, DefaultMinFlushInterval)
	defaults.Positive(&o.RecordTimeout, DefaultRecordTimeout)
	defaults.Positive(&o.ReplicateTimeout, DefaultReplicateTimeout)
	defaults.Positive(&o.WriteTimeout, DefaultWriteTimeout)
	defaults.Positive(&o.MaxSegmentBills, DefaultMaxSegmentBills)
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
	// newBills wakes replicateLoop; earlyFlush requests an early flush.
	newBills, earlyFlush chan struct{}
	// flushInterval is the time between flushes, a time.Duration.
	flushInterval atomic.Int64
	// pending is the number of bills that aren't in the table.
	pending atomic.Int64
	// flushing is a semaphore that allows one flush at a time.
	flushing chan struct{}

	mu sync.Mutex
	// unreplicated are the bills to copy to a peer, in order.
	unreplicated []*entry
	// unsegmented are the bills that are in no segment yet.
	unsegmented []*entry
	// unwrittenSegments are the segments that aren't known to be in the table.
	unwrittenSegments []*unwrittenSegment
	// holders are the peers that may have copies, with the number of the last
	// message to each.
	holders map[string]uint64
	// messageSeq numbers the messages to peers; segmentSeq numbers segments;
	// released is the highest message number whose copies peers were told to
	// delete.
	messageSeq, segmentSeq, released uint64
	atRisk                           int
}

// entry is a bill that isn't in the table yet, with its state.
type entry struct {
	bill Bill
	// durable is closed when the bill would survive the loss of this host.
	durable chan struct{}
	// The fields below are guarded by Ledger.mu. countedAtRisk is set once
	// markAtRisk counted the bill; holder is the peer that confirmed a copy.
	isDurable, flushed, countedAtRisk bool
	holder                            string
}

// shard buffers new bills, so that concurrent requests rarely wait for one
// lock.
type shard struct {
	mu      sync.Mutex
	entries []*entry
}

// New returns a Ledger. Bills are copied and written only while Run runs.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	l := &Ledger{
		opts:        opts,
		incarnation: uuid.NewString(),
		refusals:    refusalCounts{counts: make(map[refusalKey]int)},
		newBills:    make(chan struct{}, 1),
		earlyFlush:  make(chan struct{}, 1),
		flushing:    make(chan struct{}, 1),
		holders:     make(map[string]uint64),
	}
	l.SetFlushInterval(opts.FlushInterval)
	return l
}

// Owner returns the name of this ledger in messages to its holders. It consists
// of the host and the incarnation of its process, because a restarted process
// counts its messages from 1 again.
func (l *Ledger) Owner() string {
	return l.opts.Host + "/" + l.incarnation
}

// Admit returns ErrFull when the host has too many unwritten bills. Callers
// check it before they dispatch a request. That bounds memory to MaxPending
// bills plus one for each request in flight, and no bill is ever discarded.
func (l *Ledger) Admit() error {
	if l.pending.Load() >= int64(l.opts.MaxPending) {
		return ErrFull
	}
	return nil
}

// Record adds a bill and waits until it would survive the loss of this host.
// Call it before the end of the answer is sent to the caller. ErrAtRisk means
// that the wait timed out or ctx ended first; the bill is still kept and
// written, and must not be recorded again.
func (l *Ledger) Record(ctx context.Context, b Bill) error {
	b, err := normalize(b)
	if err != nil {
		return err
	}
	e := l.add(b)
	timer := time.NewTimer(l.opts.RecordTimeout)
	defer timer.Stop()
	select {
	case <-e.durable:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.markAtRisk(e)
}

// add appends a bill to its shard.
func (l *Ledger) add(b Bill) *entry {
	e := &entry{bill: b, durable: make(chan struct{})}
	l.pending.Add(1)
	s := &l.shards[xxhash.Sum64String(b.ID)%shardCount]
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	signal(l.newBills)
	return e
}

// addAll adds bills that this host received from another ledger.
func (l *Ledger) addAll(bills []Bill) {
	for _, b := range bills {
		l.add(b)
	}
}

// markAtRisk counts a bill as at risk and returns ErrAtRisk, unless the bill
// has become durable.
func (l *Ledger) markAtRisk(e *entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.isDurable {
		return nil
	}
	e.countedAtRisk = true
	l.atRisk++
	return ErrAtRisk
}

// markDurable marks a bill as durable. Ledger.mu is held.
func (l *Ledger) markDurable(e *entry) {
	if e.isDurable {
		return
	}
	e.isDurable = true
	close(e.durable)
	if e.countedAtRisk {
		l.atRisk--
	}
}

// AtRisk returns the number of bills for which Record returned ErrAtRisk and
// that are still in this host's memory only.
func (l *Ledger) AtRisk() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atRisk
}

// Pending returns the number of bills that aren't known to be in the table.
func (l *Ledger) Pending() int {
	return int(l.pending.Load())
}

// drainShards moves new bills from the shards to the queues. Ledger.mu is held.
func (l *Ledger) drainShards() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		newEntries := s.entries
		s.entries = nil
		s.mu.Unlock()
		l.unreplicated = append(l.unreplicated, newEntries...)
		l.unsegmented = append(l.unsegmented, newEntries...)
	}
}

// signal wakes the reader of c. Calls before the reader runs wake it only once.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
