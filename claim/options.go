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

// Liveness tells whether a host's process may still be running.
type Liveness interface {
	// Alive reports false only if the host is known to be gone. A wrong answer
	// changes what a repeat is told, never what is run.
	Alive(host string) bool
}

// Options sets up a Store. Zero values of the numbers take the defaults.
type Options struct {
	// Table holds the claims; a groupcommit.Committer keeps its commits few.
	Table storage.Table
	// Objects holds answers over InlineBytes.
	Objects storage.Objects
	// Host names this host in the rows and to Liveness.
	Host string
	// Alive tells which owners are gone; nil takes every host for alive.
	Alive Liveness
	// Clock gives the wall time of expiries; default time.Now.
	Clock storage.Clock
	// Retention is how long answers are kept; default 24 h.
	Retention time.Duration
	// TombstoneRetention is how long after the claim a repeat is still
	// recognised and refused; default 30 days.
	TombstoneRetention time.Duration
	// InlineBytes bounds the header and body kept in the row itself, in bytes;
	// default 8 KiB.
	InlineBytes int
	// MaxResultBytes bounds the header and body kept at all, in bytes; default
	// 8 MiB. Of a larger answer only the fact that it was given is kept.
	MaxResultBytes int
	// MaxPending bounds the outcomes awaiting the table; default 4096.
	MaxPending int
	// MaxPendingBytes bounds their headers and bodies, in bytes; default 8 MiB.
	MaxPendingBytes int
	// ReadTimeout bounds a read that settles a commit with an unknown outcome;
	// default 1 s.
	ReadTimeout time.Duration
	// RetryInterval is the time between two retries by Run; default 200 ms.
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

// alive reports whether the process behind owner may still be running.
func (o Options) alive(host string) bool {
	return o.Alive == nil || o.Alive.Alive(host)
}
