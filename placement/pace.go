package placement

import (
	"math"
	"time"
)

// pace is what a model takes to the first event on an engine that has nothing else to
// read: a part that each prompt takes, in which the engine goes on with the other
// requests of its batch, and a part for each token.
type pace struct {
	start time.Duration
	token float64 // nanoseconds
}

func (p pace) of(tokens int) time.Duration { return p.start + p.work(tokens) }

func (p pace) work(tokens int) time.Duration { return time.Duration(p.token * float64(tokens)) }

// Timings are what a number of answers told of a model's pace: sums of a regression of
// the time to the first event, in milliseconds, on the tokens read, in thousands. They
// add up over hosts: each of 195 hosts sees about one answer of the largest model a
// second, and by these alone it expected prompts of 16,000 tokens to take half a second
// longer than they did, so that one in five of their callers got the smaller model's poor
// answer.
type Timings struct {
	// Answers is their number, older ones counting for less.
	Answers float64
	// The sums are of answers weighted by sizeWeight: of the weights, the tokens, their
	// squares, the times, and tokens times time.
	Weight, Tokens, Squares, Times, Products float64
}

const (
	// mostSlower bounds an answer's time by the expected one, as a factor: waits that
	// nobody knew of, three times the usual time for one answer in ten, hardly move the
	// pace, and engines that became slower do. mostFaster is the same downwards, where
	// the engine kept what it was believed to read.
	mostSlower = 1.6
	mostFaster = 4
	// unboundedPart is the weight of an answer of which nothing was expected.
	unboundedPart = 0.2
)

// observe takes in an answer that was expected to take a time; 0 if nothing was.
func (t *Timings) observe(tokens int, took, expected time.Duration) {
	part := unboundedPart
	if expected > 0 {
		most := time.Duration(mostSlower * float64(expected))
		took, part = min(max(took, expected/mostFaster), most), 1
	}
	n, ms := float64(tokens)/1000, milliseconds(took)
	w := sizeWeight(n)
	answer := Timings{Answers: 1, Weight: w, Tokens: w * n, Squares: w * n * n, Times: w * ms, Products: w * n * ms}
	t.Add(answer.scaled(part))
}

// evenTokens is the size, in thousands of tokens, of a prompt that takes as long to read
// as it takes beside that, by order of magnitude: 2,000 to 13,000 for the models seen.
const evenTokens = 4

// sizeWeight makes the errors of long prompts and of short ones count as parts of their
// times. It doesn't depend on what is known of a model: hosts that know different things
// add their sums.
func sizeWeight(thousands float64) float64 {
	return 1 / ((thousands + evenTokens) * (thousands + evenTokens))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Add adds other answers.
func (t *Timings) Add(o Timings) {
	t.Answers += o.Answers
	t.Weight += o.Weight
	t.Tokens += o.Tokens
	t.Squares += o.Squares
	t.Times += o.Times
	t.Products += o.Products
}

// scaled are the same answers, counting for a part.
func (t Timings) scaled(part float64) Timings {
	return Timings{
		Answers: part * t.Answers, Weight: part * t.Weight, Tokens: part * t.Tokens,
		Squares: part * t.Squares, Times: part * t.Times, Products: part * t.Products,
	}
}

const (
	// fewestAnswers tell a pace, by their weight: three of which nothing was expected.
	// With fewer, one long wait would stand for the model.
	fewestAnswers = 2.5 * unboundedPart
	// leastSpread is the variance of the tokens, as a part of their mean square, from
	// which both parts of a pace can be told apart.
	leastSpread = 0.05
)

// pace is the one that fits the answers best; ok is false if they are too few.
func (t *Timings) pace() (p pace, ok bool) {
	if t.Answers < fewestAnswers || t.Weight <= 0 || t.Squares <= 0 {
		return pace{}, false
	}
	const nanosecondsPerToken = float64(time.Millisecond) / 1000
	variance := t.Squares*t.Weight - t.Tokens*t.Tokens
	if variance > leastSpread*t.Squares*t.Weight {
		start := (t.Times*t.Squares - t.Tokens*t.Products) / variance
		token := (t.Weight*t.Products - t.Tokens*t.Times) / variance
		if start >= milliseconds(overhead) && token > 0 {
			return pace{start: time.Duration(start * float64(time.Millisecond)), token: token * nanosecondsPerToken}, true
		}
	}
	// The sizes are alike, or the fit is none: all but the overhead goes by the tokens.
	token := max(0, (t.Products-milliseconds(overhead)*t.Tokens)/t.Squares)
	return pace{start: overhead, token: max(leastToken, token*nanosecondsPerToken)}, true
}

// leastToken is the least time for a token that is believed, in nanoseconds: a thousand
// of them take a microsecond.
const leastToken = 1

// valid says whether the sums can be of answers: other hosts tell them.
func (t *Timings) valid() bool {
	for _, v := range []float64{t.Answers, t.Weight, t.Tokens, t.Squares, t.Times, t.Products} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
