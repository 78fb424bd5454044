package cascade

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// Unrated is the rating of an answer that has none.
const Unrated = -1.0

// Accept says whether a rating reaches the target.
func Accept(rating, target float64) bool { return rating >= target }

// StepInfo is what is known of a step before the request runs.
type StepInfo struct {
	// Cost is the expected cost of an answer, in any unit common to the steps.
	Cost float64
	// Latency is the expected time to the whole answer.
	Latency time.Duration
}

// StepStats is what was learnt of a step.
type StepStats struct {
	// Accept is the probability that the answer reaches the target when the
	// request starts at this step, Escalated when it comes from the step
	// before.
	Accept    float64
	Escalated float64
	// Latency is the mean time to the whole answer; 0 if not measured.
	Latency time.Duration
	// Samples is the decayed number of ratings behind Accept.
	Samples float64
}

// RaterStats is what was learnt of the rater.
type RaterStats struct {
	// Latency is the mean time that a rating took, failed ones included.
	Latency time.Duration
	// Failure is the share of ratings that failed or came too late.
	Failure float64
}

// View is what a decision depends on.
type View struct {
	// Cascade is the cascade's name. Accounts' statistics are kept for each
	// cascade and class by themselves.
	Cascade string
	Account string
	Class   string
	// Remaining is the time to the deadline; 0 means none.
	Remaining time.Duration
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int
	// Steps are the steps open to the account, cheapest first.
	Steps []StepInfo
	// Target is the rating at which an answer is taken.
	Target float64
	// RaterTimeout bounds the wait for a rating.
	RaterTimeout   time.Duration
	OnRaterFailure manifest.OnRaterFailure
	// Stats and Rater are filled in by Learner.Decide.
	Stats []StepStats
	Rater RaterStats
}

// Reason says why a plan starts where it does.
type Reason string

const (
	// ReasonCheapest means that the start has the lowest expected cost and
	// delay.
	ReasonCheapest Reason = "lowest-expected-cost"
	// ReasonExplore means that an earlier step is tried to learn.
	ReasonExplore Reason = "explore"
	// ReasonDeadline means that the deadline leaves no time for an escalation
	// from an earlier step.
	ReasonDeadline Reason = "deadline"
)

// Plan is a decision.
type Plan struct {
	// Start is the index of the step to begin with.
	Start  int
	Reason Reason
	// Cost and Delay are expected values with escalations.
	Cost  float64
	Delay time.Duration
	// RaterTimeout is how long to wait for a rating; it is short while the
	// rater is down.
	RaterTimeout time.Duration
}

// Defaults of Policy.
const (
	DefaultDelayWeight   = 0.3
	DefaultDeadlineShare = 0.8
	DefaultExploreMin    = 0.01
	DefaultExploreMax    = 0.05
	DefaultExploreUntil  = 40
	DefaultMaxMiss       = 0.1
)

// Policy decides. Zero fields mean the defaults.
type Policy struct {
	// DelayWeight is what a delay of the whole remaining time is worth, in
	// multiples of the last step's cost. Without a deadline, delay is free.
	DelayWeight float64
	// DeadlineShare is the part of the remaining time that the longest way
	// through all steps may be expected to take.
	DeadlineShare float64
	// ExploreMin and ExploreMax bound the probability of starting one step
	// earlier than is best; it falls from the one to the other as the samples
	// of that step approach ExploreUntil.
	ExploreMin   float64
	ExploreMax   float64
	ExploreUntil float64
	// MaxMiss bounds the probability that an answer is taken without a rating
	// and misses the target, where a failed rating accepts. Above it the next
	// step is the start.
	MaxMiss float64
}

func (p Policy) withDefaults() Policy {
	p.DelayWeight = cmp.Or(p.DelayWeight, DefaultDelayWeight)
	p.DeadlineShare = cmp.Or(p.DeadlineShare, DefaultDeadlineShare)
	p.ExploreMin = cmp.Or(p.ExploreMin, DefaultExploreMin)
	p.ExploreMax = cmp.Or(p.ExploreMax, DefaultExploreMax)
	p.ExploreUntil = cmp.Or(p.ExploreUntil, DefaultExploreUntil)
	p.MaxMiss = cmp.Or(p.MaxMiss, DefaultMaxMiss)
	return p
}

// Decide returns where to start. It is a function of its arguments; a nil rnd
// means no exploration.
func (p Policy) Decide(v View, rnd *rand.Rand) Plan {
	p = p.withDefaults()
	last := len(v.Steps) - 1
	if last <= 0 {
		return Plan{RaterTimeout: v.RaterTimeout}
	}
	earliest := p.earliest(&v)
	best := v.expect(last)
	for start := last - 1; start >= earliest; start-- {
		if v.miss(start) > p.MaxMiss {
			continue
		}
		if plan := v.expect(start); p.price(&v, plan) < p.price(&v, best) {
			best = plan
		}
	}
	best.Reason = ReasonCheapest
	if best.Start > 0 && best.Start == earliest {
		best.Reason = ReasonDeadline
	}
	if best.Start > earliest && v.miss(best.Start-1) <= p.MaxMiss && p.explores(v.stats(best.Start-1), rnd) {
		best = v.expect(best.Start - 1)
		best.Reason = ReasonExplore
	}
	best.RaterTimeout = v.raterTimeout()
	return best
}

// earliest is the first step from which all later ones still fit the time.
func (p Policy) earliest(v *View) int {
	last := len(v.Steps) - 1
	if v.Remaining <= 0 {
		return 0
	}
	limit := time.Duration(p.DeadlineShare * float64(v.Remaining))
	longest := v.latency(last)
	for start := last - 1; start >= 0; start-- {
		longest += v.latency(start) + v.raterTimeout()
		if longest > limit {
			return start + 1
		}
	}
	return 0
}

// price adds up a plan's cost and the worth of its delay.
func (p Policy) price(v *View, plan Plan) float64 {
	if v.Remaining <= 0 {
		return plan.Cost
	}
	dearest := v.Steps[len(v.Steps)-1].Cost
	return plan.Cost + p.DelayWeight*dearest*float64(plan.Delay)/float64(v.Remaining)
}

func (p Policy) explores(stats StepStats, rnd *rand.Rand) bool {
	if rnd == nil {
		return false
	}
	known := math.Min(1, stats.Samples/p.ExploreUntil)
	probability := p.ExploreMax + known*(p.ExploreMin-p.ExploreMax)
	return rnd.Float64() < probability
}

// expect returns the expected cost and delay of starting at a step.
func (v *View) expect(start int) Plan {
	last := len(v.Steps) - 1
	plan := Plan{Start: last, Cost: v.Steps[last].Cost, Delay: v.latency(last)}
	for i := last - 1; i >= start; i-- {
		escalate := 1 - v.taken(i, i > start)
		plan.Cost = v.Steps[i].Cost + escalate*plan.Cost
		plan.Delay = v.latency(i) + v.raterLatency() + time.Duration(escalate*float64(plan.Delay))
	}
	plan.Start = start
	return plan
}

// taken is the probability that a step's answer is taken. Where a failed
// rating accepts, an answer without a rating counts as if it had been rated:
// that the rater is down makes no cheap model better.
func (v *View) taken(step int, escalated bool) float64 {
	stats := v.stats(step)
	accept := stats.Accept
	if escalated {
		accept = stats.Escalated
	}
	if v.OnRaterFailure == manifest.Accept {
		return accept
	}
	return (1 - v.Rater.Failure) * accept
}

// miss is the probability that a start's answer is taken without a rating and
// misses the target.
func (v *View) miss(start int) float64 {
	if v.OnRaterFailure != manifest.Accept {
		return 0
	}
	return v.Rater.Failure * (1 - v.stats(start).Accept)
}

// defaultAccept is assumed of a step without statistics.
const defaultAccept = 0.5

func (v *View) stats(step int) StepStats {
	if step < len(v.Stats) {
		return v.Stats[step]
	}
	return StepStats{Accept: defaultAccept, Escalated: defaultAccept}
}

func (v *View) latency(step int) time.Duration {
	if learnt := v.stats(step).Latency; learnt > 0 {
		return learnt
	}
	return v.Steps[step].Latency
}

func (v *View) raterLatency() time.Duration {
	return min(v.Rater.Latency, v.raterTimeout())
}

const (
	// raterDown is the share of failures from which on the rater counts as
	// down.
	raterDown = 0.8
	// downTimeoutShare is the part of the timeout that is waited meanwhile.
	downTimeoutShare = 0.1
)

func (v *View) raterTimeout() time.Duration {
	if v.Rater.Failure < raterDown {
		return v.RaterTimeout
	}
	return time.Duration(downTimeoutShare * float64(v.RaterTimeout))
}
