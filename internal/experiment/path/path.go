// Package path measures what an entry host adds to a request: latency against
// the same request sent straight to the engine, in one run with mixed arrivals,
// and the host's processor time and allocations.
package path

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Options say what is measured.
type Options struct {
	// Entry, Operators and Engine are IP and port of the entry host's callers'
	// and operators' addresses, and of one engine.
	Entry     string
	Operators string
	Engine    string
	// Key is the account key.
	Key string
	// Model is the route at the entry host, Version the "model@version" that
	// the engine is asked for.
	Model   string
	Version string
	// Rate is the arrivals a second, Requests their number, Seed their seed.
	Rate     float64
	Requests int
	Seed     uint64
	// Streams is the number of concurrent streams, Tokens the length of each.
	Streams int
	Tokens  int
}

// The kinds of requests that are mixed.
const (
	direct = iota
	routed
	kinds
)

// endMark is the end of a whole stream.
var endMark = []byte("data: [DONE]")

type run struct {
	Options
	client *http.Client
	out    io.Writer
}

// Run measures and prints to w.
func Run(ctx context.Context, w io.Writer, options Options) error {
	r := &run{
		Options: options,
		out:     w,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}},
	}
	if err := r.latency(ctx); err != nil {
		return err
	}
	if err := r.cost(ctx); err != nil {
		return err
	}
	if err := r.streams(ctx, 1); err != nil {
		return err
	}
	return r.streams(ctx, options.Streams)
}

// latency mixes routed and direct requests.
func (r *run) latency(ctx context.Context) error {
	results := loadgen.Run(ctx, loadgen.Options{
		Rate:     r.Rate,
		Requests: r.Requests,
		Seed:     r.Seed,
		Kinds:    kinds,
		Send: func(ctx context.Context, i, kind int) error {
			return r.send(ctx, kind, fmt.Sprintf("latency %d tokens=1", i))
		},
	})
	for kind, res := range results {
		if res.Errors > 0 {
			return fmt.Errorf("kind %d: %d errors, first: %w", kind, res.Errors, res.FirstError)
		}
	}
	fmt.Fprintf(r.out, "%d requests, %.0f a second, half of them routed\n", r.Requests, r.Rate)
	for _, q := range []float64{50, 95, 99} {
		straight, via := results[direct].Quantile(q), results[routed].Quantile(q)
		fmt.Fprintf(r.out, "p%.0f: direct %v, routed %v, added %v\n", q, straight, via, via-straight)
	}
	return nil
}

// cost counts what routed requests alone take of the host.
func (r *run) cost(ctx context.Context) error {
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	results := loadgen.Run(ctx, loadgen.Options{
		Rate:     r.Rate,
		Requests: r.Requests,
		Seed:     r.Seed + 1,
		Send: func(ctx context.Context, i, _ int) error {
			return r.send(ctx, routed, fmt.Sprintf("cost %d tokens=1", i))
		},
	})
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	if results[0].Errors > 0 {
		return results[0].FirstError
	}
	n := float64(r.Requests)
	cpu := (after.cpu - before.cpu) / n
	fmt.Fprintf(r.out, "a routed request: %.0f us of processor time (%.0f a second on a core), %.0f allocations\n",
		cpu*1e6, 1/cpu, (after.mallocs-before.mallocs)/n)
	return nil
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
	const unit = 10_000
	fmt.Fprintf(r.out, "%d streams: %.0f tokens a second; %d tokens cost %.2f s of processor time\n",
		n, tokens/took, unit, (after.cpu-before.cpu)/tokens*unit)
	return nil
}

// send sends one streamed request and reads it to its end mark.
func (r *run) send(ctx context.Context, kind int, prompt string) error {
	address, model := r.Entry, r.Model
	if kind == direct {
		address, model = r.Engine, r.Version
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set(upstream.HeaderRequestID, prompt)
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readToEnd(resp)
}

func readToEnd(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	ended := false
	for lines.Scan() {
		if bytes.Equal(lines.Bytes(), endMark) {
			ended = true
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !ended {
		return fmt.Errorf("%s: the answer has no end mark", resp.Status)
	}
	return nil
}

// usage is what the entry host has taken since its start.
type usage struct {
	cpu     float64 // seconds
	mallocs float64
}

func (r *run) usage(ctx context.Context) (usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Operators+"/metrics", nil)
	if err != nil {
		return usage{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	var u usage
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			u.cpu = n
		case "go_memstats_mallocs_total":
			u.mallocs = n
		}
	}
	return u, lines.Err()
}
