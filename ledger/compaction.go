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
	// DefaultCompactEvery is the mean time between compactions.
	DefaultCompactEvery = time.Minute
	// DefaultCompactAge is the age from which rows are compacted.
	DefaultCompactAge = 15 * time.Minute
)

// CompactionOptions configure RunCompaction. Table, Objects and Random are
// needed.
type CompactionOptions struct {
	Table   storage.Table
	Objects storage.Objects
	// Hosts gives the number of hosts that run compactions; nil is one.
	Hosts func() int
	// Every is the mean time between the compactions of all hosts together;
	// default DefaultCompactEvery.
	Every time.Duration
	// Age is the age from which rows are compacted; default DefaultCompactAge.
	Age time.Duration
	// Random spreads the hosts' turns. It is used by RunCompaction alone.
	Random *rand.Rand
	// Failed is told of a compaction's error; nil ignores it.
	Failed func(error)
}

func (o CompactionOptions) withDefaults() CompactionOptions {
	defaults.Positive(&o.Every, DefaultCompactEvery)
	defaults.Positive(&o.Age, DefaultCompactAge)
	if o.Hosts == nil {
		o.Hosts = func() int { return 1 }
	}
	if o.Failed == nil {
		o.Failed = func(error) {}
	}
	return o
}

// RunCompaction compacts at random times until ctx ends, and returns its error.
// Each host waits for a time that grows with the number of hosts, so that they
// share the work without agreeing on whose turn it is. Two that run at once do
// no harm.
func RunCompaction(ctx context.Context, opts CompactionOptions) error {
	opts = opts.withDefaults()
	for {
		_ = wait.For(ctx, opts.wait())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := Compact(ctx, opts.Table, opts.Objects, time.Now().Add(-opts.Age)); err != nil {
			opts.Failed(err)
		}
	}
}

// wait draws a time with the mean Every for each host.
func (o CompactionOptions) wait() time.Duration {
	mean := o.Every * time.Duration(max(1, o.Hosts()))
	return time.Duration(o.Random.Int64N(int64(2 * mean)))
}
