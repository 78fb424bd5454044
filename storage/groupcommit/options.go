package groupcommit

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of Options.
const (
	DefaultMaxOps           = 512
	DefaultMaxBytes         = 512 << 10
	DefaultMaxDelay         = 5 * time.Millisecond
	DefaultCommitsPerSecond = 20
	DefaultReadsPerSecond   = 100
	DefaultMaxInFlight      = 4
	DefaultTimeout          = 2 * time.Second
)

// burstDivisor is the divisor of CommitsPerSecond that yields the number of
// commits that may be sent at once.
const burstDivisor = 4

// Options configures a Committer. Zero values are replaced by the defaults.
type Options struct {
	// MaxOps bounds the conditions, puts and deletes of one merged commit;
	// default 512. A larger single transaction is committed alone.
	MaxOps int
	// MaxBytes bounds the keys and values of one merged commit, in bytes;
	// default 512 KiB. A larger single transaction is committed alone.
	MaxBytes int
	// MaxDelay is how long the first transaction of a batch waits for others;
	// default 5 ms.
	MaxDelay time.Duration
	// CommitsPerSecond bounds the commits sent, including the parts of merged
	// commits that were split; default 20. A quarter of this number, at least
	// one, may be sent at once.
	CommitsPerSecond float64
	// ReadsPerSecond bounds the rows read to find the conflicting transactions
	// of a merged commit; default 100. The same number may be read at once.
	// Conflicting batches beyond this rate are split, which takes more commits.
	// A negative value disables these reads.
	ReadsPerSecond float64
	// MaxInFlight bounds the merged commits in progress at a time; default 4,
	// so that one lost response doesn't delay all others.
	MaxInFlight int
	// Timeout bounds one commit; default 2 s. It doesn't depend on any
	// caller's context, since a commit serves several callers.
	Timeout time.Duration
	// Clock supplies the time for the rate limits; default time.Now.
	Clock storage.Clock
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.MaxOps, DefaultMaxOps)
	defaults.Positive(&o.MaxBytes, DefaultMaxBytes)
	defaults.Positive(&o.MaxDelay, DefaultMaxDelay)
	defaults.Positive(&o.CommitsPerSecond, DefaultCommitsPerSecond)
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	o.ReadsPerSecond = max(0, o.ReadsPerSecond)
	defaults.Positive(&o.MaxInFlight, DefaultMaxInFlight)
	defaults.Positive(&o.Timeout, DefaultTimeout)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

func (o Options) burst() int {
	return max(1, int(o.CommitsPerSecond/burstDivisor))
}
