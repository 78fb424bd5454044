package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of CompactionOptions.
const (
	// DefaultCompactionInterval is the mean time between compactions.
	DefaultCompactionInterval = time.Minute
	// DefaultCompactionMinAge is the age from which rows are compacted.
	DefaultCompactionMinAge = 15 * time.Minute
)

// CompactionOptions configure RunCompaction. Table, Objects and Random are
// required.
type CompactionOptions struct {
	Table   storage.Table
	Objects storage.Objects
	// Hosts returns the number of hosts that run compactions; nil means one.
	Hosts func() int
	// Interval is the mean time between the compactions of all hosts together;
	// default DefaultCompactionInterval.
	Interval time.Duration
	// MinAge is the age from which rows are compacted; default
	// DefaultCompactionMinAge.
	MinAge time.Duration
	// Random is the source of the random waits between compactions. It must not
	// be used elsewhere while RunCompaction runs.
	Random *rand.Rand
	// OnError is called with the error of a failed compaction; nil ignores it.
	OnError func(error)
}

func (o CompactionOptions) withDefaults() CompactionOptions {
	defaults.Positive(&o.Interval, DefaultCompactionInterval)
	defaults.Positive(&o.MinAge, DefaultCompactionMinAge)
	if o.Hosts == nil {
		o.Hosts = func() int { return 1 }
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// RunCompaction compacts at random times until ctx ends, and returns the error of
// ctx.
// Each host waits for a time proportional to the number of hosts, so that they
// share the work without coordination. Concurrent compactions are safe.
func RunCompaction(ctx context.Context, opts CompactionOptions) error {
	opts = opts.withDefaults()
	for {
		_ = wait.For(ctx, opts.nextDelay())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := Compact(ctx, opts.Table, opts.Objects, time.Now().Add(-opts.MinAge)); err != nil {
			opts.OnError(err)
		}
	}
}

// nextDelay returns a random wait whose mean is Interval times the number of
// hosts.
func (o CompactionOptions) nextDelay() time.Duration {
	mean := o.Interval * time.Duration(max(1, o.Hosts()))
	return time.Duration(o.Random.Int64N(int64(2 * mean)))
}
