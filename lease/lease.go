package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// renewalsPerTTL is how often Keep renews within the usable part of a TTL.
const renewalsPerTTL = 3

// retriesPerInterval is how often Keep retries a failed renewal in the time
// between two renewals.
const retriesPerInterval = 4

// Lease is a name held for a time. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	// acquired is when Acquire had its answer.
	acquired time.Time
	// predecessor is the TTL of the holder before; zero if there was none.
	predecessor time.Duration

	// writing has room for one Renew or Release at a time, and a caller's wait
	// for it ends with its context.
	writing chan struct{}

	mu sync.Mutex
	// record and version are the row as last known to be written.
	record  record
	version uint64
	// start is when the last successful write was begun.
	start time.Time
	// ended is why the lease is over; nil while it isn't known to be.
	ended error
}

// Name returns the name that is held.
func (l *Lease) Name() string { return l.name }

// Fencing returns the number of this acquisition. Each acquisition of a name
// has a higher one than all before it.
func (l *Lease) Fencing() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Fencing
}

// Valid reports whether the lease is held now. Once false it stays false.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns how long the lease is valid without another renewal; zero
// if it isn't valid.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

func (l *Lease) remaining() time.Duration {
	if l.ended != nil {
		return 0
	}
	usable := l.record.TTL - l.manager.margin(l.record.TTL)
	left := usable - elapsed(l.manager.clock(), l.start)
	if left <= 0 {
		l.ended = ErrLapsed
		return 0
	}
	return left
}

// Renew extends the lease by its TTL, counted from the call. ErrLapsed,
// ErrLost and ErrReleased are final; after another error the lease is as valid
// as before and Renew may be tried again.
func (l *Lease) Renew(ctx context.Context) error {
	return l.exclusive(ctx, l.renew)
}

// exclusive runs write while no other write of this lease runs.
func (l *Lease) exclusive(ctx context.Context, write func(context.Context) error) error {
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.writing }()
	return l.retryConflict(ctx, write)
}

// retryConflict calls write again if a renewal that arrived late was in its
// way.
func (l *Lease) retryConflict(ctx context.Context, write func(context.Context) error) error {
	err := write(ctx)
	if !errors.Is(err, storage.ErrConflict) {
		return err
	}
	if err := l.resync(ctx); err != nil {
		return err
	}
	return write(ctx)
}

// resync takes over the version of a renewal that arrived late. The time of
// that renewal isn't counted. ErrLost says that the row is another's,
// ErrReleased that an earlier Release took effect.
func (l *Lease) resync(ctx context.Context) error {
	found, err := l.manager.rows.read(ctx, l.name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found.Token != l.record.Token {
		l.end(ErrLost)
		return ErrLost
	}
	if found.Released {
		l.end(ErrReleased)
		return ErrReleased
	}
	l.version = found.version
	return nil
}

// renew writes the row once.
func (l *Lease) renew(ctx context.Context) error {
	next, version, err := l.next()
	if err != nil {
		return err
	}
	start := l.manager.clock()
	written, err := l.manager.rows.write(ctx, l.name, next, version)
	if err != nil {
		return err
	}
	return l.extend(written, start)
}

// next returns the record of the next renewal and the version it replaces. A
// number is never used twice: a renewal whose outcome is unknown may arrive
// late and must not be taken for a later one.
func (l *Lease) next() (record, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining() == 0 {
		return record{}, 0, l.ended
	}
	l.record.Renewal++
	return l.record, l.version, nil
}

// extend counts a renewal's time from start, unless the lease lapsed before
// the answer came.
func (l *Lease) extend(version uint64, start time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if l.remaining() == 0 {
		return l.ended
	}
	l.start = start
	return nil
}

func (l *Lease) end(why error) {
	if l.ended == nil {
		l.ended = why
	}
}

// Release ends the lease at once and frees the name for others. The lease is
// over even if the row can't be written; others then wait for its TTL.
func (l *Lease) Release(ctx context.Context) error {
	l.markReleased()
	return l.exclusive(ctx, l.release)
}

func (l *Lease) markReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(ErrReleased)
}

// release writes the row once.
func (l *Lease) release(ctx context.Context) error {
	rec, version := l.nextRecord()
	rec.Released = true
	_, err := l.manager.rows.write(ctx, l.name, rec, version)
	return err
}

func (l *Lease) nextRecord() (record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Renewal++
	return l.record, l.version
}

// Keep renews the lease until ctx ends or the lease does. It returns the
// reason.
func (l *Lease) Keep(ctx context.Context) error {
	interval := l.interval()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		err := l.renewOnce(ctx, interval)
		if isFinal(err) {
			return err
		}
		timer.Reset(l.untilNext(interval, err))
	}
}

// untilNext returns the wait for the next renewal; a failed one is repeated
// sooner.
func (l *Lease) untilNext(interval time.Duration, err error) time.Duration {
	if err != nil {
		return interval / retriesPerInterval
	}
	return interval
}

// renewOnce bounds a renewal, so that a hung one leaves time for another.
func (l *Lease) renewOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Renew(ctx)
}

func (l *Lease) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ttl := l.record.TTL
	return (ttl - l.manager.margin(ttl)) / renewalsPerTTL
}

func isFinal(err error) bool {
	return errors.Is(err, ErrLapsed) || errors.Is(err, ErrLost) || errors.Is(err, ErrReleased)
}
