package cascade

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// Unrated is the value that stands for the rating of an answer that wasn't rated.
const Unrated = -1.0

// IsAccepted reports whether a rating reaches the target.
func IsAccepted(rating, target float64) bool { return rating >= target }

// StepInfo holds the cost and latency that are expected of a step before there
// are statistics.
type StepInfo struct {
	// Cost is the expected cost of an answer, in any unit common to all steps.
	Cost float64
	// Latency is the expected time to the complete answer.
	Latency time.Duration
}

// StepStats holds the measured statistics of a step.
type StepStats struct {
	// AcceptProbability is the probability that the answer reaches the target
	// if the request starts at this step, EscalatedAcceptProbability is the
	// same probability if the request was escalated from the previous step.
	AcceptProbability          float64
	EscalatedAcceptProbability float64
	// Latency is the mean time to the complete answer. It is 0 if not measured.
	Latency time.Duration
	// Samples is the decayed number of ratings from which AcceptProbability is
	// estimated.
	Samples float64
}

// RaterStats holds the measured statistics of the rater.
type RaterStats struct {
	// Latency is the mean time that a rating took, including failed ones.
	Latency time.Duration
	// FailureRate is the proportion of ratings that failed or exceeded the
	// timeout.
	FailureRate float64
}

// View holds everything that a decision depends on.
type View struct {
	// Cascade is the cascade's name. An account's statistics are kept
	// separately for each cascade and class.
	Cascade string
	Account string
	Class   string
	// Remaining is the time to the deadline; 0 means none.
	Remaining time.Duration
	// PromptTokens is the length of the prompt in tokens. It is 0 if unknown.
	PromptTokens int
	// Steps are the steps that the account may use, cheapest first.
	Steps []StepInfo
	// Target is the lowest rating with which an answer is accepted.
	Target float64
	// RaterTimeout bounds the wait for a rating.
	RaterTimeout   time.Duration
	OnRaterFailure manifest.OnRaterFailure
	// SingleRun is set for a request that may run once, whose answer can't be replaced by a later step's.
	SingleRun bool
	// Stats and Rater are set by Learner.Decide.
	Stats []StepStats
	Rater RaterStats
}

// Reason says why a plan starts at its step.
type Reason string

const (
	// ReasonCheapest means that the start has the lowest expected cost, which
	// includes a cost for the expected delay.
	ReasonCheapest Reason = "lowest-expected-cost"
	// ReasonExplore means that the request starts one step before the best
	// start, to update the statistics of that step.
	ReasonExplore Reason = "explore"
	// ReasonDeadline means that the deadline leaves no time to escalate from
	// an earlier step.
	ReasonDeadline Reason = "deadline"
	// ReasonSingleRun means that the request may run once, and that the start is the cheapest step whose
	// answer probably reaches the target.
	ReasonSingleRun Reason = "single-run"
)

// Plan is the result of a decision.
type Plan struct {
	// Start is the index of the first step to run.
	Start  int
	Reason Reason
	// Cost and Delay are the expected cost and time to the accepted answer,
	// including escalations.
	Cost  float64
	Delay time.Duration
	// RaterTimeout is how long to wait for a rating; it is shortened while the
	// rater is down.
	RaterTimeout time.Duration
}

// Defaults of Policy.
const (
	DefaultDelayWeight    = 0.3
	DefaultDeadlineShare  = 0.8
	DefaultExploreMin     = 0.01
	DefaultExploreMax     = 0.05
	DefaultExploreUntil   = 40
	DefaultMaxUnratedMiss = 0.1
)

// Policy holds the parameters of the decision. Zero fields mean the defaults.
type Policy struct {
	// DelayWeight is the cost of a delay of the whole remaining time, in
	// multiples of the last step's cost. Without a deadline, a delay costs
	// nothing.
	DelayWeight float64
	// DeadlineShare is the proportion of the remaining time that running all
	// steps from the start may be expected to take.
	DeadlineShare float64
	// ExploreMin and ExploreMax bound the probability of starting one step
	// before the best start. The probability falls from ExploreMax to ExploreMin
	// as StepStats.Samples of that earlier step rises to ExploreUntil.
	ExploreMin   float64
	ExploreMax   float64
	ExploreUntil float64
	// MaxUnratedMiss bounds the probability that an answer of the first step is
	// accepted without a rating although it is below the target, which can
	// happen if OnRaterFailure is manifest.Accept. A step with a higher
	// probability isn't used as the start, unless it is the last one.
	MaxUnratedMiss float64
}

func (p Policy) withDefaults() Policy {
	p.DelayWeight = cmp.Or(p.DelayWeight, DefaultDelayWeight)
	p.DeadlineShare = cmp.Or(p.DeadlineShare, DefaultDeadlineShare)
	p.ExploreMin = cmp.Or(p.ExploreMin, DefaultExploreMin)
	p.ExploreMax = cmp.Or(p.ExploreMax, DefaultExploreMax)
	p.ExploreUntil = cmp.Or(p.ExploreUntil, DefaultExploreUntil)
	p.MaxUnratedMiss = cmp.Or(p.MaxUnratedMiss, DefaultMaxUnratedMiss)
	return p
}

// Decide returns the plan for a request. It depends only on its arguments; a nil
// rnd disables exploration.
func (p Policy) Decide(v View, rnd *rand.Rand) Plan {
	p = p.withDefaults()
	last := len(v.Steps) - 1
	if last <= 0 {
		return Plan{RaterTimeout: v.RaterTimeout}
	}
	if v.SingleRun {
		return v.planSingleRun()
	}
	earliest := p.earliestStart(&v)
	best := v.planFrom(last)
	for start := last - 1; start >= earliest; start-- {
		if v.missProbability(start) > p.MaxUnratedMiss {
			continue
		}
		if plan := v.planFrom(start); p.weightedCost(&v, plan) < p.weightedCost(&v, best) {
			best = plan
		}
	}
	best.Reason = ReasonCheapest
	if best.Start > 0 && best.Start == earliest {
		best.Reason = ReasonDeadline
	}
	if best.Start > earliest && v.missProbability(best.Start-1) <= p.MaxUnratedMiss && p.shouldExplore(v.stepStats(best.Start-1), rnd) {
		best = v.planFrom(best.Start - 1)
		best.Reason = ReasonExplore
	}
	best.RaterTimeout = v.effectiveRaterTimeout()
	return best
}

// minSingleRunProbability is the acceptance probability above which a request that may run once starts at a
// step before the last one. Steps without statistics don't reach it.
const minSingleRunProbability = defaultAcceptProbability

// planSingleRun returns the plan of a request that may run once: the cheapest step whose answer probably
// reaches the target, or else the last step.
func (v *View) planSingleRun() Plan {
	last := len(v.Steps) - 1
	start := 0
	for start < last && v.stepStats(start).AcceptProbability <= minSingleRunProbability {
		start++
	}
	return Plan{
		Start:        start,
		Reason:       ReasonSingleRun,
		Cost:         v.Steps[start].Cost,
		Delay:        v.expectedLatency(start),
		RaterTimeout: v.effectiveRaterTimeout(),
	}
}

// earliestStart returns the first step for which running it and all later steps
// is expected to take at most DeadlineShare of the remaining time, or the last
// step if there is none.
func (p Policy) earliestStart(v *View) int {
	last := len(v.Steps) - 1
	if v.Remaining <= 0 {
		return 0
	}
	limit := time.Duration(p.DeadlineShare * float64(v.Remaining))
	latency := v.expectedLatency(last)
	for start := last - 1; start >= 0; start-- {
		latency += v.expectedLatency(start) + v.effectiveRaterTimeout()
		if latency > limit {
			return start + 1
		}
	}
	return 0
}

// weightedCost returns a plan's expected cost plus the cost of its expected
// delay.
func (p Policy) weightedCost(v *View, plan Plan) float64 {
	if v.Remaining <= 0 {
		return plan.Cost
	}
	lastStepCost := v.Steps[len(v.Steps)-1].Cost
	return plan.Cost + p.DelayWeight*lastStepCost*float64(plan.Delay)/float64(v.Remaining)
}

func (p Policy) shouldExplore(stats StepStats, rnd *rand.Rand) bool {
	if rnd == nil {
		return false
	}
	sampleProgress := math.Min(1, stats.Samples/p.ExploreUntil)
	probability := p.ExploreMax + sampleProgress*(p.ExploreMin-p.ExploreMax)
	return rnd.Float64() < probability
}

// planFrom returns the plan that starts at a step, with its expected cost and
// delay.
func (v *View) planFrom(start int) Plan {
	last := len(v.Steps) - 1
	plan := Plan{Start: last, Cost: v.Steps[last].Cost, Delay: v.expectedLatency(last)}
	for i := last - 1; i >= start; i-- {
		escalationProbability := 1 - v.acceptProbability(i, i > start)
		plan.Cost = v.Steps[i].Cost + escalationProbability*plan.Cost
		plan.Delay = v.expectedLatency(i) + v.expectedRaterLatency() + time.Duration(escalationProbability*float64(plan.Delay))
	}
	plan.Start = start
	return plan
}

// acceptProbability returns the probability that a step's answer is accepted. If
// OnRaterFailure is manifest.Accept, an unrated answer counts as if it had been
// rated, so that a failed rater doesn't make a cheap model look better.
func (v *View) acceptProbability(step int, escalated bool) float64 {
	stats := v.stepStats(step)
	accept := stats.AcceptProbability
	if escalated {
		accept = stats.EscalatedAcceptProbability
	}
	if v.OnRaterFailure == manifest.Accept {
		return accept
	}
	return (1 - v.Rater.FailureRate) * accept
}

// missProbability returns the probability that the answer of the step start is
// accepted without a rating although it is below the target.
func (v *View) missProbability(start int) float64 {
	if v.OnRaterFailure != manifest.Accept {
		return 0
	}
	return v.Rater.FailureRate * (1 - v.stepStats(start).AcceptProbability)
}

// defaultAcceptProbability is the acceptance probability assumed for a step
// without statistics.
const defaultAcceptProbability = 0.5

func (v *View) stepStats(step int) StepStats {
	if step < len(v.Stats) {
		return v.Stats[step]
	}
	return StepStats{AcceptProbability: defaultAcceptProbability, EscalatedAcceptProbability: defaultAcceptProbability}
}

func (v *View) expectedLatency(step int) time.Duration {
	if measured := v.stepStats(step).Latency; measured > 0 {
		return measured
	}
	return v.Steps[step].Latency
}

func (v *View) expectedRaterLatency() time.Duration {
	return min(v.Rater.Latency, v.effectiveRaterTimeout())
}

const (
	// raterDownFailureRate is the lowest failure rate at which the rater counts
	// as down.
	raterDownFailureRate = 0.8
	// raterDownTimeoutShare is the proportion of the timeout that is used while
	// the rater is down.
	raterDownTimeoutShare = 0.1
)

func (v *View) effectiveRaterTimeout() time.Duration {
	if v.Rater.FailureRate < raterDownFailureRate {
		return v.RaterTimeout
	}
	return time.Duration(raterDownTimeoutShare * float64(v.RaterTimeout))
}
