// Package loadgen makes open-loop load: requests start at their intended times
// whether or not earlier ones were answered, and latency counts from the
// intended start, so that a slow system can't slow its own measurement down.
package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// lowest and highest are the recorded latencies in microseconds.
	lowest  = 1
	highest = 600_000_000
	// digits is the histogram's precision in significant digits.
	digits = 3
)

// Options describe a load.
type Options struct {
	// Rate is the mean number of requests a second; arrivals are Poisson.
	Rate float64
	// Requests is how many are sent in all.
	Requests int
	// Seed fixes the arrivals.
	Seed uint64
	// Kinds is how many kinds of request are mixed at random; default 1.
	Kinds int
	// Send sends request i, which is of the kind. It runs concurrently.
	Send func(ctx context.Context, i, kind int) error
}

// Result is what a kind of request came to.
type Result struct {
	// Latency is in microseconds, of requests without an error.
	Latency *hdrhistogram.Histogram
	Errors  int
	// FirstError is an example.
	FirstError error
}

// Quantile returns the latency at the quantile, from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Run makes the load and returns a result for each kind. It ends when all
// requests did, or, without those not yet started, when ctx ends.
func Run(ctx context.Context, options Options) []Result {
	kinds := max(1, options.Kinds)
	results := make([]Result, kinds)
	for i := range results {
		results[i].Latency = hdrhistogram.New(lowest, highest, digits)
	}
	rnd := rand.New(rand.NewPCG(options.Seed, 0))
	var mu sync.Mutex
	var wait sync.WaitGroup
	last := time.Now()
	for i := range options.Requests {
		due := last.Add(time.Duration(rnd.ExpFloat64() / options.Rate * float64(time.Second)))
		last = due
		kind := rnd.IntN(kinds)
		if !sleepUntil(ctx, due) {
			break
		}
		wait.Go(func() {
			err := options.Send(WithIntendedStart(ctx, due), i, kind)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			results[kind].record(took, err)
		})
	}
	wait.Wait()
	return results
}

// intendedStart is the key of a request's intended start in its context.
type intendedStart struct{}

// WithIntendedStart returns a context with a request's intended start, for
// those who send without Run.
func WithIntendedStart(ctx context.Context, due time.Time) context.Context {
	return context.WithValue(ctx, intendedStart{}, due)
}

// IntendedStart returns when the request that was given ctx was to start.
// Without one it returns the zero time.
func IntendedStart(ctx context.Context) time.Time {
	due, _ := ctx.Value(intendedStart{}).(time.Time)
	return due
}

func (r *Result) record(took time.Duration, err error) {
	if err != nil {
		r.Errors++
		if r.FirstError == nil {
			r.FirstError = err
		}
		return
	}
	// Values beyond the range count as its ends.
	_ = r.Latency.RecordValue(min(max(took.Microseconds(), lowest), highest))
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	return wait.For(ctx, time.Until(due)) == nil
}
