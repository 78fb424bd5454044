package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// renewalsPerTTL is the number of renewals by KeepRenewing within the usable
// part of a TTL.
const renewalsPerTTL = 3

// retriesPerInterval is the number of retries by KeepRenewing of a failed
// renewal within one renewal interval.
const retriesPerInterval = 4

// Lease is the exclusive right to a name for a limited time. It is safe for
// concurrent use.
type Lease struct {
	manager *Manager
	name    string
	// acquiredAt is when the response to Acquire's write was received.
	acquiredAt time.Time
	// predecessorTTL is the TTL of the previous holder. It is zero if there was
	// none.
	predecessorTTL time.Duration

	// writeSlot is a semaphore that admits one Renew or Release at a time. It is
	// a channel so that a caller's wait ends with its context.
	writeSlot chan struct{}

	mu sync.Mutex
	// record is the value of the last write, and version the last known version
	// of the row.
	record  record
	version uint64
	// renewedAt is when the last successful write was started.
	renewedAt time.Time
	// endReason is the error with which the lease ended. It is nil until a call has
	// found that the lease ended.
	endReason error
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.name }

// Fencing returns the fencing number of this acquisition. It is higher than that
// of each earlier acquisition of the name.
func (l *Lease) Fencing() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Fencing
}

// Valid reports whether the lease is held now. Once it is false, it stays false.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns how long the lease stays valid without another renewal. It
// is zero if the lease isn't valid.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

func (l *Lease) remaining() time.Duration {
	if l.endReason != nil {
		return 0
	}
	usable := l.record.TTL - l.manager.margin(l.record.TTL)
	left := usable - elapsed(l.manager.clock(), l.renewedAt)
	if left <= 0 {
		l.endReason = ErrLapsed
		return 0
	}
	return left
}

// Renew extends the lease by its TTL, measured from the start of the call.
// After ErrLapsed, ErrLost and ErrReleased the lease can't be renewed any more.
// After any other error its expiry is unchanged and Renew may be retried.
func (l *Lease) Renew(ctx context.Context) error {
	return l.withWriteSlot(ctx, l.renew)
}

// withWriteSlot runs write while no other write of this lease is running.
func (l *Lease) withWriteSlot(ctx context.Context, write func(context.Context) error) error {
	select {
	case l.writeSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.writeSlot }()
	return l.retryConflict(ctx, write)
}

// retryConflict runs write. If it conflicts, for example with an earlier renewal of
// this lease that reached the table late, retryConflict reads the row's version and
// runs write once more.
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

// resync reads the row and sets l.version to the version that a late renewal wrote.
// The late renewal doesn't extend the lease. resync returns ErrLost if the row
// belongs to another acquisition and ErrReleased if an earlier Release took effect.
func (l *Lease) resync(ctx context.Context) error {
	found, err := l.manager.rows.read(ctx, l.name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found.Token != l.record.Token {
		l.endWith(ErrLost)
		return ErrLost
	}
	if found.Released {
		l.endWith(ErrReleased)
		return ErrReleased
	}
	l.version = found.version
	return nil
}

// renew makes one attempt to renew the lease.
func (l *Lease) renew(ctx context.Context) error {
	next, version, err := l.nextRenewal()
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

// nextRenewal returns the record of the next renewal and the row version that it
// replaces. A renewal number is never reused, because a renewal with an unknown
// outcome may reach the table late and must not be mistaken for a newer one.
func (l *Lease) nextRenewal() (record, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining() == 0 {
		return record{}, 0, l.endReason
	}
	l.record.Renewal++
	return l.record, l.version, nil
}

// extend records a successful renewal: the lease's TTL is then measured from start,
// the start of the renewal, unless the lease lapsed before the response arrived.
func (l *Lease) extend(version uint64, start time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if l.remaining() == 0 {
		return l.endReason
	}
	l.renewedAt = start
	return nil
}

func (l *Lease) endWith(reason error) {
	if l.endReason == nil {
		l.endReason = reason
	}
}

// Release ends the lease immediately and frees the name. The lease ends even if
// the row can't be written; contenders then wait for its TTL.
func (l *Lease) Release(ctx context.Context) error {
	l.markReleased()
	return l.withWriteSlot(ctx, l.release)
}

func (l *Lease) markReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWith(ErrReleased)
}

// release makes one attempt to write the released row.
func (l *Lease) release(ctx context.Context) error {
	rec, version := l.nextRelease()
	rec.Released = true
	_, err := l.manager.rows.write(ctx, l.name, rec, version)
	return err
}

func (l *Lease) nextRelease() (record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Renewal++
	return l.record, l.version
}

// KeepRenewing renews the lease periodically until ctx or the lease ends. It
// returns the error of whichever ended.
func (l *Lease) KeepRenewing(ctx context.Context) error {
	interval := l.renewalInterval()
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
		timer.Reset(l.nextDelay(interval, err))
	}
}

// nextDelay returns the delay until the next renewal; err is the error of the last
// one. A failed renewal is retried sooner.
func (l *Lease) nextDelay(interval time.Duration, err error) time.Duration {
	if err != nil {
		return interval / retriesPerInterval
	}
	return interval
}

// renewOnce renews the lease with a timeout, so that after a renewal that hangs
// there is time for another one before the lease lapses.
func (l *Lease) renewOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Renew(ctx)
}

func (l *Lease) renewalInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ttl := l.record.TTL
	return (ttl - l.manager.margin(ttl)) / renewalsPerTTL
}

func isFinal(err error) bool {
	return errors.Is(err, ErrLapsed) || errors.Is(err, ErrLost) || errors.Is(err, ErrReleased)
}
