package cascade

import (
	"fmt"
	"math/rand/v2"
	"time"

	policy "github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/manifest"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// Parameters of the requests.
const (
	requestCount     = 20_000
	warmUp           = 2_000 // first requests, not counted
	accountCount     = 10
	meanInterval     = 50 * time.Millisecond // between arrivals
	target           = 0.75
	raterTimeout     = 1500 * time.Millisecond
	completionTokens = 250 // per answer
)

// prices are the costs of 1,000 tokens at each step of the cascade. latencies are
// the median times from the start of each step to its complete answer.
var (
	prices    = []float64{1, 10}
	latencies = []time.Duration{1200 * time.Millisecond, 3 * time.Second}
)

const latencySigma = 0.4

// class is a priority class with its deadline and the distribution of its
// prompt lengths.
type class struct {
	name         string
	deadline     time.Duration
	medianPrompt int     // in tokens
	promptSigma  float64 // standard deviation of the logarithm of the length
}

var classes = []class{
	{"sheets", 60 * time.Second, 12_000, 0.6},
	{"questions", 12 * time.Second, 1_500, 0.6},
	{"narration", 5 * time.Second, 400, 0.4},
}

// rater describes the behaviour of the rating service.
type rater struct {
	latency time.Duration // median
	down    bool
	bias    float64
}

const (
	raterSigma = 0.5
	raterNoise = 0.05
)

// setting holds the parameters of one table.
type setting struct {
	rater     rater
	onFailure manifest.OnRaterFailure
	// degradesAfter is the fraction of the run after which the quality of the
	// cheap model's answers drops by degradation; 0 means never.
	degradesAfter float64
	// raterFailsAfter is the fraction of the run after which the rater is down;
	// 0 means never.
	raterFailsAfter float64
}

const degradation = 0.3

// request is one request with the quality and latency that each step would give
// it, which strategies don't see in advance.
type request struct {
	account      string
	class        class
	promptTokens int
	// quality and latency of the answer of each step.
	quality []float64
	latency []time.Duration
}

// drawRequest draws a request. Accounts differ in difficulty, and those with
// odd numbers have a higher one for long prompts.
func drawRequest(rnd *rand.Rand, s setting, progress float64) request {
	accountNumber := rnd.IntN(accountCount)
	c := classes[rnd.IntN(len(classes))]
	req := request{account: fmt.Sprint("account-", accountNumber), class: c}
	req.promptTokens = int(simulate.LogNormal(rnd, time.Duration(c.medianPrompt), c.promptSigma))
	difficulty := 0.45*float64(accountNumber)/accountCount + 0.2*rnd.Float64()
	if accountNumber%2 == 1 && req.promptTokens > 4*c.medianPrompt/3 {
		difficulty += 0.25
	}
	cheap := 1 - difficulty + 0.08*rnd.NormFloat64()
	if s.degradesAfter > 0 && progress > s.degradesAfter {
		cheap -= degradation
	}
	best := 0.95 - 0.2*difficulty + 0.05*rnd.NormFloat64()
	req.quality = []float64{clamp(cheap), clamp(best)}
	for _, median := range latencies {
		req.latency = append(req.latency, simulate.LogNormal(rnd, median, latencySigma))
	}
	return req
}

func clamp(x float64) float64 { return min(1, max(0, x)) }

func (req request) cost(step int) float64 {
	return prices[step] * float64(req.promptTokens+completionTokens) / 1000
}

// servedResult holds the cost, latency, quality and number of ratings of a
// served request.
type servedResult struct {
	cost    float64
	took    time.Duration
	quality float64
	ratings int
}

// strategy decides at which step a request starts, and may learn from answers.
type strategy interface {
	plan(req request) (start int, timeout time.Duration)
	answered(req request, step int, escalated bool, rating float64)
	ratingDone(took time.Duration, ok bool)
	// ratesAnswers reports whether answers of steps before the last are rated.
	ratesAnswers() bool
}

// serve simulates one request.
func serve(rnd *rand.Rand, s setting, strat strategy, req request) servedResult {
	start, timeout := strat.plan(req)
	var result servedResult
	for step := start; ; step++ {
		result.cost += req.cost(step)
		result.took += req.latency[step]
		result.quality = req.quality[step]
		if step == len(prices)-1 || !strat.ratesAnswers() {
			strat.answered(req, step, step > start, policy.Unrated)
			return result
		}
		rating, took, ok := s.rate(rnd, req.quality[step], timeout)
		result.ratings++
		result.took += took
		strat.ratingDone(took, ok)
		if !ok {
			rating = policy.Unrated
		}
		strat.answered(req, step, step > start, rating)
		if s.accepts(rating, ok) {
			return result
		}
	}
}

func (s setting) accepts(rating float64, ok bool) bool {
	if !ok {
		return s.onFailure == manifest.Accept
	}
	return policy.IsAccepted(rating, target)
}

// rate simulates a rating and returns it with its latency. It returns false
// after the timeout if the rater is down or too slow.
func (s setting) rate(rnd *rand.Rand, quality float64, timeout time.Duration) (float64, time.Duration, bool) {
	rating := clamp(quality + s.rater.bias + raterNoise*rnd.NormFloat64())
	took := simulate.LogNormal(rnd, s.rater.latency, raterSigma)
	if s.rater.down || took > timeout {
		return 0, timeout, false
	}
	return rating, took, true
}

// result holds the results of one run; run sums in the same fields first.
type result struct {
	cost     float64 // mean per request
	atTarget float64 // fraction of answers whose true quality reaches the target
	quality  float64 // mean true quality
	latency  float64 // mean until the complete answer, in seconds
	late     float64 // fraction answered after the deadline
	ratings  float64 // mean per request
}

func run(s setting, build func(s setting, clock func() time.Time, seed int) strategy, seed int) result {
	now := simulate.Epoch
	strat := build(s, func() time.Time { return now }, seed)
	// The requests have their own random source, so that every strategy gets
	// the same ones.
	rnd, raterRnd := simulate.NewRand(seed), rand.New(rand.NewPCG(uint64(seed), 1))
	var sum result
	for i := range requestCount {
		now = now.Add(simulate.Exponential(rnd, meanInterval))
		progress := float64(i) / requestCount
		req := drawRequest(rnd, s, progress)
		got := serve(raterRnd, s.at(progress), strat, req)
		if i >= warmUp {
			sum.add(req, got)
		}
	}
	return sum.mean(requestCount - warmUp)
}

// at returns the setting at progress, a fraction of the run.
func (s setting) at(progress float64) setting {
	if s.raterFailsAfter > 0 && progress > s.raterFailsAfter {
		s.rater.down = true
	}
	return s
}

func (r *result) add(req request, got servedResult) {
	r.cost += got.cost
	r.quality += got.quality
	r.latency += got.took.Seconds()
	r.ratings += float64(got.ratings)
	if got.quality >= target {
		r.atTarget++
	}
	if got.took > req.class.deadline {
		r.late++
	}
}

func (r result) mean(n float64) result {
	return result{r.cost / n, r.atTarget / n, r.quality / n, r.latency / n, r.late / n, r.ratings / n}
}
