package placement

import (
	"math"
	"time"
)

// estimate is a linear model of the time to the first event on an engine without queued
// prompts. The fixed time is the time per prompt that doesn't depend on its size, in which the
// engine continues the other requests of its batch.
type estimate struct {
	fixed         time.Duration
	nanosPerToken float64 // prefill time per token, in nanoseconds
}

func (p estimate) timeToFirstEvent(tokens int) time.Duration { return p.fixed + p.prefillTime(tokens) }

func (p estimate) prefillTime(tokens int) time.Duration {
	return time.Duration(p.nanosPerToken * float64(tokens))
}

// Timings holds the sums of a weighted linear regression of a model's time to the first
// event, in milliseconds, on the prefilled tokens, in thousands. Sums of several hosts can be
// added. The sums of one host are too few for a good estimate: each of 195 hosts received
// about one answer of the largest model per second and, from these alone, overestimated
// prompts of 16,000 tokens by half a second, so that one in five of the callers got the poor
// answer of the smaller model.
type Timings struct {
	// Answers is the number of answers, decayed by age.
	Answers float64
	// Weight, Tokens, Squares, Times and Products are the sums, weighted by sizeWeight, of 1,
	// the tokens, their squares, the times, and the products of tokens and time.
	Weight, Tokens, Squares, Times, Products float64
}

const (
	// maxSlowdown limits the observed time to a multiple of the expected time. Unknown
	// queueing, for example three times the usual time for one answer in ten, then hardly
	// changes the estimate, while a lasting slowdown of the engines does. maxSpeedup is the
	// divisor of the expected time that gives the lower limit: shorter times occur if the
	// engine had cached parts that it was expected to prefill.
	maxSlowdown = 1.6
	maxSpeedup  = 4
	// unboundedWeight is the weight of an answer without an expected time, whose time can't
	// be limited.
	unboundedWeight = 0.2
)

// observe adds an answer; expected is the estimated time to its first event, or 0 without an
// estimate.
func (t *Timings) observe(tokens int, took, expected time.Duration) {
	weight := unboundedWeight
	if expected > 0 {
		longest := time.Duration(maxSlowdown * float64(expected))
		took, weight = min(max(took, expected/maxSpeedup), longest), 1
	}
	kilotokens, ms := float64(tokens)/1000, milliseconds(took)
	w := sizeWeight(kilotokens)
	sample := Timings{Answers: 1, Weight: w, Tokens: w * kilotokens, Squares: w * kilotokens * kilotokens, Times: w * ms, Products: w * kilotokens * ms}
	t.Add(sample.scaled(weight))
}

// breakEvenKilotokens is the order of magnitude, in thousands of tokens, of the prompt size
// at which the prefill takes as long as the fixed time. It was 2,000 to 13,000 tokens for the
// models observed.
const breakEvenKilotokens = 4

// sizeWeight returns the regression weight of a prompt, so that errors of long and short
// prompts count relative to their times. It doesn't depend on the model's estimate, because
// the sums of hosts with different estimates are added.
func sizeWeight(thousands float64) float64 {
	return 1 / ((thousands + breakEvenKilotokens) * (thousands + breakEvenKilotokens))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Add adds the sums of o.
func (t *Timings) Add(o Timings) {
	t.Answers += o.Answers
	t.Weight += o.Weight
	t.Tokens += o.Tokens
	t.Squares += o.Squares
	t.Times += o.Times
	t.Products += o.Products
}

// scaled returns the sums multiplied by weight.
func (t Timings) scaled(weight float64) Timings {
	return Timings{
		Answers: weight * t.Answers, Weight: weight * t.Weight, Tokens: weight * t.Tokens,
		Squares: weight * t.Squares, Times: weight * t.Times, Products: weight * t.Products,
	}
}

const (
	// minAnswers is the least value of Timings.Answers for an estimate: three answers without
	// an expected time suffice. With fewer, a single long wait would determine the estimate.
	minAnswers = 2.5 * unboundedWeight
	// minTokenVariance is the least variance of the prompt sizes, relative to their mean
	// square, at which the fixed time and the time per token can be separated.
	minTokenVariance = 0.05
)

// estimate returns the least-squares estimate; ok is false with too few answers.
func (t *Timings) estimate() (p estimate, ok bool) {
	if t.Answers < minAnswers || t.Weight <= 0 || t.Squares <= 0 {
		return estimate{}, false
	}
	const nanosecondsPerToken = float64(time.Millisecond) / 1000
	variance := t.Squares*t.Weight - t.Tokens*t.Tokens
	if variance > minTokenVariance*t.Squares*t.Weight {
		fixed := (t.Times*t.Squares - t.Tokens*t.Products) / variance
		perToken := (t.Weight*t.Products - t.Tokens*t.Times) / variance
		if fixed >= milliseconds(overhead) && perToken > 0 {
			return estimate{fixed: time.Duration(fixed * float64(time.Millisecond)), nanosPerToken: perToken * nanosecondsPerToken}, true
		}
	}
	// The prompt sizes are too similar, or the fit isn't plausible: the fixed time is set to
	// the overhead and the rest is attributed to the tokens.
	perToken := max(0, (t.Products-milliseconds(overhead)*t.Tokens)/t.Squares)
	return estimate{fixed: overhead, nanosPerToken: max(minNanosPerToken, perToken*nanosecondsPerToken)}, true
}

// minNanosPerToken is the lower limit of an estimate: a microsecond per thousand tokens.
const minNanosPerToken = 1

// valid reports whether the sums can result from answers. It guards against damaged sums
// received from other hosts.
func (t *Timings) valid() bool {
	for _, v := range []float64{t.Answers, t.Weight, t.Tokens, t.Squares, t.Times, t.Products} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
