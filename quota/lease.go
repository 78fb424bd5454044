package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// lease is the host's lease on its holdings, which are recorded under the holder
// ID id. It is immutable.
type lease struct {
	id string
	// version is the version of the host row.
	version uint64
	// start is the time just before the last confirmed renewal was sent.
	start time.Time
	ttl   time.Duration
}

// end returns when the lease expires by Options.Clock, which advances while the
// machine is suspended. It returns the zero time if l is nil.
func (l *lease) end() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.start.Add(l.ttl)
}

// leaseEnd returns when the host's holdings expire. It returns the zero time if
// the host holds no lease or is leaving.
func (l *Limiter) leaseEnd() time.Time {
	if l.leaving.Load() {
		return time.Time{}
	}
	return l.lease.Load().end()
}

// renew registers the host, or renews its lease if that is due.
func (l *Limiter) renew(ctx context.Context) error {
	now := l.opts.Clock()
	current := l.lease.Load()
	if current != nil && now.Sub(current.start) < l.opts.renewalAge() {
		return nil
	}
	next := lease{start: now, ttl: l.opts.TTL}
	var version uint64
	if current != nil {
		next.id = current.id
		version = current.version
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
	return l.resolveRenewal(ctx, next, current)
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

// resolveRenewal reads the host row to determine whether a renewal that was
// refused, or whose outcome is unknown, took effect.
func (l *Limiter) resolveRenewal(ctx context.Context, next lease, current *lease) error {
	row, err := l.get(ctx, hostKey(next.id))
	if errors.Is(err, storage.ErrNotFound) {
		if current != nil {
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
		// The row was written by an earlier attempt that took effect late. The
		// time at which that attempt was sent isn't stored, so the lease counts
		// from the last confirmed renewal, or has expired if there is none.
		if current == nil {
			next.start = time.Time{}
		} else {
			next.start = current.start
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

// observedVersion is the version of a host row as last read, and the time at
// which this host first read that version.
type observedVersion struct {
	version uint64
	at      time.Time
}

// refreshHosts reads the host rows and deletes those of other hosts whose lease
// has expired. If this host's own row is gone, it drops the lease.
func (l *Limiter) refreshHosts(ctx context.Context) error {
	rows, err := l.list(ctx, hostPrefix)
	if err != nil {
		return err
	}
	// The clock is read after the rows, so each row was written before now.
	now := l.opts.Clock()
	own := l.lease.Load()
	remaining := make(map[string]observedVersion, len(rows))
	for _, row := range rows {
		id := hostID(row.Key)
		observed, known := l.hostRows[id]
		if !known || observed.version != row.Version {
			observed = observedVersion{version: row.Version, at: now}
		}
		if own != nil && id == own.id || !l.leaseExpired(row, observed, now) || l.deleteHostRow(ctx, row) != nil {
			remaining[id] = observed
		}
	}
	l.hostRows = remaining
	if own != nil {
		if _, registered := remaining[own.id]; !registered {
			l.dropLease()
		}
	}
	return nil
}

// leaseExpired reports whether the lease of a host row has certainly expired,
// also by the clock of the host that holds it. The lease of a row that can't be
// decoded never expires.
func (l *Limiter) leaseExpired(row storage.Row, observed observedVersion, now time.Time) bool {
	var value hostRow
	if json.Unmarshal(row.Value, &value) != nil {
		return false
	}
	ttl := time.Duration(value.TTLMillis) * time.Millisecond
	return now.Sub(observed.at) > withClockMargin(ttl)
}

// deleteHostRow deletes a host's row unless it was renewed since it was read.
func (l *Limiter) deleteHostRow(ctx context.Context, row storage.Row) error {
	_, err := l.commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	return err
}
