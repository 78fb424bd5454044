package placement

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// overhead is the least part of the time to the first event that doesn't depend on
	// the prompt: a round trip and a step of the engine's batch.
	overhead = 20 * time.Millisecond
	// timingsHalfLife halves the weight of an answer: a pace follows within half a
	// minute when engines become slower or faster.
	timingsHalfLife = 8 * time.Second
	// firstRate is taken before the first answers, a token.
	firstRate = 50 * time.Microsecond
)

// Rates learns how long models take to read, from this host's answers and from what the
// others tell of theirs. It is safe for concurrent use.
type Rates struct {
	mu     sync.Mutex
	own    map[string]Timings
	others map[string]Timings
	prices map[string]float64
	// paces are those that the timings tell, by model.
	paces map[string]pace
	// decayedAt is when the own timings were last weighted down.
	decayedAt time.Time
}

// NewRates returns rates that know nothing.
func NewRates() *Rates {
	return &Rates{
		own: make(map[string]Timings), others: make(map[string]Timings),
		prices: make(map[string]float64), paces: make(map[string]pace),
	}
}

// Price notes what operators pay for a model. Until the model has answered, prices stand
// for rates: without them a host that starts expects the largest model to read as fast as
// the smallest, which is ten times as fast, and gives its answers up.
func (r *Rates) Price(model string, price float64) {
	if price <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prices[model] = price
}

// Reading is the expected time to read tokens and begin the answer.
func (r *Rates) Reading(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(model).of(tokens)
}

// Work is the part of Reading in which the engine reads for this prompt alone.
func (r *Rates) Work(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(model).work(tokens)
}

// pace is the model's, or for a model that hardly answered yet what the others' paces and
// prices make likely.
func (r *Rates) pace(model string) pace {
	if known, ok := r.paces[model]; ok {
		return known
	}
	if len(r.paces) == 0 {
		return pace{start: overhead, token: float64(firstRate)}
	}
	var mean pace
	for name, known := range r.paces {
		ratio := 1.0
		if r.prices[model] > 0 && r.prices[name] > 0 {
			ratio = r.prices[model] / r.prices[name]
		}
		mean.start += known.start / time.Duration(len(r.paces))
		mean.token += known.token * ratio / float64(len(r.paces))
	}
	return mean
}

// Observe takes in the time to the first event of an answer that had little to wait for.
func (r *Rates) Observe(model string, tokens int, took time.Duration, now time.Time) {
	if took <= overhead {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	own := r.own[model]
	expected := time.Duration(0)
	if known, ok := r.paces[model]; ok {
		expected = known.of(tokens)
	}
	own.observe(tokens, took, expected)
	r.own[model] = own
	r.fit(model)
}

// decay weights the own timings down to the time. The lock is held.
func (r *Rates) decay(now time.Time) {
	part := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(timingsHalfLife))
	for model, t := range r.own {
		r.own[model] = t.scaled(part)
	}
	r.decayedAt = now
}

// fit takes the pace that the timings tell. The lock is held.
func (r *Rates) fit(model string) {
	all := r.own[model]
	all.Add(r.others[model])
	if p, ok := all.pace(); ok {
		r.paces[model] = p
	}
}

// Timings are what this host's own answers told, by model.
func (r *Rates) Timings(now time.Time) map[string]Timings {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return maps.Clone(r.own)
}

// TakeTimings takes what the other hosts' answers told of a model, in place of the last
// such word.
func (r *Rates) TakeTimings(model string, t Timings) {
	if !t.valid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[model] = t
	r.fit(model)
}
