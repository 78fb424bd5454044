package rollout

import (
	"math/rand/v2"
	"time"

	exposure "github.com/quetzalweir/quetzalweir/rollout"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// The limits that the version must keep, and its exposure budget: budget is the
// number of answers that it may give before it is cleared.
const (
	maxErrorRate = 0.02
	minRating    = 0.7
	maxLatency   = time.Second
	budget       = 2000
)

// The traffic of the model on all hosts, of which the fraction versionShare
// would go to the new version. defaultRate is in requests/s.
const (
	defaultRate      = 40.0
	versionShare     = 0.25
	defaultHorizon   = 10 * time.Minute
	medianAnswerTime = 3 * time.Second
	answerSigma      = 0.5
	errorDelay       = 300 * time.Millisecond
)

// versionBehaviour describes the answers of a version.
type versionBehaviour struct {
	name            string
	errorRate       float64
	firstToken      time.Duration // median
	firstTokenSigma float64       // standard deviation of the logarithm of firstToken
	meanRating      float64       // between 0 and 1
	// turnsBadAfter is the virtual time from which the version has this
	// behaviour; before that time it behaves like goodVersion.
	turnsBadAfter time.Duration
}

var goodVersion = versionBehaviour{name: "good", errorRate: 0.003, firstToken: 300 * time.Millisecond, firstTokenSigma: 0.5, meanRating: 0.82}

// badVersions are the faulty versions of the experiment.
var badVersions = []versionBehaviour{
	{name: "all fail", errorRate: 1, firstToken: 300 * time.Millisecond, firstTokenSigma: 0.5, meanRating: 0.82},
	{name: "10% fail", errorRate: 0.1, firstToken: 300 * time.Millisecond, firstTokenSigma: 0.5, meanRating: 0.82},
	{name: "slow", errorRate: 0.003, firstToken: 800 * time.Millisecond, firstTokenSigma: 0.5, meanRating: 0.82},
	{name: "plausible, poorly rated", errorRate: 0.003, firstToken: 300 * time.Millisecond, firstTokenSigma: 0.5, meanRating: 0.5},
}

// ratingDeviation is the standard deviation of an answer's rating.
const ratingDeviation = 0.15

func (b versionBehaviour) drawAnswer(rnd *rand.Rand) (outcome exposure.Outcome, rating float64, duration time.Duration) {
	if rnd.Float64() < b.errorRate {
		return exposure.Outcome{Failed: true}, 0, errorDelay
	}
	outcome.FirstToken = simulate.LogNormal(rnd, b.firstToken, b.firstTokenSigma)
	rating = min(1, max(0, b.meanRating+ratingDeviation*rnd.NormFloat64()))
	return outcome, rating, outcome.FirstToken + simulate.LogNormal(rnd, medianAnswerTime, answerSigma)
}

// isBad reports whether a request failed, its first token was late, or its answer
// has a rating below minRating. It uses the rating of every answer, also of
// answers that the policies get no rating for.
func isBad(outcome exposure.Outcome, rating float64) bool {
	return outcome.Failed || outcome.FirstToken > maxLatency || rating < minRating
}

// setting holds the parameters of one table row.
type setting struct {
	version          versionBehaviour
	hostCount        int
	exchangeInterval time.Duration
	// partitioned is the number of hosts that cannot reach any other host.
	partitioned int
	// raterDelay is the mean time until a rating arrives; ratedShare is the
	// fraction of answers that are rated at all.
	raterDelay  time.Duration
	ratedShare  float64
	requestRate float64 // requests/s on all hosts; 0 means defaultRate
	// fanout is the number of randomly drawn hosts that a host sends to at each
	// exchange; 0 means all.
	fanout  int
	horizon time.Duration // 0 means defaultHorizon
}

// result holds the results of one run.
type result struct {
	answers      float64 // answers of the version from turnsBadAfter on
	badAnswers   float64 // answers among these for which isBad is true
	stopped      bool    // whether every host stopped the version
	clearedAfter float64 // answers until the first host cleared it; 0 if none did
}

// policy decides on one host whether the version gets requests.
type policy interface {
	take() bool
	observe(exposure.Outcome)
	observeRating(rating float64)
	stopped() bool
	cleared() bool
}

// cluster holds the policies of all hosts.
type cluster interface {
	host(i int) policy
	// exchange makes the hosts with numbers below connected exchange stops and
	// evidence.
	exchange(connected int)
}

// clusterBuilder builds the hosts of a run.
type clusterBuilder func(s setting, clock func() time.Time) cluster

// run simulates a setting with one seed.
func run(s setting, build clusterBuilder, seed int) result {
	sim := &simulation{setting: s, queue: simulate.New(), rnd: simulate.NewRand(seed)}
	sim.cluster = build(s, sim.queue.Now)
	sim.scheduleRequest()
	sim.queue.Every(s.exchangeInterval, func() bool {
		sim.cluster.exchange(s.hostCount - s.partitioned)
		return true
	})
	duration := defaultHorizon
	if s.horizon > 0 {
		duration = s.horizon
	}
	sim.queue.Run(duration)
	sim.result.stopped = sim.allStopped()
	return sim.result
}

type simulation struct {
	setting setting
	queue   *simulate.Queue
	rnd     *rand.Rand
	cluster cluster
	result  result
}

// scheduleRequest schedules the next request that the share assigns to the
// version.
func (sim *simulation) scheduleRequest() {
	rate := sim.setting.requestRate
	if rate == 0 {
		rate = defaultRate
	}
	mean := time.Duration(float64(time.Second) / (rate * versionShare))
	sim.queue.After(simulate.Exponential(sim.rnd, mean), func() {
		sim.handleRequest(sim.cluster.host(sim.rnd.IntN(sim.setting.hostCount)))
		sim.scheduleRequest()
	})
}

func (sim *simulation) handleRequest(p policy) {
	if !p.take() {
		return
	}
	version := sim.setting.version
	measured := sim.queue.Now().Sub(simulate.Epoch) >= version.turnsBadAfter
	if !measured {
		version = goodVersion
	}
	outcome, rating, duration := version.drawAnswer(sim.rnd)
	if measured {
		sim.result.answers++
	}
	if measured && isBad(outcome, rating) {
		sim.result.badAnswers++
	}
	rated := !outcome.Failed && sim.rnd.Float64() < sim.setting.ratedShare
	sim.queue.After(duration, func() { sim.finishRequest(p, outcome, rating, rated) })
}

func (sim *simulation) finishRequest(p policy, outcome exposure.Outcome, rating float64, rated bool) {
	p.observe(outcome)
	if rated {
		delay := simulate.Exponential(sim.rnd, sim.setting.raterDelay)
		sim.queue.After(delay, func() {
			p.observeRating(rating)
			sim.recordCleared(p)
		})
	}
	sim.recordCleared(p)
}

func (sim *simulation) recordCleared(p policy) {
	if sim.result.clearedAfter == 0 && p.cleared() {
		sim.result.clearedAfter = sim.result.answers
	}
}

func (sim *simulation) allStopped() bool {
	for i := range sim.setting.hostCount {
		if !sim.cluster.host(i).stopped() {
			return false
		}
	}
	return true
}
