package placement

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// overhead is the lower limit of the time to the first event that doesn't depend on the
	// prompt: a round trip and one batch step of the engine.
	overhead = 20 * time.Millisecond
	// timingsHalfLife is the half-life of an answer's weight. Estimates follow a change of the
	// engines' speed within half a minute.
	timingsHalfLife = 8 * time.Second
	// defaultTimePerToken is the prefill time per token assumed before the first answers.
	defaultTimePerToken = 50 * time.Microsecond
)

// PrefillEstimator estimates the prefill times of models from the answers that this host and its peers
// received. It is safe for concurrent use.
type PrefillEstimator struct {
	mu     sync.Mutex
	local  map[string]Timings
	peers  map[string]Timings
	prices map[string]float64
	// estimates holds the estimates derived from the timings, by model.
	estimates map[string]estimate
	// decayedAt is when the local timings were last decayed.
	decayedAt time.Time
}

// NewPrefillEstimator returns a PrefillEstimator without observations.
func NewPrefillEstimator() *PrefillEstimator {
	return &PrefillEstimator{
		local: make(map[string]Timings), peers: make(map[string]Timings),
		prices: make(map[string]float64), estimates: make(map[string]estimate),
	}
}

// SetPrice sets the price that operators pay for a model. Prices stand in for speeds until a
// model has answered: without them a newly started host expects the largest model to be as
// fast as the smallest, which is ten times as fast, and gives up on its answers.
func (r *PrefillEstimator) SetPrice(model string, price float64) {
	if price <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prices[model] = price
}

// TimeToFirstEvent returns the expected time to prefill the tokens and send the first event.
func (r *PrefillEstimator) TimeToFirstEvent(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimate(model).timeToFirstEvent(tokens)
}

// PrefillTime returns the portion of TimeToFirstEvent that depends on the number of tokens,
// during which the engine works on this prompt alone.
func (r *PrefillEstimator) PrefillTime(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimate(model).prefillTime(tokens)
}

// estimate returns the model's estimate. For a model with too few answers it returns the mean
// estimate of the other models, scaled by the ratio of the prices.
func (r *PrefillEstimator) estimate(model string) estimate {
	if e, ok := r.estimates[model]; ok {
		return e
	}
	if len(r.estimates) == 0 {
		return estimate{fixed: overhead, nanosPerToken: float64(defaultTimePerToken)}
	}
	var mean estimate
	for name, e := range r.estimates {
		ratio := 1.0
		if r.prices[model] > 0 && r.prices[name] > 0 {
			ratio = r.prices[model] / r.prices[name]
		}
		mean.fixed += e.fixed / time.Duration(len(r.estimates))
		mean.nanosPerToken += e.nanosPerToken * ratio / float64(len(r.estimates))
	}
	return mean
}

// Observe adds the time to the first event of an answer whose prompt was hardly queued.
func (r *PrefillEstimator) Observe(model string, tokens int, took time.Duration, now time.Time) {
	if took <= overhead {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	timings := r.local[model]
	expected := time.Duration(0)
	if e, ok := r.estimates[model]; ok {
		expected = e.timeToFirstEvent(tokens)
	}
	timings.observe(tokens, took, expected)
	r.local[model] = timings
	r.refit(model)
}

// decay decays the local timings up to now. The caller holds the lock.
func (r *PrefillEstimator) decay(now time.Time) {
	weight := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(timingsHalfLife))
	for model, t := range r.local {
		r.local[model] = t.scaled(weight)
	}
	r.decayedAt = now
}

// refit updates the model's estimate from the timings. The caller holds the lock.
func (r *PrefillEstimator) refit(model string) {
	all := r.local[model]
	all.Add(r.peers[model])
	if p, ok := all.estimate(); ok {
		r.estimates[model] = p
	}
}

// Timings returns the sums of this host's own answers, by model.
func (r *PrefillEstimator) Timings(now time.Time) map[string]Timings {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return maps.Clone(r.local)
}

// SetPeerTimings replaces the sums of the peers' answers for a model. It ignores invalid sums.
func (r *PrefillEstimator) SetPeerTimings(model string, t Timings) {
	if !t.valid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[model] = t
	r.refit(model)
}
