package session

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// rowPrefix is the key prefix of all session rows.
	rowPrefix = "session/"
	// rowTTLFactor is the lifetime of a row after its last write, in TTLs. The
	// first use that is at least one TTL after the last write rewrites the row.
	// A use that doesn't rewrite the row therefore leaves it at least one more TTL,
	// so each row lasts for at least one TTL after each use, without a write per
	// use.
	rowTTLFactor = 2
	// maxAttempts is the maximum number of attempts of one Bind or Rebind to write
	// the row while other hosts change it concurrently.
	maxAttempts = 4
)

// Defaults of Options.
const (
	defaultTTL       = 30 * time.Minute
	defaultTimeout   = 250 * time.Millisecond
	defaultRecheck   = 5 * time.Minute
	defaultBackoff   = time.Second
	defaultCacheSize = 16384
)

// errContended means that the row changed during each of maxAttempts attempts.
var errContended = errors.New("session: row changes too often")

// Options configures a Registry.
type Options struct {
	Table storage.Table
	// Clock returns the current time. Nil means time.Now.
	Clock storage.Clock
	// TTL is the lifetime of a binding after its last use; default 30 min.
	// SetTTL changes it.
	TTL time.Duration
	// Timeout is the timeout of each table call on the request path; default
	// 250 ms.
	Timeout time.Duration
	// Recheck is the age at which a cached binding is read from the table
	// again; default 5 min.
	Recheck time.Duration
	// Backoff is how long the Registry makes no table call after a failed one,
	// so that requests don't each wait for the timeout during an outage;
	// default 1 s.
	Backoff time.Duration
	// CacheSize is the number of cached bindings; default 16,384.
	CacheSize int
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	defaults.Positive(&o.TTL, defaultTTL)
	defaults.Positive(&o.Timeout, defaultTimeout)
	defaults.Positive(&o.Recheck, defaultRecheck)
	defaults.Positive(&o.Backoff, defaultBackoff)
	defaults.Positive(&o.CacheSize, defaultCacheSize)
	return o
}

// Registry binds sessions of callers that send no token. The first host to
// insert the session's row determines the version; all other hosts use the
// row. It is safe for concurrent use.
type Registry struct {
	opts  Options
	cache *cache
	// ttl is the TTL of rows written from now on, in nanoseconds.
	ttl atomic.Int64
	// backoffUntil is the end of the latest backoff, in Unix nanoseconds.
	backoffUntil atomic.Int64
}

// NewRegistry returns a Registry that stores bindings in opts.Table.
func NewRegistry(opts Options) *Registry {
	opts = opts.withDefaults()
	r := &Registry{opts: opts, cache: newCache(opts.CacheSize)}
	r.SetTTL(opts.TTL)
	return r
}

// SetTTL sets the lifetime of bindings after their last use. Each row keeps the
// TTL that it was written with until it is rewritten, so that a host with a
// shorter TTL can't sweep it early.
func (r *Registry) SetTTL(ttl time.Duration) { r.ttl.Store(int64(ttl)) }

// Bind returns the binding in the session's row. If there is no row, Bind inserts
// the proposal and returns it. durable reports whether the binding was read
// from or written to the table. A binding that isn't durable applies to this
// host only, and another host may choose a different version. An unreachable
// table isn't an error. The error wraps ErrInvalidBinding or the context's error.
func (r *Registry) Bind(ctx context.Context, proposal Binding) (b Binding, durable bool, err error) {
	if err := proposal.Validate(); err != nil {
		return Binding{}, false, err
	}
	key := rowKey(proposal)
	now := r.now()
	cached, hit := r.cache.get(key)
	hit = hit && !cached.record.expired(now)
	if hit && cached.durable && now.Sub(cached.readAt) < r.opts.Recheck && !cached.record.needsRewrite(now) {
		return cached.record.Binding, true, nil
	}
	if hit {
		proposal = cached.record.Binding
	}
	candidate := r.newRecord(proposal, now)
	if !r.mayCallTable(now) {
		return r.bindLocally(key, candidate, hit && cached.durable, now)
	}
	current, err := r.readOrInsert(ctx, key, candidate, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: bind: %w", ctxErr)
	}
	if err != nil {
		r.startBackoff(now)
		return r.bindLocally(key, candidate, hit && cached.durable, now)
	}
	r.cache.put(key, cachedBinding{record: current, durable: true, readAt: now})
	return current.Binding, true, nil
}

// Rebind moves a session from a withdrawn version to a replacement. If another
// host moved the session first, Rebind returns that host's binding, so the caller
// must check the result like any other binding. durable and err are as for Bind.
func (r *Registry) Rebind(ctx context.Context, old, replacement Binding) (b Binding, durable bool, err error) {
	if err := replacement.Validate(); err != nil {
		return Binding{}, false, err
	}
	if !old.sameSession(replacement) {
		return Binding{}, false, fmt.Errorf("%w: rebind to another session", ErrInvalidBinding)
	}
	key := rowKey(replacement)
	now := r.now()
	candidate := r.newRecord(replacement, now)
	if !r.mayCallTable(now) {
		return r.bindLocally(key, candidate, false, now)
	}
	current, err := r.replace(ctx, key, old.Version, candidate, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: rebind: %w", ctxErr)
	}
	if err != nil {
		r.startBackoff(now)
		return r.bindLocally(key, candidate, false, now)
	}
	r.cache.put(key, cachedBinding{record: current, durable: true, readAt: now})
	return current.Binding, true, nil
}

// Evict removes all cached bindings to a version, so that each is read from its
// row again. It is called when a version is withdrawn.
func (r *Registry) Evict(model, version string) {
	r.cache.evictVersion(model, version)
}

// bindLocally returns a binding without a table call: the cached one if wasDurable
// is true, or else the candidate, which it caches as not durable. A cached binding
// that was read from its row stays durable until the row may have expired.
func (r *Registry) bindLocally(key string, candidate record, wasDurable bool, now time.Time) (Binding, bool, error) {
	if old, ok := r.cache.get(key); ok && wasDurable {
		return old.record.Binding, true, nil
	}
	r.cache.put(key, cachedBinding{record: candidate, readAt: now})
	return candidate.Binding, false, nil
}

// readOrInsert returns the row's value. It inserts the proposal if the row is
// absent or expired. It reads before it writes, since most sessions that are
// new to a host have a row, and commits are scarcer than reads. Rows need no token
// that identifies the writer: if the response to a write is lost, the row is read
// again, and its value is the binding, whichever host wrote it.
func (r *Registry) readOrInsert(ctx context.Context, key string, proposal record, now time.Time) (record, error) {
	for range maxAttempts {
		current, version, err := r.read(ctx, key)
		if err != nil {
			return record{}, err
		}
		if version > 0 && !current.expired(now) {
			if !current.needsRewrite(now) {
				return current, nil
			}
			proposal = r.newRecord(current.Binding, now)
		}
		err = r.write(ctx, key, version, proposal)
		if err == nil {
			return proposal, nil
		}
		if !shouldReread(err) {
			return record{}, err
		}
	}
	return record{}, errContended
}

// replace writes the replacement if the row still has the withdrawn version, has
// expired or is absent. Otherwise it returns the row's value.
func (r *Registry) replace(ctx context.Context, key, withdrawnVersion string, replacement record, now time.Time) (record, error) {
	for range maxAttempts {
		current, version, err := r.read(ctx, key)
		if err != nil {
			return record{}, err
		}
		if version > 0 && current.Version != withdrawnVersion && !current.expired(now) {
			return current, nil
		}
		err = r.write(ctx, key, version, replacement)
		if err == nil {
			return replacement, nil
		}
		if !shouldReread(err) {
			return record{}, err
		}
	}
	return record{}, errContended
}

// shouldReread reports whether to read the row again after a failed write.
func shouldReread(err error) bool {
	return errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnknown)
}

func (r *Registry) write(ctx context.Context, key string, version uint64, value record) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("session: encode row: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	_, err = r.opts.Table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: text}},
	})
	return err
}

// read returns the row's value and version; version 0 means no row.
func (r *Registry) read(ctx context.Context, key string) (record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	row, err := r.opts.Table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var value record
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return record{}, 0, fmt.Errorf("session: decode row %s: %w", key, err)
	}
	return value, row.Version, nil
}

// now returns the time in UTC, truncated to the millisecond precision of rows
// and tokens.
func (r *Registry) now() time.Time {
	return r.opts.Clock().UTC().Truncate(time.Millisecond)
}

func (r *Registry) mayCallTable(now time.Time) bool {
	return now.UnixNano() >= r.backoffUntil.Load()
}

func (r *Registry) startBackoff(now time.Time) {
	r.backoffUntil.Store(now.Add(r.opts.Backoff).UnixNano())
}

// rowKey returns the key of a session's row. Its parts are escaped so that they
// contain no separator.
func rowKey(b Binding) string {
	return rowPrefix + url.PathEscape(b.Account) + "/" + url.PathEscape(b.SessionID) + "/" + url.PathEscape(b.Model)
}
