package placement

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// overhead is the minimum time to the first event of any prompt: a round trip and one
	// batch step of the engine.
	overhead = 20 * time.Millisecond
	// timingsHalfLife is the half-life of an answer's weight in the timings. With it, estimates
	// follow a change of the engines' speed within half a minute.
	timingsHalfLife = 8 * time.Second
	// defaultTimePerToken is the prefill time per token assumed before the first answers.
	defaultTimePerToken = 50 * time.Microsecond
)

// PrefillEstimator estimates the prefill times of models from the answers that this host and
// its peers received, whose sums it holds by model. It is safe for concurrent use.
type PrefillEstimator struct {
	mu           sync.Mutex
	localTimings map[string]Timings
	peerTimings  map[string]Timings
	prices       map[string]float64
	// estimates holds the estimates derived from the timings, by model.
	estimates map[string]estimate
	// decayedAt is when the local timings were last decayed.
	decayedAt time.Time
}

// NewPrefillEstimator returns a PrefillEstimator without observations.
func NewPrefillEstimator() *PrefillEstimator {
	return &PrefillEstimator{
		localTimings: make(map[string]Timings), peerTimings: make(map[string]Timings),
		prices: make(map[string]float64), estimates: make(map[string]estimate),
	}
}

// SetPrice sets the price that operators pay for a model. Until there are enough answers of a
// model, its prefill time is estimated from those of other models in proportion to the prices.
// Without prices, a newly started host would expect the largest model to be as fast as the
// smallest, which is ten times as fast, and would stop waiting for its answers too early.
func (p *PrefillEstimator) SetPrice(model string, price float64) {
	if price <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prices[model] = price
}

// TimeToFirstEvent returns the expected time in which an engine without queued work prefills
// the tokens and sends the first event.
func (p *PrefillEstimator) TimeToFirstEvent(model string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(model).timeToFirstEvent(tokens)
}

// PrefillTime returns the portion of TimeToFirstEvent that depends on the number of tokens,
// during which the engine works on this prompt alone.
func (p *PrefillEstimator) PrefillTime(model string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(model).prefillTime(tokens)
}

// estimate returns the model's estimate. For a model with too few answers it returns the mean
// estimate of the other models, scaled by the ratio of the prices.
func (p *PrefillEstimator) estimate(model string) estimate {
	if e, ok := p.estimates[model]; ok {
		return e
	}
	if len(p.estimates) == 0 {
		return estimate{fixed: overhead, nanosPerToken: float64(defaultTimePerToken)}
	}
	var mean estimate
	for name, e := range p.estimates {
		ratio := 1.0
		if p.prices[model] > 0 && p.prices[name] > 0 {
			ratio = p.prices[model] / p.prices[name]
		}
		mean.fixed += e.fixed / time.Duration(len(p.estimates))
		mean.nanosPerToken += e.nanosPerToken * ratio / float64(len(p.estimates))
	}
	return mean
}

// Observe adds an answer whose prompt was hardly queued. tokens is the number of prefilled tokens,
// and took is the time to the first event.
func (p *PrefillEstimator) Observe(model string, tokens int, took time.Duration, now time.Time) {
	if took <= overhead {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	timings := p.localTimings[model]
	expected := time.Duration(0)
	if e, ok := p.estimates[model]; ok {
		expected = e.timeToFirstEvent(tokens)
	}
	timings.observe(tokens, took, expected)
	p.localTimings[model] = timings
	p.refit(model)
}

// decay decays the local timings up to now. The caller holds the lock.
func (p *PrefillEstimator) decay(now time.Time) {
	weight := math.Exp2(-float64(now.Sub(p.decayedAt)) / float64(timingsHalfLife))
	for model, t := range p.localTimings {
		p.localTimings[model] = t.scaled(weight)
	}
	p.decayedAt = now
}

// refit updates the model's estimate from the timings. The caller holds the lock.
func (p *PrefillEstimator) refit(model string) {
	sums := p.localTimings[model]
	sums.Add(p.peerTimings[model])
	if fitted, ok := sums.estimate(); ok {
		p.estimates[model] = fitted
	}
}

// Timings returns the sums over this host's own answers, decayed to now, by model.
func (p *PrefillEstimator) Timings(now time.Time) map[string]Timings {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return maps.Clone(p.localTimings)
}

// SetPeerTimings replaces the sums over the peers' answers of a model. It ignores invalid sums.
func (p *PrefillEstimator) SetPeerTimings(model string, t Timings) {
	if !t.valid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerTimings[model] = t
	p.refit(model)
}
