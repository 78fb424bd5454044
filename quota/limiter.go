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
	// listPageSize is the maximum number of rows in one read of the table.
	listPageSize = 500
	// minUrgentInterval is the minimum time between reconciliations that are
	// triggered by refusals.
	minUrgentInterval = 200 * time.Millisecond
	// leaveRetryInterval is the time between attempts to release the lease.
	leaveRetryInterval = 200 * time.Millisecond
)

// buckets holds the buckets of the accounts with limits, by account name. It is
// never modified after it is stored in a Limiter.
type buckets map[string]*bucket

// Limiter enforces the accounts' limits on one host. Take, Lend and SetLimits
// are safe for concurrent use; Run is called once.
type Limiter struct {
	opts    Options
	lease   atomic.Pointer[lease]
	buckets atomic.Pointer[buckets]
	leaving atomic.Bool
	epoch   atomic.Uint64
	// refusalSignal signals Run that Take refused a request.
	refusalSignal chan struct{}
	// limitSignal signals Run that an account without a limit got one.
	limitSignal chan struct{}

	// The fields below are used only by the goroutine of Run.

	// renewalAttempt numbers renewals. pendingID is a holder ID that isn't
	// registered yet. hostRows holds the versions of all host rows, by holder
	// ID. lastMeasured is when the current measurement period began.
	renewalAttempt uint64
	pendingID      string
	hostRows       map[string]observedVersion
	lastMeasured   time.Time
}

// New returns a Limiter. It refuses requests of accounts with limits until Run
// has obtained slots for them.
func New(opts Options) *Limiter {
	l := &Limiter{
		opts:          opts.withDefaults(),
		refusalSignal: make(chan struct{}, 1),
		limitSignal:   make(chan struct{}, 1),
	}
	l.buckets.Store(&buckets{})
	return l
}

// SetLimits replaces all limits by those of a manifest epoch. An epoch older
// than that of the current limits is ignored. SetLimits must not be called
// concurrently with itself.
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
			b.setLimit(now, l.leaseEnd(), limit, l.opts.UnleasedShare)
		} else {
			b = newBucket(limit, l.opts.UnleasedShare, now)
			defer signal(l.limitSignal)
		}
		next[limit.Account] = b
	}
	l.buckets.Store(&next)
}

// Take spends n requests of an account's limit. If it returns false, nothing is
// spent, and retryAfter is the time until the current slots allow n requests.
// Requests of an account without a limit are always allowed. Take does no I/O.
func (l *Limiter) Take(account string, n float64) (ok bool, retryAfter time.Duration) {
	b := l.bucketOf(account)
	if b == nil {
		return true, 0
	}
	now := l.opts.Clock()
	ok, retryAfter = b.take(now, l.leaseEnd(), n)
	if !ok {
		signal(l.refusalSignal)
	}
	return ok, retryAfter
}

func (l *Limiter) bucketOf(account string) *bucket {
	return (*l.buckets.Load())[account]
}

func (l *Limiter) allBuckets() buckets {
	return *l.buckets.Load()
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run renews the lease and adjusts the host's slots to its demand until ctx is
// done. It doesn't release the lease, which then expires; Leave releases it.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(l.opts.Interval)
	defer ticker.Stop()
	failed := l.reconcile(ctx) != nil
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			failed = l.reconcile(ctx) != nil
		case <-l.limitSignal:
			failed = l.reconcile(ctx) != nil
		case <-l.refusalSignal:
			// After a failed reconciliation, the table isn't called until the
			// next regular one.
			if failed {
				l.requestLoans(ctx)
			} else {
				failed = l.reconcileUrgent(ctx) != nil
			}
			_ = wait.For(ctx, minUrgentInterval)
		}
	}
}

// Leave refuses all further requests and releases the host's slots, for a
// planned shutdown. Run must have returned. Leave first waits until all loans
// to other hosts have expired. It retries until it succeeds or ctx is done; in
// the latter case the lease expires after its TTL.
func (l *Limiter) Leave(ctx context.Context) error {
	l.leaving.Store(true)
	now := l.opts.Clock()
	_ = wait.For(ctx, l.lastLoanEnd(now).Sub(now))
	for {
		err := l.endLease(ctx)
		if err == nil {
			return nil
		}
		_ = wait.For(ctx, leaveRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("quota: leave: %w", errors.Join(ctx.Err(), err))
		}
	}
}

// endLease deletes the host's row, which frees all its slots.
func (l *Limiter) endLease(ctx context.Context) error {
	current := l.lease.Load()
	if current == nil {
		return nil
	}
	row, err := l.get(ctx, hostKey(current.id))
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.deleteHostRow(ctx, row)
}

// lastLoanEnd returns when the last loan to another host expires, or now if that
// is later.
func (l *Limiter) lastLoanEnd(now time.Time) time.Time {
	last := now
	for _, b := range l.allBuckets() {
		b.mu.Lock()
		for _, t := range b.lentSlots {
			if t.until.After(last) {
				last = t.until
			}
		}
		b.mu.Unlock()
	}
	return last
}
