// Package loadgen generates open-loop load: requests start at their intended
// times whether or not earlier ones were answered. Latency is measured from the
// intended start, which avoids coordinated omission: a slow system can't delay
// the requests that measure it.
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
	// minLatency and maxLatency are the range of the histogram in microseconds.
	minLatency = 1
	maxLatency = 600_000_000
	// precision is that of the histogram, in significant digits.
	precision = 3
)

// Options describe a load.
type Options struct {
	// Rate is the mean number of requests a second; arrivals are Poisson.
	Rate float64
	// Requests is the total number of requests.
	Requests int
	// Seed determines the arrival times and kinds of the requests.
	Seed uint64
	// Kinds is the number of kinds of requests, of which each request is one
	// at random. Default 1.
	Kinds int
	// Send sends request i of the given kind. It is called concurrently.
	Send func(ctx context.Context, i, kind int) error
}

// Result is the measurement of one kind of requests.
type Result struct {
	// Latency is the histogram of the successful requests, in microseconds.
	Latency *hdrhistogram.Histogram
	Errors  int
	// FirstError is the error of the first request that failed.
	FirstError error
}

// Quantile returns the latency at the percentile q, from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Run generates the load and returns a result for each kind. It returns once all
// requests have ended. When ctx ends, it starts no further requests.
func Run(ctx context.Context, options Options) []Result {
	kinds := max(1, options.Kinds)
	results := make([]Result, kinds)
	for i := range results {
		results[i].Latency = hdrhistogram.New(minLatency, maxLatency, precision)
	}
	rnd := rand.New(rand.NewPCG(options.Seed, 0))
	var mu sync.Mutex
	var wait sync.WaitGroup
	previous := time.Now()
	for i := range options.Requests {
		start := previous.Add(time.Duration(rnd.ExpFloat64() / options.Rate * float64(time.Second)))
		previous = start
		kind := rnd.IntN(kinds)
		if !sleepUntil(ctx, start) {
			break
		}
		wait.Go(func() {
			err := options.Send(WithIntendedStart(ctx, start), i, kind)
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			results[kind].record(took, err)
		})
	}
	wait.Wait()
	return results
}

// intendedStart is the context key of a request's intended start.
type intendedStart struct{}

// WithIntendedStart returns a context with a request's intended start, for
// callers that send requests without Run.
func WithIntendedStart(ctx context.Context, start time.Time) context.Context {
	return context.WithValue(ctx, intendedStart{}, start)
}

// IntendedStart returns the intended start of the request that ctx belongs to,
// or the zero time if ctx has none.
func IntendedStart(ctx context.Context) time.Time {
	start, _ := ctx.Value(intendedStart{}).(time.Time)
	return start
}

func (r *Result) record(took time.Duration, err error) {
	if err != nil {
		r.Errors++
		if r.FirstError == nil {
			r.FirstError = err
		}
		return
	}
	// Values outside the histogram's range are clamped to it.
	_ = r.Latency.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency))
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	return wait.For(ctx, time.Until(t)) == nil
}
