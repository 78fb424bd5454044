package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// overhead is the part of the time to the first event that doesn't depend on the
	// prompt: a round trip and a step of the engine's batch.
	overhead = 20 * time.Millisecond
	// rateGain is the greatest relative change of a rate by one observation. Engines of
	// one service differ in speed, and what one keeps is only presumed: the rate follows
	// the middle of the observations, not their mean.
	rateGain = 0.05
	// leastTokens is the least reading that tells a rate: below it the overhead is most
	// of the time.
	leastTokens = 400
	// firstRate is taken before the first observation.
	firstRate = 50 * time.Microsecond
)

// Rates learns how long models take to read a token. It is safe for concurrent use.
type Rates struct {
	mu     sync.Mutex
	models map[string]float64 // nanoseconds a token
	prices map[string]float64
}

// NewRates returns rates that know nothing.
func NewRates() *Rates {
	return &Rates{models: make(map[string]float64), prices: make(map[string]float64)}
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
	return overhead + time.Duration(r.rate(model)*float64(tokens))
}

// rate is the model's, or for a model that never answered what the others' rates and
// prices make likely.
func (r *Rates) rate(model string) float64 {
	if rate, ok := r.models[model]; ok {
		return rate
	}
	if len(r.models) == 0 {
		return float64(firstRate)
	}
	sum := 0.0
	for known, rate := range r.models {
		ratio := 1.0
		if r.prices[model] > 0 && r.prices[known] > 0 {
			ratio = r.prices[model] / r.prices[known]
		}
		sum += rate * ratio
	}
	return sum / float64(len(r.models))
}

// Observe takes in the time to the first event of an answer that had little to wait for.
func (r *Rates) Observe(model string, tokens int, took time.Duration) {
	if tokens < leastTokens || took <= overhead {
		return
	}
	seen := float64(took-overhead) / float64(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.models[model]
	if !ok {
		r.models[model] = seen
		return
	}
	step := max(-1, min(1, math.Log(seen/known)))
	r.models[model] = known * math.Exp(rateGain*step)
}
