package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Stats counts what a Committer did since it was made.
type Stats struct {
	// Transactions is how many were sent to the table.
	Transactions uint64
	// Commits is how many commits were sent, those of splits included.
	Commits uint64
	// Splits is how many of these commits were sent because a merged one
	// failed on a condition.
	Splits uint64
	// Reads is how many rows were read to find conflicting transactions.
	Reads uint64
}

// Committer is a storage.Table that merges commits. Reads pass through. It
// is safe for concurrent use.
type Committer struct {
	table   storage.Table
	options Options
	limiter *rate.Limiter
	probes  *rate.Limiter
	queue   *queue
	slots   chan struct{}
	stopped chan struct{}

	transactions atomic.Uint64
	commits      atomic.Uint64
	splits       atomic.Uint64
	reads        atomic.Uint64
}

var _ storage.Table = (*Committer)(nil)

// New returns a Committer on table. Close stops its goroutine.
func New(table storage.Table, options Options) *Committer {
	options = options.withDefaults()
	c := &Committer{
		table:   table,
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.CommitsPerSecond), options.burst()),
		probes:  rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond)),
		queue:   newQueue(options.MaxOps, options.MaxBytes),
		slots:   make(chan struct{}, options.MaxInFlight),
		stopped: make(chan struct{}),
	}
	go c.run()
	return c
}

// Get reads a row from the table.
func (c *Committer) Get(ctx context.Context, key string) (storage.Row, error) {
	return c.table.Get(ctx, key)
}

// List reads rows from the table.
func (c *Committer) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	return c.table.List(ctx, prefix, after, limit)
}

// Commit queues txn and returns its outcome. If ctx ends while txn is queued,
// txn is withdrawn and the error wraps storage.ErrUnavailable: it had no
// effect. If ctx ends after txn was sent, the error wraps
// storage.ErrUnknown.
func (c *Committer) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: not queued: %v", storage.ErrUnavailable, err)
	}
	p := newPending(txn)
	if !c.queue.push(p) {
		return 0, fmt.Errorf("%w: committer is closed", storage.ErrUnavailable)
	}
	select {
	case out := <-p.done:
		return out.revision, out.err
	case <-ctx.Done():
		return c.abandon(ctx, p)
	}
}

// abandon ends the wait for p, whose caller's context has ended.
func (c *Committer) abandon(ctx context.Context, p *pending) (uint64, error) {
	if c.queue.remove(p) {
		return 0, fmt.Errorf("%w: withdrawn from the queue: %v", storage.ErrUnavailable, ctx.Err())
	}
	select {
	case out := <-p.done:
		return out.revision, out.err
	default:
		return 0, fmt.Errorf("%w: sent without an answer: %v", storage.ErrUnknown, ctx.Err())
	}
}

// Stats returns the counts so far.
func (c *Committer) Stats() Stats {
	return Stats{
		Transactions: c.transactions.Load(),
		Commits:      c.commits.Load(),
		Splits:       c.splits.Load(),
		Reads:        c.reads.Load(),
	}
}

// Close commits what is queued, waits for the answers and stops. Transactions
// that come after it fail with storage.ErrUnavailable. It may be called
// several times; the error is always nil.
func (c *Committer) Close() error {
	c.queue.close()
	<-c.stopped
	return nil
}

// run sends batches until the queue is closed and empty.
func (c *Committer) run() {
	defer close(c.stopped)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for !c.queue.drained() {
		<-c.queue.more
		if c.queue.isEmpty() {
			continue
		}
		c.gather()
		c.pace()
		c.slots <- struct{}{}
		items := c.queue.take()
		if len(items) == 0 {
			<-c.slots
			continue
		}
		c.transactions.Add(uint64(len(items)))
		inFlight.Go(func() {
			defer func() { <-c.slots }()
			c.settle(items)
		})
	}
}

// gather waits for more transactions to merge.
func (c *Committer) gather() {
	if c.queue.isClosed() {
		return
	}
	timer := time.NewTimer(c.options.MaxDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.queue.full:
	}
}

// pace waits until the rate allows one more commit.
func (c *Committer) pace() {
	now := c.options.Clock()
	time.Sleep(c.limiter.ReserveN(now, 1).DelayFrom(now))
}

// settle commits a batch and splits it if a condition fails, so that each
// transaction gets the outcome that it would have had alone. It reports
// whether any transaction conflicted.
func (c *Committer) settle(items []*pending) bool {
	revision, err := c.send(items)
	isConflict := errors.Is(err, storage.ErrConflict)
	if isConflict && len(items) > 1 {
		c.resolve(items)
		return true
	}
	deliver(items, revision, err)
	return isConflict
}

// split settles the halves of a batch that conflicted. If the first half goes
// through, the conflict lies in the second, which is then split without being
// tried as a whole: that saves one commit at each level.
func (c *Committer) split(items []*pending) {
	half := len(items) / 2
	first, second := items[:half], items[half:]
	if c.settlePart(first) || len(second) == 1 {
		c.settlePart(second)
		return
	}
	c.split(second)
}

// settlePart settles a part of a batch at the bounded rate.
func (c *Committer) settlePart(items []*pending) bool {
	c.pace()
	c.splits.Add(1)
	return c.settle(items)
}

// send commits the items as one transaction. The answers of the table that
// don't say what happened, such as a passed deadline, become ErrUnknown.
func (c *Committer) send(items []*pending) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
	defer cancel()
	c.commits.Add(1)
	revision, err := c.table.Commit(ctx, merge(items))
	if err == nil || isDefinite(err) {
		return revision, err
	}
	return 0, fmt.Errorf("%w: %v", storage.ErrUnknown, err)
}

func isDefinite(err error) bool {
	return errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnavailable)
}

func deliver(items []*pending, revision uint64, err error) {
	for _, p := range items {
		p.done <- outcome{revision: revision, err: err}
	}
}
