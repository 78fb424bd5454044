// Package path measures what an entry host adds to a request: latency against
// the same request sent straight to the engine, in one run with mixed arrivals,
// and the processor time and allocations of the hosts.
package path

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

// Host is an entry host that is measured, or one that works for it.
type Host struct {
	// Callers and Operators are IP and port of its addresses.
	Callers   string
	Operators string
}

// Options say what is measured.
type Options struct {
	// Entry is the measured host. Others are the other entry hosts, one of
	// which holds its bills.
	Entry  Host
	Others []Host
	// Engine is IP and port of the one engine.
	Engine string
	// Key is the account key.
	Key string
	// Model is the route at the entry host, Version the "model@version" that
	// the engine is asked for.
	Model   string
	Version string
	// Shares are the loads of the measured host, as parts of the requests a
	// second that one core carries.
	Shares []float64
	// Period is how long each load lasts. Default: 4 s.
	Period time.Duration
	// Seed fixes the arrivals.
	Seed uint64
	// Streams is the number of concurrent streams, Tokens the length of each;
	// with zero streams none are measured.
	Streams int
	Tokens  int
}

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
}

// The kinds of requests that are mixed.
const (
	direct = iota
	routed
	kinds
)

const (
	defaultPeriod = 4 * time.Second
	// probeRate is the load, in requests a second, under which the cost of a
	// request is found that the shares are parts of.
	probeRate = 300
	// tokensUnit is the number of tokens whose cost is told.
	tokensUnit = 10_000
	// maxIdleConns keeps the connections of all streams for the next ones.
	maxIdleConns = 2048
)

type run struct {
	Options
	client  *http.Client
	figures []Figure
}

// Run measures once.
func Run(ctx context.Context, options Options) ([]Figure, error) {
	if options.Period == 0 {
		options.Period = defaultPeriod
	}
	r := &run{
		Options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	defer r.client.CloseIdleConnections()
	carries, err := r.cost(ctx)
	if err != nil {
		return nil, err
	}
	for _, share := range r.Shares {
		if err := r.latency(ctx, share, carries); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{1, r.Streams} {
		if r.Streams == 0 {
			break
		}
		if err := r.streams(ctx, n); err != nil {
			return nil, err
		}
	}
	return r.figures, nil
}

func (r *run) add(value float64, format string, args ...any) {
	r.figures = append(r.figures, Figure{Name: fmt.Sprintf(format, args...), Value: value})
}

// cost counts what routed requests alone take of the hosts, and returns how
// many a second one core carries.
func (r *run) cost(ctx context.Context) (carries float64, err error) {
	before, err := r.usage(ctx)
	if err != nil {
		return 0, err
	}
	n := int(probeRate * r.Period.Seconds())
	results, err := r.load(ctx, probeRate, n, 1, func(int) int { return routed })
	if err != nil {
		return 0, err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return 0, err
	}
	cpu := (after.entry.cpu - before.entry.cpu) / float64(n)
	r.add(cpu*1e6, "a request at %d/s: processor time, us", probeRate)
	r.add((after.others.cpu-before.others.cpu)/float64(n)*1e6, "a request at %d/s: processor time of the other hosts, us", probeRate)
	r.add((after.entry.mallocs-before.entry.mallocs)/float64(n), "a request: allocations")
	r.add(1/cpu, "requests a second on a core")
	r.add(milliseconds(results[0].Quantile(50)), "alone at %d/s: whole request p50, ms", probeRate)
	return 1 / cpu, nil
}

// latency mixes routed and direct requests, as many of each.
func (r *run) latency(ctx context.Context, share, carries float64) error {
	rate := share * carries
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	n := int(kinds * rate * r.Period.Seconds())
	results, err := r.load(ctx, kinds*rate, n, kinds, func(kind int) int { return kind })
	if err != nil {
		return err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%.0f%% of a core", 100*share)
	r.add(rate, "%s: routed requests a second", name)
	for _, q := range []float64{50, 95, 99} {
		straight, via := results[direct].Quantile(q), results[routed].Quantile(q)
		r.add(milliseconds(straight), "%s: direct p%.0f, ms", name, q)
		r.add(milliseconds(via-straight), "%s: added p%.0f, ms", name, q)
	}
	sent := float64(results[routed].Latency.TotalCount())
	r.add((after.entry.cpu-before.entry.cpu)/sent*1e6, "%s: processor time a request, us", name)
	return nil
}

// load sends n requests and fails on the first error in any answer.
func (r *run) load(ctx context.Context, rate float64, n, kinds int, kindOf func(int) int) ([]loadgen.Result, error) {
	results := loadgen.Run(ctx, loadgen.Options{
		Rate:     rate,
		Requests: n,
		Seed:     r.Seed,
		Kinds:    kinds,
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

// streams reads n streams at once.
func (r *run) streams(ctx context.Context, n int) error {
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
	took := time.Since(started).Seconds()
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
	r.add(tokens/took, "%d streams: tokens a second", n)
	r.add((after.entry.cpu-before.entry.cpu)/tokens*tokensUnit, "%d streams: processor time of %d tokens, s", n, tokensUnit)
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
