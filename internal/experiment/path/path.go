// Package path measures the overhead of an entry host: the latency that it adds
// to requests, relative to requests sent directly to the engine in the same
// run, and the processor time and allocations of the hosts.
package path

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

// Host holds the addresses of an entry host.
type Host struct {
	// CallerAddr and OperatorAddr are the IP and port at which it serves callers and
	// operators.
	CallerAddr   string
	OperatorAddr string
}

// Options are the settings of Run.
type Options struct {
	// Entry is the measured host. Others are the other entry hosts, one of
	// which stores its bills.
	Entry  Host
	Others []Host
	// EngineAddr is the IP and port of the only engine.
	EngineAddr string
	// AccountKey is the account key.
	AccountKey string
	// Model is the model that callers request from the entry host, Version the
	// "model@version" that direct requests name to the engine.
	Model   string
	Version string
	// CoreLoads are the loads of the measured host, as fractions of the requests a
	// second that one core can process.
	CoreLoads []float64
	// Period is how long each load lasts. Default: 4 s.
	Period time.Duration
	// Seed seeds the arrival times.
	Seed uint64
	// Streams is the number of concurrent streams, Tokens the number of tokens
	// in each. With 0 streams, streams aren't measured.
	Streams int
	Tokens  int
}

// Figure is one measured value with its name in the table.
type Figure struct {
	Name  string
	Value float64
}

// The kinds of requests: sent directly to the engine, or through the entry
// host.
const (
	direct = iota
	routed
	kindCount
)

const (
	defaultPeriod = 4 * time.Second
	// costRate is the load, in requests a second, at which the processor time
	// of a request is measured. Options.CoreLoads are relative to it.
	costRate = 300
	// costTokens is the number of tokens for which processor time is reported.
	costTokens = 10_000
	// maxIdleConns is large enough to reuse the connections of all streams.
	maxIdleConns = 2048
)

type run struct {
	Options
	client  *http.Client
	figures []Figure
}

// Run measures the cost of a request, then the latency at each load of
// options.CoreLoads, then streams.
func Run(ctx context.Context, options Options) ([]Figure, error) {
	if options.Period == 0 {
		options.Period = defaultPeriod
	}
	r := &run{
		Options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	defer r.client.CloseIdleConnections()
	coreRate, err := r.measureCost(ctx)
	if err != nil {
		return nil, err
	}
	for _, share := range r.CoreLoads {
		if err := r.measureLatency(ctx, share, coreRate); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{1, r.Streams} {
		if r.Streams == 0 {
			break
		}
		if err := r.measureStreams(ctx, n); err != nil {
			return nil, err
		}
	}
	return r.figures, nil
}

func (r *run) addFigure(value float64, format string, args ...any) {
	r.figures = append(r.figures, Figure{Name: fmt.Sprintf(format, args...), Value: value})
}

// measureCost measures the processor time and allocations of routed requests,
// and returns how many of them a second one core can process.
func (r *run) measureCost(ctx context.Context) (coreRate float64, err error) {
	before, err := r.usage(ctx)
	if err != nil {
		return 0, err
	}
	n := int(costRate * r.Period.Seconds())
	results, err := r.runLoad(ctx, costRate, n, 1, func(int) int { return routed })
	if err != nil {
		return 0, err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return 0, err
	}
	cpu := (after.measured.cpu - before.measured.cpu) / float64(n)
	r.addFigure(cpu*1e6, "a request at %d/s: processor time, us", costRate)
	r.addFigure((after.others.cpu-before.others.cpu)/float64(n)*1e6, "a request at %d/s: processor time of the other hosts, us", costRate)
	r.addFigure((after.measured.mallocs-before.measured.mallocs)/float64(n), "a request: allocations")
	r.addFigure(1/cpu, "requests a second on a core")
	r.addFigure(milliseconds(results[0].Quantile(50)), "alone at %d/s: whole request p50, ms", costRate)
	return 1 / cpu, nil
}

// measureLatency sends routed and direct requests mixed at random, at the same
// rate each.
func (r *run) measureLatency(ctx context.Context, share, coreRate float64) error {
	rate := share * coreRate
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	n := int(kindCount * rate * r.Period.Seconds())
	results, err := r.runLoad(ctx, kindCount*rate, n, kindCount, func(kind int) int { return kind })
	if err != nil {
		return err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%.0f%% of a core", 100*share)
	r.addFigure(rate, "%s: routed requests a second", name)
	for _, q := range []float64{50, 95, 99} {
		directLatency, routedLatency := results[direct].Quantile(q), results[routed].Quantile(q)
		r.addFigure(milliseconds(directLatency), "%s: direct p%.0f, ms", name, q)
		r.addFigure(milliseconds(routedLatency-directLatency), "%s: added p%.0f, ms", name, q)
	}
	routedCount := float64(results[routed].Latency.TotalCount())
	r.addFigure((after.measured.cpu-before.measured.cpu)/routedCount*1e6, "%s: processor time a request, us", name)
	return nil
}

// runLoad sends n requests and fails if any of them failed.
func (r *run) runLoad(ctx context.Context, rate float64, n, kindCount int, kindOf func(int) int) ([]loadgen.Result, error) {
	results := loadgen.Run(ctx, loadgen.Options{
		Rate:     rate,
		Requests: n,
		Seed:     r.Seed,
		Kinds:    kindCount,
		Send: func(ctx context.Context, i, kind int) error {
			return r.send(ctx, kindOf(kind), fmt.Sprintf("request %d at %.0f tokens=1", i, rate))
		},
	})
	for kind, res := range results {
		if res.Errors > 0 {
			return nil, fmt.Errorf("kind %d: %d errors, first: %w", kind, res.Errors, res.FirstError)
		}
	}
	return results, nil
}

// measureStreams reads n streams concurrently.
func (r *run) measureStreams(ctx context.Context, n int) error {
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			errs[i] = r.send(ctx, routed, fmt.Sprintf("stream %d of %d tokens=%d", i, n, r.Tokens))
		})
	}
	wait.Wait()
	seconds := time.Since(started).Seconds()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	tokens := float64(n * r.Tokens)
	r.addFigure(tokens/seconds, "%d streams: tokens a second", n)
	r.addFigure((after.measured.cpu-before.measured.cpu)/tokens*costTokens, "%d streams: processor time of %d tokens, s", n, costTokens)
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
