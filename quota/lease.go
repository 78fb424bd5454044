package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// lease is the host's lease on its holdings. It is immutable.
type lease struct {
	id string
	// version is the version of the host row.
	version uint64
	// start is the time at which the last confirmed renewal started.
	start time.Time
	ttl   time.Duration
}

// end returns when the lease expires, by a clock that advances during
// suspension; the zero time if l is nil.
func (l *lease) end() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.start.Add(l.ttl)
}

// leaseEnd returns when the host's holdings expire; the zero time if it holds no
// lease or is leaving.
func (l *Limiter) leaseEnd() time.Time {
	if l.leaving.Load() {
		return time.Time{}
	}
	return l.lease.Load().end()
}

// renew registers the host, or renews its lease if that is due.
func (l *Limiter) renew(ctx context.Context) error {
	now := l.opts.Clock()
	held := l.lease.Load()
	if held != nil && now.Sub(held.start) < l.opts.renewalAge() {
		return nil
	}
	next := lease{start: now, ttl: l.opts.TTL}
	var version uint64
	if held != nil {
		next.id = held.id
		version = held.version
	} else {
		next.id = l.holderID()
	}
	l.renewalAttempt++
	revision, err := l.writeHostRow(ctx, next.id, version)
	if err == nil {
		next.version = revision
		l.lease.Store(&next)
		l.pendingID = ""
		return nil
	}
	if errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return l.resolveRenewal(ctx, next, held)
}

// holderID returns the ID for the next registration. It keeps one ID until it
// is registered, so that a registration whose response was lost can be found.
func (l *Limiter) holderID() string {
	if l.pendingID == "" {
		l.pendingID = l.opts.Host + "." + l.opts.NewID()
	}
	return l.pendingID
}

func (l *Limiter) writeHostRow(ctx context.Context, id string, version uint64) (uint64, error) {
	value, err := json.Marshal(hostRow{Attempt: l.renewalAttempt, TTLMillis: l.opts.TTL.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("quota: encode host row: %w", err)
	}
	key := hostKey(id)
	return l.commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
}

// resolveRenewal reads the host row to determine the outcome of a renewal that
// failed or whose outcome is unknown.
func (l *Limiter) resolveRenewal(ctx context.Context, next lease, held *lease) error {
	row, err := l.get(ctx, hostKey(next.id))
	if errors.Is(err, storage.ErrNotFound) {
		if held != nil {
			l.dropLease()
		}
		return nil
	}
	if err != nil {
		return err
	}
	var value hostRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("quota: decode row %s: %w", row.Key, err)
	}
	next.version = row.Version
	if value.Attempt != l.renewalAttempt {
		// An earlier attempt took effect late; its start time wasn't stored.
		if held == nil {
			next.start = time.Time{}
		} else {
			next.start = held.start
		}
	}
	l.lease.Store(&next)
	l.pendingID = ""
	return nil
}

// dropLease drops the lease and all holdings after another host deleted the
// host row.
func (l *Limiter) dropLease() {
	l.lease.Store(nil)
	l.pendingID = ""
	for _, b := range l.allBuckets() {
		b.dropHoldings()
	}
}

// observedVersion is a version of another host's row and when this host first
// read it.
type observedVersion struct {
	version uint64
	at      time.Time
}

// refreshHosts reads the host rows and deletes those whose lease has expired.
func (l *Limiter) refreshHosts(ctx context.Context) error {
	rows, err := l.list(ctx, hostPrefix)
	if err != nil {
		return err
	}
	// The clock is read after the rows, so each row was written before now.
	now := l.opts.Clock()
	own := l.lease.Load()
	seen := make(map[string]observedVersion, len(rows))
	for _, row := range rows {
		id := hostID(row.Key)
		s, known := l.hostRows[id]
		if !known || s.version != row.Version {
			s = observedVersion{version: row.Version, at: now}
		}
		if own != nil && id == own.id || !l.leaseExpired(row, s, now) || l.deleteHostRow(ctx, row) != nil {
			seen[id] = s
		}
	}
	l.hostRows = seen
	if own != nil {
		if _, registered := seen[own.id]; !registered {
			l.dropLease()
		}
	}
	return nil
}

// leaseExpired reports whether the lease of a row has certainly expired by its
// holder's clock too. A row that can't be decoded never expires.
func (l *Limiter) leaseExpired(row storage.Row, s observedVersion, now time.Time) bool {
	var value hostRow
	if json.Unmarshal(row.Value, &value) != nil {
		return false
	}
	ttl := time.Duration(value.TTLMillis) * time.Millisecond
	return now.Sub(s.at) > withClockMargin(ttl)
}

// deleteHostRow deletes a host's row unless it was renewed since it was read.
func (l *Limiter) deleteHostRow(ctx context.Context, row storage.Row) error {
	_, err := l.commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	return err
}
