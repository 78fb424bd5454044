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
	// rowPrefix starts the keys of all session rows.
	rowPrefix = "session/"
	// rowLives is a row's life in times to live. Rows are written again by the
	// first use that is one time to live after the last write, so a row lasts
	// at least one time to live after each use without a write for each.
	rowLives = 2
	// maxAttempts bounds how often a bind follows a row that others move.
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

// errContended means that a row changed at each of maxAttempts attempts.
var errContended = errors.New("session: row changes too often")

// Options configures a Registry.
type Options struct {
	Table storage.Table
	// Clock gives the time; nil means time.Now.
	Clock storage.Clock
	// TTL is how long a binding lasts after its last use; default 30 min. It
	// can be changed by SetTTL.
	TTL time.Duration
	// Timeout bounds each table call on the request path; default 250 ms.
	Timeout time.Duration
	// Recheck is the age at which a cached binding is read again; default
	// 5 min.
	Recheck time.Duration
	// Backoff is how long the table isn't called after it failed, so that an
	// outage doesn't cost each request the timeout; default 1 s.
	Backoff time.Duration
	// CacheSize is the number of bindings held in memory; default 16,384.
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

// Registry binds sessions of callers that carry no token. The first host to
// insert the session's row decides; all others follow the row. It is safe for
// concurrent use.
type Registry struct {
	opts  Options
	cache *cache
	// ttl is the time to live of rows written from now on, in nanoseconds.
	ttl atomic.Int64
	// retryAt is when the table may be called again, in Unix nanoseconds.
	retryAt atomic.Int64
}

// NewRegistry returns a registry over a table.
func NewRegistry(opts Options) *Registry {
	opts = opts.withDefaults()
	r := &Registry{opts: opts, cache: newCache(opts.CacheSize)}
	r.SetTTL(opts.TTL)
	return r
}

// SetTTL changes how long bindings last after their last use. Each row keeps
// the time that it was written with until it is written again, so that a host
// that doesn't know of a longer time can't sweep it early.
func (r *Registry) SetTTL(ttl time.Duration) { r.ttl.Store(int64(ttl)) }

// Bind returns the session's binding: the one that the row holds, or else the
// proposal, which is then written down. durable reports whether the binding
// was seen in the table; without it, the binding is only this host's own, and
// another host may choose otherwise. An unreachable table is no error. The
// error is ErrInvalidBinding, or the context's.
func (r *Registry) Bind(ctx context.Context, proposal Binding) (b Binding, durable bool, err error) {
	if err := proposal.Validate(); err != nil {
		return Binding{}, false, err
	}
	key := rowKey(proposal)
	now := r.now()
	cached, hit := r.cache.get(key)
	hit = hit && !cached.record.expired(now)
	if hit && cached.durable && now.Sub(cached.readAt) < r.opts.Recheck && !cached.record.stale(now) {
		return cached.record.Binding, true, nil
	}
	if hit {
		proposal = cached.record.Binding
	}
	fresh := r.record(proposal, now)
	if !r.tableUsable(now) {
		return r.bindLocally(key, fresh, hit && cached.durable, now)
	}
	held, err := r.settle(ctx, key, fresh, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: bind: %w", ctxErr)
	}
	if err != nil {
		r.tableFailed(now)
		return r.bindLocally(key, fresh, hit && cached.durable, now)
	}
	r.cache.put(key, entry{record: held, durable: true, readAt: now})
	return held.Binding, true, nil
}

// Rebind moves a session off a version that was withdrawn. If another host
// moved it first, that host's choice is returned, so the caller checks the
// result as it checks any binding. The other results are as for Bind.
func (r *Registry) Rebind(ctx context.Context, old, replacement Binding) (b Binding, durable bool, err error) {
	if err := replacement.Validate(); err != nil {
		return Binding{}, false, err
	}
	if !old.sameSession(replacement) {
		return Binding{}, false, fmt.Errorf("%w: rebind to another session", ErrInvalidBinding)
	}
	key := rowKey(replacement)
	now := r.now()
	fresh := r.record(replacement, now)
	if !r.tableUsable(now) {
		return r.bindLocally(key, fresh, false, now)
	}
	held, err := r.replace(ctx, key, old.Version, fresh, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: rebind: %w", ctxErr)
	}
	if err != nil {
		r.tableFailed(now)
		return r.bindLocally(key, fresh, false, now)
	}
	r.cache.put(key, entry{record: held, durable: true, readAt: now})
	return held.Binding, true, nil
}

// Evict forgets cached bindings to a version, so that each is read from its
// row again. It is called when a version is withdrawn.
func (r *Registry) Evict(model, version string) {
	r.cache.evict(model, version)
}

// bindLocally answers without the table. A binding once read from its row
// keeps the claim while the row can't have expired.
func (r *Registry) bindLocally(key string, fresh record, wasDurable bool, now time.Time) (Binding, bool, error) {
	if old, ok := r.cache.get(key); ok && wasDurable {
		return old.record.Binding, true, nil
	}
	r.cache.put(key, entry{record: fresh, readAt: now})
	return fresh.Binding, false, nil
}

// settle returns what the row holds, after it inserted the row if it was
// absent or expired. It reads before it writes, since most sessions that are
// new to a host have a row and commits are scarcer than reads. A lost answer
// needs no attempt token: whatever the row holds after it is the decision,
// whoever wrote it.
func (r *Registry) settle(ctx context.Context, key string, proposal record, now time.Time) (record, error) {
	for range maxAttempts {
		held, version, err := r.read(ctx, key)
		if err != nil {
			return record{}, err
		}
		if version > 0 && !held.expired(now) {
			if !held.stale(now) {
				return held, nil
			}
			proposal = r.record(held.Binding, now)
		}
		err = r.write(ctx, key, version, proposal)
		if err == nil {
			return proposal, nil
		}
		if !follow(err) {
			return record{}, err
		}
	}
	return record{}, errContended
}

// replace writes the replacement over a row that still holds the withdrawn
// version, or over none.
func (r *Registry) replace(ctx context.Context, key, withdrawn string, replacement record, now time.Time) (record, error) {
	for range maxAttempts {
		held, version, err := r.read(ctx, key)
		if err != nil {
			return record{}, err
		}
		if version > 0 && held.Version != withdrawn && !held.expired(now) {
			return held, nil
		}
		err = r.write(ctx, key, version, replacement)
		if err == nil {
			return replacement, nil
		}
		if !follow(err) {
			return record{}, err
		}
	}
	return record{}, errContended
}

// follow reports whether the row is to be read after a failed write.
func follow(err error) bool {
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

// now is in the form that rows and tokens give back.
func (r *Registry) now() time.Time {
	return r.opts.Clock().UTC().Truncate(time.Millisecond)
}

func (r *Registry) tableUsable(now time.Time) bool {
	return now.UnixNano() >= r.retryAt.Load()
}

func (r *Registry) tableFailed(now time.Time) {
	r.retryAt.Store(now.Add(r.opts.Backoff).UnixNano())
}

// rowKey names a session's row. Escaping keeps the parts apart.
func rowKey(b Binding) string {
	return rowPrefix + url.PathEscape(b.Account) + "/" + url.PathEscape(b.SessionID) + "/" + url.PathEscape(b.Model)
}
