package cascade

import (
	"time"

	policy "github.com/quetzalweir/quetzalweir/cascade"
)

// namedStrategy is a compared strategy with its name in the tables.
type namedStrategy struct {
	name  string
	build func(s setting, clock func() time.Time, seed int) strategy
}

var strategies = []namedStrategy{
	{"always cheap", startAt(0, false)},
	{"always best", startAt(len(prices)-1, false)},
	{"cheap first, fixed threshold", startAt(0, true)},
	{"learnt start", learnStart(policy.Policy{})},
	{"learnt start, delay weighs three times", learnStart(policy.Policy{DelayWeight: 3 * policy.DefaultDelayWeight})},
	{"learnt start, delay is free", learnStart(policy.Policy{DelayWeight: 1e-9})},
}

// fixedStart always starts at the same step.
type fixedStart struct {
	start       int
	rateAnswers bool
}

func startAt(start int, rateAnswers bool) func(setting, func() time.Time, int) strategy {
	return func(setting, func() time.Time, int) strategy { return fixedStart{start, rateAnswers} }
}

func (f fixedStart) plan(request) (int, time.Duration)    { return f.start, raterTimeout }
func (f fixedStart) answered(request, int, bool, float64) {}
func (f fixedStart) ratingDone(time.Duration, bool)       {}
func (f fixedStart) ratesAnswers() bool                   { return f.rateAnswers }

// learnedStart starts at the step that policy.Learner decides on.
type learnedStart struct {
	learner *policy.Learner
	setting setting
}

func learnStart(p policy.Policy) func(setting, func() time.Time, int) strategy {
	return func(s setting, clock func() time.Time, seed int) strategy {
		options := policy.Options{Clock: clock, Seed: uint64(seed), Policy: p}
		return &learnedStart{learner: policy.NewLearner(options), setting: s}
	}
}

func (l *learnedStart) plan(req request) (int, time.Duration) {
	view := policy.View{
		Cascade:      "c",
		Account:      req.account,
		Class:        req.class.name,
		Remaining:    req.class.deadline,
		PromptTokens: req.promptTokens,
		Target:       target,
		RaterTimeout: raterTimeout,
	}
	view.OnRaterFailure = l.setting.onFailure
	for step := range prices {
		view.Steps = append(view.Steps, policy.StepInfo{Cost: req.cost(step), Latency: latencies[step]})
	}
	plan := l.learner.Decide(view)
	return plan.Start, plan.RaterTimeout
}

func (l *learnedStart) answered(req request, step int, escalated bool, rating float64) {
	l.learner.Observe(policy.Sample{
		Cascade:      "c",
		Account:      req.account,
		Class:        req.class.name,
		PromptTokens: req.promptTokens,
		Step:         step,
		Escalated:    escalated,
		Rating:       rating,
		Latency:      req.latency[step],
	})
}

func (l *learnedStart) ratingDone(took time.Duration, ok bool) { l.learner.ObserveRater(took, ok) }
func (l *learnedStart) ratesAnswers() bool                     { return true }
