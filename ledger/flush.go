package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// maxBackoffIntervals bounds the time between flushes while the table is
	// unavailable, in multiples of FlushInterval.
	maxBackoffIntervals = 8
	// maxBackoffWait also bounds the time between flushes while the table is
	// unavailable, unless FlushInterval is longer. It is well below
	// DefaultMaxAge: each failed flush sends a message to the peers that have
	// copies, and they take over the bills of an owner that sends no message
	// for DefaultMaxAge.
	maxBackoffWait = 15 * time.Second
	// drainRetryDelay is the pause between the flushes of Drain.
	drainRetryDelay = 50 * time.Millisecond
)

// unwrittenSegment is a segment that isn't known to be in the table, with the
// entries of its bills.
type unwrittenSegment struct {
	segment
	entries []*entry
}

// Run copies bills to peers and flushes them to the table until ctx ends. It
// returns the context's error.
func (l *Ledger) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		l.replicateLoop(ctx)
		return nil
	})
	group.Go(func() error {
		l.flushLoop(ctx)
		return nil
	})
	// Neither loop returns an error.
	_ = group.Wait()
	return ctx.Err()
}

// flushLoop flushes once per FlushInterval, earlier if no peer accepts copies
// of new bills, and less often while the table is unavailable.
func (l *Ledger) flushLoop(ctx context.Context) {
	l.waitForFlush(ctx, l.initialDelay(), l.opts.MinFlushInterval)
	failures := time.Duration(0)
	for ctx.Err() == nil {
		if err := l.Flush(ctx); err != nil {
			failures = min(failures+1, maxBackoffIntervals)
		} else {
			failures = 0
		}
		intervals := max(failures, 1)
		interval := l.currentFlushInterval()
		wait := min(intervals*interval, max(interval, maxBackoffWait))
		l.waitForFlush(ctx, wait, intervals*l.opts.MinFlushInterval)
	}
}

// initialDelay returns the wait before the first flush. It differs between
// hosts, which spreads their flushes over one interval.
func (l *Ledger) initialDelay() time.Duration {
	return time.Duration(xxhash.Sum64String(l.incarnation) % uint64(l.currentFlushInterval()))
}

// waitForFlush waits for d. It returns earlier if an early flush is requested,
// but not before minWait.
func (l *Ledger) waitForFlush(ctx context.Context, d, minWait time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	minTimer := time.NewTimer(min(d, minWait))
	defer minTimer.Stop()
	var early chan struct{}
	for {
		select {
		case <-minTimer.C:
			early = l.earlyFlush
		case <-early:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes all bills and refusal counts that aren't in the table. After an
// error they are kept for the next flush.
func (l *Ledger) Flush(ctx context.Context) error {
	select {
	case l.flushing <- struct{}{}:
		defer func() { <-l.flushing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	// New segments are built only after the unwritten ones are written, so that
	// bills recorded during an outage end up in few large segments.
	if err := l.writeUnwrittenSegments(ctx); err != nil {
		l.releaseCopies(ctx, l.lastReleased())
		return err
	}
	upTo := l.buildSegments()
	if err := l.writeUnwrittenSegments(ctx); err != nil {
		l.releaseCopies(ctx, l.lastReleased())
		return err
	}
	l.releaseCopies(ctx, upTo)
	return nil
}

// writeUnwrittenSegments writes the unwritten segments up to the first error.
func (l *Ledger) writeUnwrittenSegments(ctx context.Context) error {
	l.mu.Lock()
	segments := slices.Clone(l.unwrittenSegments)
	l.mu.Unlock()
	for _, s := range segments {
		if err := l.writeSegment(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// buildSegments puts all bills that are in no segment into new ones. Every
// message to a peer up to number upTo contains only bills that are in segments
// now.
func (l *Ledger) buildSegments() (upTo uint64) {
	refusals := l.refusals.take()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainShards()
	entries := l.unsegmented
	l.unsegmented = nil
	for _, group := range l.groupByBucket(entries) {
		l.unwrittenSegments = append(l.unwrittenSegments, l.newSegment(bucket(group[0].bill.At), group, nil))
	}
	if len(refusals) > 0 {
		l.unwrittenSegments = append(l.unwrittenSegments, l.newSegment(bucket(l.opts.Clock()), nil, refusals))
	}
	return l.messageSeq
}

// groupByBucket groups entries by bucket, at most MaxSegmentBills in a group.
func (l *Ledger) groupByBucket(entries []*entry) [][]*entry {
	var groups [][]*entry
	current := make(map[string]int)
	for _, e := range entries {
		key := bucket(e.bill.At)
		i, found := current[key]
		if !found || len(groups[i]) >= l.opts.MaxSegmentBills {
			i = len(groups)
			current[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

// newSegment returns a segment with the next number. Ledger.mu is held.
func (l *Ledger) newSegment(bucket string, entries []*entry, refusals []RefusalCount) *unwrittenSegment {
	l.segmentSeq++
	key := segmentKey(bucket, l.opts.Host, l.incarnation, l.segmentSeq)
	for i := range refusals {
		refusals[i].Origin = key
	}
	content := batch{Bills: billsOf(entries), Refusals: refusals}
	return &unwrittenSegment{segment: segment{key: key, batch: content}, entries: entries}
}

func (l *Ledger) writeSegment(ctx context.Context, s *unwrittenSegment) error {
	writeCtx, cancel := context.WithTimeout(ctx, l.opts.WriteTimeout)
	defer cancel()
	if err := s.write(writeCtx, l.opts.Table, l.opts.Objects); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range s.entries {
		e.flushed = true
		l.markDurable(e)
	}
	l.unwrittenSegments = withoutSegment(l.unwrittenSegments, s)
	l.pending.Add(-int64(len(s.entries)))
	return nil
}

func withoutSegment(list []*unwrittenSegment, s *unwrittenSegment) []*unwrittenSegment {
	kept := make([]*unwrittenSegment, 0, len(list))
	for _, f := range list {
		if f != s {
			kept = append(kept, f)
		}
	}
	return kept
}

// releaseCopies tells the peers which copies they can delete. If that message
// is lost, the peer keeps the copies longer and may write them to the table,
// which changes nothing because the same bills are there already. While the
// table is unavailable upTo doesn't advance, but the message shows the peers
// that the owner is alive.
func (l *Ledger) releaseCopies(ctx context.Context, upTo uint64) {
	if l.opts.Replicator == nil {
		return
	}
	for _, holder := range l.currentHolders(upTo) {
		callCtx, cancel := context.WithTimeout(ctx, l.opts.ReplicateTimeout)
		// An error is ignored, because the next message to the same peer
		// releases these copies too.
		_ = l.opts.Replicator.Release(callCtx, holder, l.Owner(), upTo)
		cancel()
	}
}

// currentHolders returns the peers that may have copies. It removes from
// l.holders the peers whose last message has a number of at most upTo, since all
// their copies are released.
func (l *Ledger) currentHolders(upTo uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = max(l.released, upTo)
	list := make([]string, 0, len(l.holders))
	for holder, last := range l.holders {
		list = append(list, holder)
		if last <= upTo {
			delete(l.holders, holder)
		}
	}
	slices.Sort(list)
	return list
}

// lastReleased returns the highest message number whose copies peers were told
// to delete.
func (l *Ledger) lastReleased() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Drain writes everything before a planned stop. It retries until ctx ends and
// then returns ErrUnwritten; a peer that has copies of the remaining bills
// writes them later.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		err := l.Flush(ctx)
		if err == nil && l.Pending() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %d, of these %d in memory only: %w", ErrUnwritten, l.Pending(), l.countMemoryOnly(), ctx.Err())
		}
		_ = wait.For(ctx, drainRetryDelay)
	}
}

// countMemoryOnly returns the number of bills that are only in this host's
// memory.
func (l *Ledger) countMemoryOnly() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainShards()
	n := 0
	for _, e := range l.unsegmented {
		if !e.isDurable {
			n++
		}
	}
	for _, f := range l.unwrittenSegments {
		for _, e := range f.entries {
			if !e.isDurable {
				n++
			}
		}
	}
	return n
}
