package session

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/platform"
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
	Table platform.Table
	// Clock gives the time; nil means time.Now.
	Clock platform.Clock
	// TTL is how long a binding lasts after its last use; default 30 min.
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
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Recheck <= 0 {
		o.Recheck = defaultRecheck
	}
	if o.Backoff <= 0 {
		o.Backoff = defaultBackoff
	}
	if o.CacheSize <= 0 {
		o.CacheSize = defaultCacheSize
	}
	return o
}

// Registry binds sessions of callers that carry no token. The first host to
// insert the session's row decides; all others follow the row. It is safe for
// concurrent use.
type Registry struct {
	opts  Options
	cache *cache
	// retryAt is when the table may be called again, in Unix nanoseconds.
	retryAt atomic.Int64
}

// NewRegistry returns a registry over a table.
func NewRegistry(opts Options) *Registry {
	opts = opts.withDefaults()
	return &Registry{opts: opts, cache: newCache(opts.CacheSize)}
}

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
	hit = hit && !r.expired(cached.binding, now)
	if hit && cached.durable && now.Sub(cached.readAt) < r.opts.Recheck && !r.stale(cached.binding, now) {
		return cached.binding, true, nil
	}
	if hit {
		proposal = cached.binding
	}
	proposal.IssuedAt = now
	if !r.tableUsable(now) {
		return r.bindLocally(key, proposal, hit && cached.durable, now)
	}
	b, err = r.settle(ctx, key, proposal, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: bind: %w", ctxErr)
	}
	if err != nil {
		r.tableFailed(now)
		return r.bindLocally(key, proposal, hit && cached.durable, now)
	}
	r.cache.put(key, entry{binding: b, durable: true, readAt: now})
	return b, true, nil
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
	replacement.IssuedAt = now
	if !r.tableUsable(now) {
		return r.bindLocally(key, replacement, false, now)
	}
	b, err = r.replace(ctx, key, old.Version, replacement, now)
	if ctxErr := ctx.Err(); ctxErr != nil {
		return Binding{}, false, fmt.Errorf("session: rebind: %w", ctxErr)
	}
	if err != nil {
		r.tableFailed(now)
		return r.bindLocally(key, replacement, false, now)
	}
	r.cache.put(key, entry{binding: b, durable: true, readAt: now})
	return b, true, nil
}

// Evict forgets cached bindings to a version, so that each is read from its
// row again. It is called when a version is withdrawn.
func (r *Registry) Evict(model, version string) {
	r.cache.evict(model, version)
}

// bindLocally answers without the table. A binding once read from its row
// keeps the claim while the row can't have expired.
func (r *Registry) bindLocally(key string, b Binding, wasDurable bool, now time.Time) (Binding, bool, error) {
	if old, ok := r.cache.get(key); ok && wasDurable {
		return old.binding, true, nil
	}
	r.cache.put(key, entry{binding: b, readAt: now})
	return b, false, nil
}

// settle returns what the row holds, after it inserted the row if it was
// absent or expired. It reads before it writes, since most sessions that are
// new to a host have a row and commits are scarcer than reads. A lost answer
// needs no attempt token: whatever the row holds after it is the decision,
// whoever wrote it.
func (r *Registry) settle(ctx context.Context, key string, proposal Binding, now time.Time) (Binding, error) {
	for range maxAttempts {
		held, version, err := r.read(ctx, key)
		if err != nil {
			return Binding{}, err
		}
		if version > 0 && !r.expired(held, now) {
			if !r.stale(held, now) {
				return held, nil
			}
			proposal = held
			proposal.IssuedAt = now
		}
		err = r.write(ctx, key, version, proposal)
		if err == nil {
			return proposal, nil
		}
		if !follow(err) {
			return Binding{}, err
		}
	}
	return Binding{}, errContended
}

// replace writes the replacement over a row that still holds the withdrawn
// version, or over none.
func (r *Registry) replace(ctx context.Context, key, withdrawn string, replacement Binding, now time.Time) (Binding, error) {
	for range maxAttempts {
		held, version, err := r.read(ctx, key)
		if err != nil {
			return Binding{}, err
		}
		if version > 0 && held.Version != withdrawn && !r.expired(held, now) {
			return held, nil
		}
		err = r.write(ctx, key, version, replacement)
		if err == nil {
			return replacement, nil
		}
		if !follow(err) {
			return Binding{}, err
		}
	}
	return Binding{}, errContended
}

// follow reports whether the row is to be read after a failed write.
func follow(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown)
}

func (r *Registry) write(ctx context.Context, key string, version uint64, b Binding) error {
	value, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("session: encode row: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	_, err = r.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	})
	return err
}

// read returns the row's binding and version; version 0 means no row.
func (r *Registry) read(ctx context.Context, key string) (Binding, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	row, err := r.opts.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return Binding{}, 0, nil
	}
	if err != nil {
		return Binding{}, 0, err
	}
	var b Binding
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return Binding{}, 0, fmt.Errorf("session: decode row %s: %w", key, err)
	}
	return b, row.Version, nil
}

// now is in the form that rows and tokens give back.
func (r *Registry) now() time.Time {
	return r.opts.Clock().UTC().Truncate(time.Millisecond)
}

// stale reports whether a use must write the row again to prolong it.
func (r *Registry) stale(b Binding, now time.Time) bool {
	return now.Sub(b.IssuedAt) >= r.opts.TTL
}

// expired reports whether the row has outlived its last use.
func (r *Registry) expired(b Binding, now time.Time) bool {
	return now.Sub(b.IssuedAt) >= rowLives*r.opts.TTL
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
