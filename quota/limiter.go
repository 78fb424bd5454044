package quota

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// listPage is the number of rows in one read of the table.
	listPage = 500
	// urgentGap is the least time between passes that refusals call for.
	urgentGap = 200 * time.Millisecond
	// leaveRetry is the time between attempts to give up the lease.
	leaveRetry = 200 * time.Millisecond
)

// buckets are the accounts with limits, by name. A map in use isn't changed.
type buckets map[string]*bucket

// Limiter limits accounts on one host. Take, Lend and SetLimits are safe for
// concurrent use; Run runs once.
type Limiter struct {
	opts    Options
	lease   atomic.Pointer[lease]
	buckets atomic.Pointer[buckets]
	leaving atomic.Bool
	epoch   atomic.Uint64
	// refusals wakes Run when Take has refused.
	refusals chan struct{}
	// changes wakes Run when an account has got a limit.
	changes chan struct{}

	// The fields below belong to the goroutine of Run.

	// attempt numbers renewals, candidate is a name not yet registered.
	attempt   uint64
	candidate string
	hosts     map[string]sighting
	measured  time.Time
}

// New returns a limiter that refuses accounts with limits until Run has got
// slots for them.
func New(opts Options) *Limiter {
	l := &Limiter{
		opts:     opts.withDefaults(),
		refusals: make(chan struct{}, 1),
		changes:  make(chan struct{}, 1),
	}
	l.buckets.Store(&buckets{})
	return l
}

// SetLimits replaces all limits by those of a manifest epoch. One that is
// older than the limits in force is ignored. It isn't called concurrently with
// itself.
func (l *Limiter) SetLimits(epoch uint64, limits []Limit) {
	if epoch < l.epoch.Load() {
		return
	}
	l.epoch.Store(epoch)
	now := l.opts.Clock()
	old := *l.buckets.Load()
	next := make(buckets, len(limits))
	for _, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		b, ok := old[limit.Account]
		if ok {
			b.setLimit(now, l.leaseEnd(), limit, l.opts.Floor)
		} else {
			b = newBucket(limit, l.opts.Floor, now)
			defer wake(l.changes)
		}
		next[limit.Account] = b
	}
	l.buckets.Store(&next)
}

// Take spends n requests of an account's limit. If it returns false, nothing
// is spent, and retryAfter is when the present slots will have given enough.
// An account without a limit always may. Take does no I/O.
func (l *Limiter) Take(account string, n float64) (ok bool, retryAfter time.Duration) {
	b := l.find(account)
	if b == nil {
		return true, 0
	}
	now := l.opts.Clock()
	ok, retryAfter = b.take(now, l.leaseEnd(), n)
	if !ok {
		wake(l.refusals)
	}
	return ok, retryAfter
}

func (l *Limiter) find(account string) *bucket {
	return (*l.buckets.Load())[account]
}

func (l *Limiter) all() buckets {
	return *l.buckets.Load()
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run keeps the lease and moves slots to where the demand is, until ctx ends.
// The lease is left to lapse; Leave gives it up.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(l.opts.Interval)
	defer ticker.Stop()
	failed := l.pass(ctx) != nil
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			failed = l.pass(ctx) != nil
		case <-l.changes:
			failed = l.pass(ctx) != nil
		case <-l.refusals:
			// After a failure the table is left alone until the next pass.
			if failed {
				l.borrowAll(ctx)
			} else {
				failed = l.urgentPass(ctx) != nil
			}
			_ = wait.For(ctx, urgentGap)
		}
	}
}

// Leave ends all spending and gives the slots back at once, for a planned
// stop. Run must have returned. It waits for loans to end first, and tries
// until it succeeds or ctx ends; in that case the lease lapses in its time.
func (l *Limiter) Leave(ctx context.Context) error {
	l.leaving.Store(true)
	now := l.opts.Clock()
	_ = wait.For(ctx, l.lastLoan(now).Sub(now))
	for {
		err := l.endLease(ctx)
		if err == nil {
			return nil
		}
		_ = wait.For(ctx, leaveRetry)
		if ctx.Err() != nil {
			return fmt.Errorf("quota: leave: %w", errors.Join(ctx.Err(), err))
		}
	}
}

// endLease deletes the host's row, which frees all its slots at once.
func (l *Limiter) endLease(ctx context.Context) error {
	held := l.lease.Load()
	if held == nil {
		return nil
	}
	row, err := l.get(ctx, hostKey(held.id))
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.remove(ctx, row)
}

// lastLoan is the latest end of the slots lent out, or now.
func (l *Limiter) lastLoan(now time.Time) time.Time {
	last := now
	for _, b := range l.all() {
		b.mu.Lock()
		for _, t := range b.lent {
			if t.until.After(last) {
				last = t.until
			}
		}
		b.mu.Unlock()
	}
	return last
}
