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
	// maxFlushBackoff bounds the time between flushes in an outage, in
	// multiples of FlushEvery.
	maxFlushBackoff = 8
	// maxFlushWait bounds it too, unless FlushEvery is longer. It is well below
	// DefaultMaxAge, since a failed flush shows peers that the owner lives.
	maxFlushWait = 15 * time.Second
	// drainRetry is the pause between the flushes of a drain.
	drainRetry = 50 * time.Millisecond
)

// frozenSegment is a segment with the entries whose bills it holds.
type frozenSegment struct {
	segment
	entries []*entry
}

// Run keeps bills safe until ctx ends. It returns the context's error.
func (l *Ledger) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		l.holdLoop(ctx)
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

// flushLoop flushes once every FlushEvery, earlier where bills wait that no
// peer holds, and more rarely while the table is down.
func (l *Ledger) flushLoop(ctx context.Context) {
	l.waitForFlush(ctx, l.phase(), l.opts.MinFlushGap)
	failures := time.Duration(0)
	for ctx.Err() == nil {
		if err := l.Flush(ctx); err != nil {
			failures = min(failures+1, maxFlushBackoff)
		} else {
			failures = 0
		}
		periods := max(failures, 1)
		every := l.flushPeriod()
		wait := min(periods*every, max(every, maxFlushWait))
		l.waitForFlush(ctx, wait, periods*l.opts.MinFlushGap)
	}
}

// phase spreads the first flushes of many hosts over one period.
func (l *Ledger) phase() time.Duration {
	return time.Duration(xxhash.Sum64String(l.incarnation) % uint64(l.flushPeriod()))
}

// waitForFlush waits for d, or for least and an urgent bill.
func (l *Ledger) waitForFlush(ctx context.Context, d, least time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	gap := time.NewTimer(min(d, least))
	defer gap.Stop()
	var urgent chan struct{}
	for {
		select {
		case <-gap.C:
			urgent = l.urgent
		case <-urgent:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes all bills and counts that aren't in the table. After an error
// they are kept for the next flush.
func (l *Ledger) Flush(ctx context.Context) error {
	select {
	case l.flushing <- struct{}{}:
		defer func() { <-l.flushing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	// Loose bills are left loose until the frozen segments are written, so that
	// an outage ends with few large segments.
	if err := l.writeFrozen(ctx); err != nil {
		l.drop(ctx, l.lastDropped())
		return err
	}
	upTo := l.freeze()
	if err := l.writeFrozen(ctx); err != nil {
		l.drop(ctx, l.lastDropped())
		return err
	}
	l.drop(ctx, upTo)
	return nil
}

// writeFrozen writes the frozen segments up to the first error.
func (l *Ledger) writeFrozen(ctx context.Context) error {
	l.mu.Lock()
	segments := slices.Clone(l.frozen)
	l.mu.Unlock()
	for _, s := range segments {
		if err := l.writeSegment(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// freeze makes segments of all loose bills. Every message to a peer up to upTo
// holds only bills that are in segments now.
func (l *Ledger) freeze() (upTo uint64) {
	refusals := l.refusals.take()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collect()
	loose := l.unflushed
	l.unflushed = nil
	for _, group := range l.group(loose) {
		l.frozen = append(l.frozen, l.newSegment(bucket(group[0].bill.At), group, nil))
	}
	if len(refusals) > 0 {
		l.frozen = append(l.frozen, l.newSegment(bucket(l.opts.Clock()), nil, refusals))
	}
	return l.holdSeq
}

// group puts entries into groups by bucket, at most MaxSegment in a group.
func (l *Ledger) group(entries []*entry) [][]*entry {
	var groups [][]*entry
	open := make(map[string]int)
	for _, e := range entries {
		key := bucket(e.bill.At)
		i, found := open[key]
		if !found || len(groups[i]) >= l.opts.MaxSegment {
			i = len(groups)
			open[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

// newSegment numbers a segment. Ledger.mu is held.
func (l *Ledger) newSegment(bucket string, entries []*entry, refusals []RefusalCount) *frozenSegment {
	l.segmentSeq++
	key := segmentKey(bucket, l.opts.Host, l.incarnation, l.segmentSeq)
	for i := range refusals {
		refusals[i].Origin = key
	}
	content := batch{Bills: bills(entries), Refusals: refusals}
	return &frozenSegment{segment: segment{key: key, batch: content}, entries: entries}
}

func (l *Ledger) writeSegment(ctx context.Context, s *frozenSegment) error {
	writeCtx, cancel := context.WithTimeout(ctx, l.opts.WriteTimeout)
	defer cancel()
	if err := s.write(writeCtx, l.opts.Table, l.opts.Objects); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range s.entries {
		e.flushed = true
		l.protect(e)
	}
	l.frozen = without(l.frozen, s)
	l.pending.Add(-int64(len(s.entries)))
	return nil
}

func without(list []*frozenSegment, s *frozenSegment) []*frozenSegment {
	kept := make([]*frozenSegment, 0, len(list))
	for _, f := range list {
		if f != s {
			kept = append(kept, f)
		}
	}
	return kept
}

// drop tells the peers which copies they may release. A message that is lost
// costs only memory: the peer writes the copies, and they are the same bills.
// In an outage of the table the message says nothing new, but shows the peers
// that the owner still cares for its bills.
func (l *Ledger) drop(ctx context.Context, upTo uint64) {
	if l.opts.Holders == nil {
		return
	}
	for _, holder := range l.currentHolders(upTo) {
		callCtx, cancel := context.WithTimeout(ctx, l.opts.HoldTimeout)
		// The next message covers a lost one.
		_ = l.opts.Holders.Drop(callCtx, holder, l.Owner(), upTo)
		cancel()
	}
}

// currentHolders returns the peers that may have copies and forgets those that
// have none above upTo.
func (l *Ledger) currentHolders(upTo uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped = max(l.dropped, upTo)
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

// lastDropped is the highest number that peers were told to release.
func (l *Ledger) lastDropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Drain writes everything before a planned stop. It retries until ctx ends and
// then returns ErrUnwritten; bills that a peer holds are written by the peer.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		err := l.Flush(ctx)
		if err == nil && l.Pending() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %d, of these %d in memory only: %w", ErrUnwritten, l.Pending(), l.unprotected(), ctx.Err())
		}
		_ = wait.For(ctx, drainRetry)
	}
}

// unprotected counts the bills that are only in this host's memory.
func (l *Ledger) unprotected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collect()
	n := 0
	for _, e := range l.unflushed {
		if !e.protected {
			n++
		}
	}
	for _, f := range l.frozen {
		for _, e := range f.entries {
			if !e.protected {
				n++
			}
		}
	}
	return n
}
