package rollout

import (
	"math/rand/v2"
	"time"

	exposure "github.com/quetzalweir/quetzalweir/rollout"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// The limits that the version must keep.
const (
	maxErrorRate = 0.02
	minRating    = 0.7
	maxLatency   = time.Second
	budget       = 2000
)

// The traffic of the model on all hosts, of which a share would go to the
// version.
const (
	requestsPerSecond = 40.0
	versionShare      = 0.25
	horizon           = 10 * time.Minute
	answerMedian      = 3 * time.Second
	answerSigma       = 0.5
	errorDelay        = 300 * time.Millisecond
)

// behaviour is how a version answers.
type behaviour struct {
	name       string
	errorRate  float64
	firstToken time.Duration // median
	sigma      float64       // of the first token's logarithm
	rating     float64       // mean
	// badAfter is when the behaviour begins; before, the version is good.
	badAfter time.Duration
}

var goodVersion = behaviour{name: "good", errorRate: 0.003, firstToken: 300 * time.Millisecond, sigma: 0.5, rating: 0.82}

// badVersions are the kinds of faults that are measured.
var badVersions = []behaviour{
	{name: "all fail", errorRate: 1, firstToken: 300 * time.Millisecond, sigma: 0.5, rating: 0.82},
	{name: "10% fail", errorRate: 0.1, firstToken: 300 * time.Millisecond, sigma: 0.5, rating: 0.82},
	{name: "slow", errorRate: 0.003, firstToken: 800 * time.Millisecond, sigma: 0.5, rating: 0.82},
	{name: "plausible, poorly rated", errorRate: 0.003, firstToken: 300 * time.Millisecond, sigma: 0.5, rating: 0.5},
}

// ratingDeviation is the standard deviation of an answer's rating.
const ratingDeviation = 0.15

func (b behaviour) draw(rnd *rand.Rand) (outcome exposure.Outcome, rating float64, length time.Duration) {
	if rnd.Float64() < b.errorRate {
		return exposure.Outcome{Failed: true}, 0, errorDelay
	}
	outcome.FirstToken = simulate.LogNormal(rnd, b.firstToken, b.sigma)
	rating = min(1, max(0, b.rating+ratingDeviation*rnd.NormFloat64()))
	return outcome, rating, outcome.FirstToken + simulate.LogNormal(rnd, answerMedian, answerSigma)
}

// isBad says whether an auditor would count the answer against the version.
func isBad(outcome exposure.Outcome, rating float64) bool {
	return outcome.Failed || outcome.FirstToken > maxLatency || rating < minRating
}

// setting is one cell of the measurement.
type setting struct {
	version  behaviour
	hosts    int
	exchange time.Duration
	// cut is how many hosts reach no other host.
	cut int
	// raterDelay is the mean time until a rating comes; ratedShare is the
	// share of answers that are rated at all.
	raterDelay time.Duration
	ratedShare float64
	rate       float64 // requests/s on all hosts; 0 means requestsPerSecond
	// fanout is to how many random others a host sends at each exchange; 0
	// means all.
	fanout  int
	horizon time.Duration // 0 means the constant
}

// result is what one run showed.
type result struct {
	exposed float64 // answers of the version
	bad     float64 // of them, those that an auditor would count
	stopped bool    // on every host
	cleared float64 // answers until the first host cleared it; 0 if none did
}

// policy decides on one host about the version.
type policy interface {
	take() bool
	observe(exposure.Outcome)
	rate(rating float64)
	stopped() bool
	cleared() bool
}

// cluster is the policies of all hosts.
type cluster interface {
	host(i int) policy
	// exchange lets the hosts below reachable exchange what they know.
	exchange(reachable int)
}

// newCluster builds the hosts of a run.
type newCluster func(s setting, clock func() time.Time) cluster

// run simulates one seed.
func run(s setting, build newCluster, seed int) result {
	w := &world{setting: s, queue: simulate.New(), rnd: simulate.NewRand(seed)}
	w.cluster = build(s, w.queue.Now)
	w.arrive()
	w.queue.Every(s.exchange, func() bool {
		w.cluster.exchange(s.hosts - s.cut)
		return true
	})
	length := horizon
	if s.horizon > 0 {
		length = s.horizon
	}
	w.queue.Run(length)
	w.result.stopped = w.allStopped()
	return w.result
}

type world struct {
	setting setting
	queue   *simulate.Queue
	rnd     *rand.Rand
	cluster cluster
	result  result
}

// arrive schedules the next request that the version's share falls on.
func (w *world) arrive() {
	rate := w.setting.rate
	if rate == 0 {
		rate = requestsPerSecond
	}
	mean := time.Duration(float64(time.Second) / (rate * versionShare))
	w.queue.After(simulate.Exponential(w.rnd, mean), func() {
		w.request(w.cluster.host(w.rnd.IntN(w.setting.hosts)))
		w.arrive()
	})
}

func (w *world) request(p policy) {
	if !p.take() {
		return
	}
	version := w.setting.version
	counted := w.queue.Now().Sub(simulate.Epoch) >= version.badAfter
	if !counted {
		version = goodVersion
	}
	outcome, rating, length := version.draw(w.rnd)
	if counted {
		w.result.exposed++
	}
	if counted && isBad(outcome, rating) {
		w.result.bad++
	}
	rated := !outcome.Failed && w.rnd.Float64() < w.setting.ratedShare
	w.queue.After(length, func() { w.answered(p, outcome, rating, rated) })
}

func (w *world) answered(p policy, outcome exposure.Outcome, rating float64, rated bool) {
	p.observe(outcome)
	if rated {
		delay := simulate.Exponential(w.rnd, w.setting.raterDelay)
		w.queue.After(delay, func() {
			p.rate(rating)
			w.noteCleared(p)
		})
	}
	w.noteCleared(p)
}

func (w *world) noteCleared(p policy) {
	if w.result.cleared == 0 && p.cleared() {
		w.result.cleared = w.result.exposed
	}
}

func (w *world) allStopped() bool {
	for i := range w.setting.hosts {
		if !w.cluster.host(i).stopped() {
			return false
		}
	}
	return true
}
