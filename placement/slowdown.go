package placement

import (
	"math"
	"time"
)

const (
	// MinSlowdown and MaxSlowdown bound samples and factors. Engines of one service differ by less;
	// a wrong figure or one long unknown wait must not exclude an engine.
	MinSlowdown = 0.25
	MaxSlowdown = 4
	// slowdownHalfLife is the half-life of a sample's weight, and of the deviation of a factor
	// from 1 after the last sample.
	slowdownHalfLife = 8 * time.Second
	// fullSlowdownWeight is the weight from which on the samples determine the factor in full. The
	// deviation from 1 is reduced below it, since one sample may contain an unknown wait.
	fullSlowdownWeight = 2
	// AnswerWeight is the weight of a sample from the time to the first event of an answer. That time
	// contains waits for other hosts' prompts, so that one answer must not determine the factor.
	AnswerWeight = 0.25
	// StatedWeight is the weight of a slowdown that the engine states itself. It is exact, but applies
	// only to the moment of the answer.
	StatedWeight = 0.5
	// maxAnswerSlowdown bounds a sample from an answer, because a long wait isn't a slowdown.
	maxAnswerSlowdown = 2
)

// Slowdown holds the sums of the slowdown samples of one engine: how long its work took, as a
// multiple of the time at the mean engine of the service. The sums of several hosts can be added.
// The zero value is ready for use. It isn't safe for concurrent use.
type Slowdown struct {
	// Weight and Sum are the sums of the samples' weights and weighted values, decayed by age up
	// to NewestAt, which is when the newest sample was added.
	Weight, Sum float64
	NewestAt    time.Time
}

// Observe adds a sample. It ignores values and weights that aren't positive numbers, and bounds
// values by MinSlowdown and MaxSlowdown.
func (s *Slowdown) Observe(value, weight float64, now time.Time) {
	if !(value > 0) || !(weight > 0) || math.IsInf(weight, 1) {
		return
	}
	s.Add(Slowdown{Weight: weight, Sum: weight * min(MaxSlowdown, max(MinSlowdown, value)), NewestAt: now})
}

// Add adds the samples of o.
func (s *Slowdown) Add(o Slowdown) {
	if s.NewestAt.Before(o.NewestAt) {
		*s = s.At(o.NewestAt)
	} else {
		o = o.At(s.NewestAt)
	}
	s.Weight += o.Weight
	s.Sum += o.Sum
}

// At returns the sums decayed to a later time.
func (s Slowdown) At(now time.Time) Slowdown {
	decay := decayFactor(now.Sub(s.NewestAt), slowdownHalfLife)
	return Slowdown{Weight: decay * s.Weight, Sum: decay * s.Sum, NewestAt: now}
}

// Factor returns the slowdown factor, or 0 if there are no samples.
func (s Slowdown) Factor(now time.Time) float64 {
	if !(s.Weight > 0) {
		return 0
	}
	deviation := (s.Sum/s.Weight - 1) * min(1, s.Weight/fullSlowdownWeight)
	return BoundSlowdown(1 + deviation*decayFactor(now.Sub(s.NewestAt), slowdownHalfLife))
}

func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// BoundSlowdown returns the factor within its bounds, and 1 for an unknown or invalid one.
func BoundSlowdown(factor float64) float64 {
	if !(factor > 0) {
		return 1
	}
	return min(MaxSlowdown, max(MinSlowdown, factor))
}

// scale returns the time that work takes at an engine with the factor.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(factor * float64(d))
}

// SlowdownSample returns the time to the first event, at an engine where the prompt had hardly
// to wait, as a multiple of the expected time; ok is false without an estimate for the model.
func (p *PrefillEstimator) SlowdownSample(model string, tokens int, took time.Duration) (value float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.estimates[model]
	if !ok || took <= overhead {
		return 0, false
	}
	return min(maxAnswerSlowdown, float64(took)/float64(e.timeToFirstEvent(tokens))), true
}
