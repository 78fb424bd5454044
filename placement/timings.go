package placement

import (
	"math"
	"time"
)

// estimate is a linear model of the time to the first event on an engine without queued
// prompts. The fixed time is the part that doesn't depend on the size of the prompt; during it
// the engine continues the other requests of its batch.
type estimate struct {
	fixed         time.Duration
	nanosPerToken float64 // prefill time per token, in nanoseconds
}

func (e estimate) timeToFirstEvent(tokens int) time.Duration { return e.fixed + e.prefillTime(tokens) }

// maxPrefillTime bounds expected prefill times, so that sums and costs of them don't overflow. No
// engine prefills for an hour.
const maxPrefillTime = time.Hour

func (e estimate) prefillTime(tokens int) time.Duration {
	return time.Duration(min(e.nanosPerToken*float64(tokens), float64(maxPrefillTime)))
}

// Timings holds the sums, over the answers of one model, of a weighted linear regression of the
// time to the first event, in milliseconds, on the prefilled tokens, in thousands. The sums of
// several hosts can be added, which is necessary because one host receives too few answers for
// a good estimate: each of 195 hosts received about one answer of the largest model per second.
// From these alone, a host overestimated the time for prompts of 16,000 tokens by half a second,
// so that one caller in five got the poor answer of the smaller model.
type Timings struct {
	// Answers is the number of answers, decayed by age.
	Answers float64
	// Weight, Tokens, Squares, Times and Products are the sums, weighted by sizeWeight and
	// decayed by age, of 1, the tokens, their squares, the times, and the products of tokens
	// and time.
	Weight, Tokens, Squares, Times, Products float64
}

const (
	// maxSlowdown is the upper limit of an observed time, in multiples of the expected time. The
	// expected time doesn't include unknown queueing, which may for example triple the time of one
	// answer in ten. The limit keeps such queueing from changing the estimate much, but a lasting
	// slowdown of the engines still changes it. The expected time divided by maxSpeedup is the
	// lower limit: shorter times occur if the engine had cached parts that it was expected to
	// prefill.
	maxSlowdown = 1.6
	maxSpeedup  = 4
	// weightWithoutEstimate is the weight of an answer that arrives before there is an
	// estimate, because its time can't be limited. Other answers have the weight 1.
	weightWithoutEstimate = 0.2
)

// observe adds an answer to a prompt of which the engine prefilled the given tokens. took is
// the time to the first event; expected is the estimate of it, or 0 without an estimate.
func (t *Timings) observe(tokens int, took, expected time.Duration) {
	weight := weightWithoutEstimate
	if expected > 0 {
		maxTook := time.Duration(maxSlowdown * float64(expected))
		took, weight = min(max(took, expected/maxSpeedup), maxTook), 1
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
func sizeWeight(kilotokens float64) float64 {
	return 1 / ((kilotokens + breakEvenKilotokens) * (kilotokens + breakEvenKilotokens))
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
	// minAnswers is the minimum of Timings.Answers for an estimate. Three answers without an
	// expected time suffice. With fewer, a single long wait would determine the estimate.
	minAnswers = 2.5 * weightWithoutEstimate
	// minTokenVariance is the minimum variance of the prompt sizes, relative to their mean
	// square, at which the fixed time and the time per token can be separated.
	minTokenVariance = 0.05
)

// estimate returns the least-squares estimate; ok is false if there are too few answers.
func (t *Timings) estimate() (e estimate, ok bool) {
	if t.Answers < minAnswers || t.Weight <= 0 || t.Squares <= 0 {
		return estimate{}, false
	}
	const toNanosPerToken = float64(time.Millisecond) / 1000
	variance := t.Squares*t.Weight - t.Tokens*t.Tokens
	if variance > minTokenVariance*t.Squares*t.Weight {
		fixedMs := (t.Times*t.Squares - t.Tokens*t.Products) / variance
		msPerKilotoken := (t.Weight*t.Products - t.Tokens*t.Times) / variance
		if fixedMs >= milliseconds(overhead) && msPerKilotoken > 0 {
			return estimate{fixed: time.Duration(fixedMs * float64(time.Millisecond)), nanosPerToken: msPerKilotoken * toNanosPerToken}, true
		}
	}
	// The prompt sizes are too similar, or the fit isn't plausible, so the fixed time is set
	// to the overhead and the rest is attributed to the tokens.
	msPerKilotoken := max(0, (t.Products-milliseconds(overhead)*t.Tokens)/t.Squares)
	return estimate{fixed: overhead, nanosPerToken: max(minNanosPerToken, msPerKilotoken*toNanosPerToken)}, true
}

// minNanosPerToken is the lower limit of estimate.nanosPerToken if the prompt sizes are too
// similar to fit it: a microsecond per thousand tokens.
const minNanosPerToken = 1

// valid reports whether all sums are finite and not negative, as sums over answers are. Sums
// received from other hosts may be corrupt.
func (t *Timings) valid() bool {
	for _, v := range []float64{t.Answers, t.Weight, t.Tokens, t.Squares, t.Times, t.Products} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
