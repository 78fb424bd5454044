package cascade

import (
	"fmt"
	"math/rand/v2"
	"time"

	policy "github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/manifest"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// The requests.
const (
	requests     = 20_000
	warmUp       = 2_000 // not counted
	accounts     = 10
	arrival      = 50 * time.Millisecond // mean gap
	target       = 0.75
	raterTimeout = 1500 * time.Millisecond
	completion   = 250 // tokens
)

// Cost of 1,000 tokens of the steps, and their median times to the whole
// answer.
var (
	prices    = []float64{1, 10}
	latencies = []time.Duration{1200 * time.Millisecond, 3 * time.Second}
)

const latencySigma = 0.4

// class is a priority class with its deadline and prompts.
type class struct {
	name     string
	deadline time.Duration
	prompt   int     // median tokens
	sigma    float64 // of the prompt's logarithm
}

var classes = []class{
	{"sheets", 60 * time.Second, 12_000, 0.6},
	{"questions", 12 * time.Second, 1_500, 0.6},
	{"narration", 5 * time.Second, 400, 0.4},
}

// rater is how the rating service behaves.
type rater struct {
	latency time.Duration // median
	down    bool
	bias    float64
}

const (
	raterSigma = 0.5
	raterNoise = 0.05
)

// setting is one cell of the measurement.
type setting struct {
	rater     rater
	onFailure manifest.OnRaterFailure
	// worseAfter is the part of the run after which the cheap model's answers
	// lose worseBy; 0 means never.
	worseAfter float64
	// raterDownAfter is the part of the run after which the rater is down; 0
	// means never.
	raterDownAfter float64
}

const worseBy = 0.3

// job is one request with what only the experiment knows.
type job struct {
	account string
	class   class
	prompt  int
	// quality and latency of each step's answer.
	quality []float64
	latency []time.Duration
}

// draw makes a request. Accounts differ in difficulty, and for odd ones long
// prompts are harder.
func draw(rnd *rand.Rand, s setting, progress float64) job {
	number := rnd.IntN(accounts)
	c := classes[rnd.IntN(len(classes))]
	j := job{account: fmt.Sprint("account-", number), class: c}
	j.prompt = int(simulate.LogNormal(rnd, time.Duration(c.prompt), c.sigma))
	difficulty := 0.45*float64(number)/accounts + 0.2*rnd.Float64()
	if number%2 == 1 && j.prompt > 4*c.prompt/3 {
		difficulty += 0.25
	}
	cheap := 1 - difficulty + 0.08*rnd.NormFloat64()
	if s.worseAfter > 0 && progress > s.worseAfter {
		cheap -= worseBy
	}
	best := 0.95 - 0.2*difficulty + 0.05*rnd.NormFloat64()
	j.quality = []float64{clamp(cheap), clamp(best)}
	for _, median := range latencies {
		j.latency = append(j.latency, simulate.LogNormal(rnd, median, latencySigma))
	}
	return j
}

func clamp(x float64) float64 { return min(1, max(0, x)) }

func (j job) cost(step int) float64 {
	return prices[step] * float64(j.prompt+completion) / 1000
}

// served is what a request got.
type served struct {
	cost    float64
	took    time.Duration
	quality float64
	ratings int
}

// way decides where to start, and learns.
type way interface {
	plan(j job) (start int, timeout time.Duration)
	answered(j job, step int, escalated bool, rating float64)
	rated(took time.Duration, ok bool)
	// rates says whether cheap answers are rated at all.
	rates() bool
}

// serve runs one request.
func serve(rnd *rand.Rand, s setting, w way, j job) served {
	start, timeout := w.plan(j)
	var result served
	for step := start; ; step++ {
		result.cost += j.cost(step)
		result.took += j.latency[step]
		result.quality = j.quality[step]
		if step == len(prices)-1 || !w.rates() {
			w.answered(j, step, step > start, policy.Unrated)
			return result
		}
		rating, took, ok := s.rate(rnd, j.quality[step], timeout)
		result.ratings++
		result.took += took
		w.rated(took, ok)
		if !ok {
			rating = policy.Unrated
		}
		w.answered(j, step, step > start, rating)
		if s.taken(rating, ok) {
			return result
		}
	}
}

func (s setting) taken(rating float64, ok bool) bool {
	if !ok {
		return s.onFailure == manifest.Accept
	}
	return policy.Accept(rating, target)
}

// rate asks the rater and waits no longer than the timeout.
func (s setting) rate(rnd *rand.Rand, quality float64, timeout time.Duration) (float64, time.Duration, bool) {
	rating := clamp(quality + s.rater.bias + raterNoise*rnd.NormFloat64())
	took := simulate.LogNormal(rnd, s.rater.latency, raterSigma)
	if s.rater.down || took > timeout {
		return 0, timeout, false
	}
	return rating, took, true
}

// result is what one run showed.
type result struct {
	cost    float64 // mean a request
	target  float64 // share of answers that truly reach the target
	quality float64 // mean
	seconds float64 // mean until the whole answer
	late    float64 // share after the deadline
	ratings float64 // mean a request
}

func run(s setting, build func(s setting, clock func() time.Time, seed int) way, seed int) result {
	now := simulate.Epoch
	w := build(s, func() time.Time { return now }, seed)
	// The requests have a source of their own, so that every way gets the same.
	rnd, raterRnd := simulate.NewRand(seed), rand.New(rand.NewPCG(uint64(seed), 1))
	var sum result
	for i := range requests {
		now = now.Add(simulate.Exponential(rnd, arrival))
		progress := float64(i) / requests
		j := draw(rnd, s, progress)
		got := serve(raterRnd, s.at(progress), w, j)
		if i >= warmUp {
			sum.add(j, got)
		}
	}
	return sum.mean(requests - warmUp)
}

// at returns the setting as it is at a part of the run.
func (s setting) at(progress float64) setting {
	if s.raterDownAfter > 0 && progress > s.raterDownAfter {
		s.rater.down = true
	}
	return s
}

func (r *result) add(j job, got served) {
	r.cost += got.cost
	r.quality += got.quality
	r.seconds += got.took.Seconds()
	r.ratings += float64(got.ratings)
	if got.quality >= target {
		r.target++
	}
	if got.took > j.class.deadline {
		r.late++
	}
}

func (r result) mean(n float64) result {
	return result{r.cost / n, r.target / n, r.quality / n, r.seconds / n, r.late / n, r.ratings / n}
}
