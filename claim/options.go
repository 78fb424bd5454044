package claim

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of Options.
const (
	DefaultRetention          = 24 * time.Hour
	DefaultTombstoneRetention = 30 * 24 * time.Hour
	DefaultInlineBytes        = 8 << 10
	DefaultMaxResultBytes     = 8 << 20
	DefaultMaxPending         = 4096
	DefaultMaxPendingBytes    = 8 << 20
	DefaultReadTimeout        = time.Second
	DefaultRetryInterval      = 200 * time.Millisecond
)

// Liveness reports whether the process of a host may still be running.
type Liveness interface {
	// MayBeRunning returns false only if it is certain that the process has terminated. A
	// wrong value changes the error that a duplicate gets, but never which requests
	// run.
	MayBeRunning(host string) bool
}

// Options configures a Store. Numbers and durations that are zero take their
// defaults.
type Options struct {
	// Table stores the claims. A groupcommit.Committer reduces the number of
	// commits.
	Table storage.Table
	// Objects stores results that are larger than InlineBytes.
	Objects storage.Objects
	// Host is the name of this host in rows and for Liveness.
	Host string
	// Liveness reports which owners may still be running. Nil means that all may.
	Liveness Liveness
	// Clock returns the wall time, used for expiry; default time.Now.
	Clock storage.Clock
	// Retention is how long after the claim its result is kept; default 24 h.
	Retention time.Duration
	// TombstoneRetention is how long after the claim its duplicates are still
	// detected and rejected; default 30 days.
	TombstoneRetention time.Duration
	// InlineBytes is the maximum size of header and body stored in the row, in
	// bytes; default 8 KiB.
	InlineBytes int
	// MaxResultBytes is the maximum size of header and body that is stored, in
	// bytes; default 8 MiB. For a larger result, only the fact that the request
	// finished is stored.
	MaxResultBytes int
	// MaxPending is the maximum number of pending writes; default 4096.
	MaxPending int
	// MaxPendingBytes is the maximum total size of the headers and bodies of
	// pending writes, in bytes; default 8 MiB.
	MaxPendingBytes int
	// ReadTimeout is the timeout of the read that determines the outcome of a
	// failed or unknown commit; default 1 s.
	ReadTimeout time.Duration
	// RetryInterval is the interval between retries by Run; default 200 ms.
	RetryInterval time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	defaults.Positive(&o.Retention, DefaultRetention)
	defaults.Positive(&o.TombstoneRetention, DefaultTombstoneRetention)
	defaults.Positive(&o.InlineBytes, DefaultInlineBytes)
	defaults.Positive(&o.MaxResultBytes, DefaultMaxResultBytes)
	defaults.Positive(&o.MaxPending, DefaultMaxPending)
	defaults.Positive(&o.MaxPendingBytes, DefaultMaxPendingBytes)
	defaults.Positive(&o.ReadTimeout, DefaultReadTimeout)
	defaults.Positive(&o.RetryInterval, DefaultRetryInterval)
	return o
}

// hostMayBeRunning reports whether the process of the host may still be running.
func (o Options) hostMayBeRunning(host string) bool {
	return o.Liveness == nil || o.Liveness.MayBeRunning(host)
}
