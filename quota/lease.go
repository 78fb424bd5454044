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
	// version is the host row's.
	version uint64
	// start is when the last confirmed renewal began.
	start time.Time
	ttl   time.Duration
}

// end is when the lease lapses, by a clock that counts suspensions.
func (l *lease) end() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.start.Add(l.ttl)
}

// leaseEnd is when the host's holdings stop counting.
func (l *Limiter) leaseEnd() time.Time {
	if l.leaving.Load() {
		return time.Time{}
	}
	return l.lease.Load().end()
}

// renew registers the host or renews its lease when that is due.
func (l *Limiter) renew(ctx context.Context) error {
	now := l.opts.Clock()
	held := l.lease.Load()
	if held != nil && now.Sub(held.start) < l.opts.renewEvery() {
		return nil
	}
	next := lease{start: now, ttl: l.opts.TTL}
	var version uint64
	if held != nil {
		next.id = held.id
		version = held.version
	} else {
		next.id = l.newID()
	}
	l.attempt++
	revision, err := l.writeHostRow(ctx, next.id, version)
	if err == nil {
		next.version = revision
		l.lease.Store(&next)
		l.candidate = ""
		return nil
	}
	if errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return l.settleRenewal(ctx, next, held)
}

// newID keeps one name until it is registered, so that a registration whose
// answer was lost is found again.
func (l *Limiter) newID() string {
	if l.candidate == "" {
		l.candidate = l.opts.Host + "." + l.opts.NewID()
	}
	return l.candidate
}

func (l *Limiter) writeHostRow(ctx context.Context, id string, version uint64) (uint64, error) {
	value, err := json.Marshal(hostRow{Attempt: l.attempt, TTLMillis: l.opts.TTL.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("quota: encode host row: %w", err)
	}
	key := hostKey(id)
	return l.commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
}

// settleRenewal finds out what became of a renewal without a clear answer.
func (l *Limiter) settleRenewal(ctx context.Context, next lease, held *lease) error {
	row, err := l.get(ctx, hostKey(next.id))
	if errors.Is(err, storage.ErrNotFound) {
		if held != nil {
			l.forfeit()
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
	if value.Attempt != l.attempt {
		// An earlier attempt came late. When it began isn't known any more.
		if held == nil {
			next.start = time.Time{}
		} else {
			next.start = held.start
		}
	}
	l.lease.Store(&next)
	l.candidate = ""
	return nil
}

// forfeit gives up everything under a lease that others ended.
func (l *Limiter) forfeit() {
	l.lease.Store(nil)
	l.candidate = ""
	for _, b := range l.all() {
		b.forfeit()
	}
}

// sighting is when a version of another host's row was first seen.
type sighting struct {
	version uint64
	at      time.Time
}

// refreshHosts reads the hosts' rows and deletes those whose lease is over.
func (l *Limiter) refreshHosts(ctx context.Context) error {
	rows, err := l.list(ctx, hostPrefix)
	if err != nil {
		return err
	}
	// The time is read after the rows: each was written before it.
	now := l.opts.Clock()
	own := l.lease.Load()
	seen := make(map[string]sighting, len(rows))
	for _, row := range rows {
		id := hostID(row.Key)
		s, known := l.hosts[id]
		if !known || s.version != row.Version {
			s = sighting{version: row.Version, at: now}
		}
		if own != nil && id == own.id || !l.lapsed(row, s, now) || l.remove(ctx, row) != nil {
			seen[id] = s
		}
	}
	l.hosts = seen
	if own != nil {
		if _, registered := seen[own.id]; !registered {
			l.forfeit()
		}
	}
	return nil
}

// lapsed reports whether the holder of a row counts its lease as over.
func (l *Limiter) lapsed(row storage.Row, s sighting, now time.Time) bool {
	var value hostRow
	if json.Unmarshal(row.Value, &value) != nil {
		return false
	}
	ttl := time.Duration(value.TTLMillis) * time.Millisecond
	return now.Sub(s.at) > withMargin(ttl)
}

// remove deletes a host's row unless it was renewed meanwhile.
func (l *Limiter) remove(ctx context.Context, row storage.Row) error {
	_, err := l.commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	return err
}
