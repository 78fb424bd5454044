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

// Stats counts the work of a Committer since its creation.
type Stats struct {
	// Transactions is the number of transactions sent to the table.
	Transactions uint64
	// Commits is the number of commits sent, including the parts of merged
	// commits that were split.
	Commits uint64
	// Splits is how many of these commits were sent because a merged one
	// failed on a condition.
	Splits uint64
	// Reads is the number of rows read to find conflicting transactions.
	Reads uint64
}

// Committer is a storage.Table that merges commits. Reads pass through. It
// is safe for concurrent use.
type Committer struct {
	table         storage.Table
	options       Options
	commitLimiter *rate.Limiter
	readLimiter   *rate.Limiter
	queue         *queue
	inFlightSlots chan struct{}
	stopped       chan struct{}

	transactions     atomic.Uint64
	commits          atomic.Uint64
	splitCommitCount atomic.Uint64
	reads            atomic.Uint64
}

var _ storage.Table = (*Committer)(nil)

// New returns a Committer that commits to table. Close stops its goroutine.
func New(table storage.Table, options Options) *Committer {
	options = options.withDefaults()
	c := &Committer{
		table:         table,
		options:       options,
		commitLimiter: rate.NewLimiter(rate.Limit(options.CommitsPerSecond), options.burst()),
		readLimiter:   rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond)),
		queue:         newQueue(options.MaxOps, options.MaxBytes),
		inFlightSlots: make(chan struct{}, options.MaxInFlight),
		stopped:       make(chan struct{}),
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
	p := newPendingTxn(txn)
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

// abandon returns the outcome of p when its caller's context has ended. It
// removes p from the queue if p wasn't sent.
func (c *Committer) abandon(ctx context.Context, p *pendingTxn) (uint64, error) {
	if c.queue.remove(p) {
		return 0, fmt.Errorf("%w: withdrawn from the queue: %v", storage.ErrUnavailable, ctx.Err())
	}
	select {
	case out := <-p.done:
		return out.revision, out.err
	default:
		return 0, fmt.Errorf("%w: sent, no response received: %v", storage.ErrUnknown, ctx.Err())
	}
}

// Stats returns the counts so far.
func (c *Committer) Stats() Stats {
	return Stats{
		Transactions: c.transactions.Load(),
		Commits:      c.commits.Load(),
		Splits:       c.splitCommitCount.Load(),
		Reads:        c.reads.Load(),
	}
}

// Close commits the queued transactions, waits for their outcomes and stops the
// Committer. Later transactions fail with storage.ErrUnavailable. Close may be
// called several times; the error is always nil.
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
	for !c.queue.isDrained() {
		<-c.queue.nonEmpty
		if c.queue.isEmpty() {
			continue
		}
		c.waitForMore()
		c.waitForRate()
		c.inFlightSlots <- struct{}{}
		items := c.queue.takeBatch()
		if len(items) == 0 {
			<-c.inFlightSlots
			continue
		}
		c.transactions.Add(uint64(len(items)))
		inFlight.Go(func() {
			defer func() { <-c.inFlightSlots }()
			c.commitBatch(items)
		})
	}
}

// waitForMore waits until MaxDelay has passed or the queue holds a whole batch,
// so that more transactions are merged.
func (c *Committer) waitForMore() {
	if c.queue.isClosed() {
		return
	}
	timer := time.NewTimer(c.options.MaxDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.queue.batchReady:
	}
}

// waitForRate waits until the rate limit allows one more commit.
func (c *Committer) waitForRate() {
	now := c.options.Clock()
	time.Sleep(c.commitLimiter.ReserveN(now, 1).DelayFrom(now))
}

// commitBatch commits a batch. If a condition fails, it finds the conflicting
// transactions and commits the others, so that each transaction gets the outcome
// that it would have had alone. It reports whether any transaction conflicted.
func (c *Committer) commitBatch(items []*pendingTxn) bool {
	revision, err := c.commitOnce(items)
	isConflict := errors.Is(err, storage.ErrConflict)
	if isConflict && len(items) > 1 {
		c.resolveConflict(items)
		return true
	}
	deliver(items, revision, err)
	return isConflict
}

// split commits the halves of a batch that conflicted. If the first half
// succeeds, the conflict is in the second half, which is then split again without
// being committed as a whole first. That saves one commit at each level.
func (c *Committer) split(items []*pendingTxn) {
	half := len(items) / 2
	first, second := items[:half], items[half:]
	if c.commitPart(first) || len(second) == 1 {
		c.commitPart(second)
		return
	}
	c.split(second)
}

// commitPart commits a part of a batch within the rate limit.
func (c *Committer) commitPart(items []*pendingTxn) bool {
	c.waitForRate()
	c.splitCommitCount.Add(1)
	return c.commitBatch(items)
}

// commitOnce commits the items as one transaction. Errors of the table that
// leave the outcome open, such as an exceeded deadline, become ErrUnknown.
func (c *Committer) commitOnce(items []*pendingTxn) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
	defer cancel()
	c.commits.Add(1)
	revision, err := c.table.Commit(ctx, merge(items))
	if err == nil || isOutcomeKnown(err) {
		return revision, err
	}
	return 0, fmt.Errorf("%w: %v", storage.ErrUnknown, err)
}

func isOutcomeKnown(err error) bool {
	return errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnavailable)
}

func deliver(items []*pendingTxn, revision uint64, err error) {
	for _, p := range items {
		p.done <- outcome{revision: revision, err: err}
	}
}
