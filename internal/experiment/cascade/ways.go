package cascade

import (
	"time"

	policy "github.com/quetzalweir/quetzalweir/cascade"
)

// contender is a way under its name in the tables.
type contender struct {
	name  string
	build func(s setting, clock func() time.Time, seed int) way
}

var contenders = []contender{
	{"always cheap", fixedAt(0, false)},
	{"always best", fixedAt(len(prices)-1, false)},
	{"cheap first, fixed threshold", fixedAt(0, true)},
	{"learnt start", learnt(policy.Policy{})},
	{"learnt start, delay weighs three times", learnt(policy.Policy{DelayWeight: 3 * policy.DefaultDelayWeight})},
	{"learnt start, delay is free", learnt(policy.Policy{DelayWeight: 1e-9})},
}

// fixed starts at a fixed step.
type fixed struct {
	start int
	rate  bool
}

func fixedAt(start int, rate bool) func(setting, func() time.Time, int) way {
	return func(setting, func() time.Time, int) way { return fixed{start, rate} }
}

func (f fixed) plan(job) (int, time.Duration)    { return f.start, raterTimeout }
func (f fixed) answered(job, int, bool, float64) {}
func (f fixed) rated(time.Duration, bool)        {}
func (f fixed) rates() bool                      { return f.rate }

// learner starts where the library's learner says.
type learner struct {
	learner *policy.Learner
	setting setting
}

func learnt(p policy.Policy) func(setting, func() time.Time, int) way {
	return func(s setting, clock func() time.Time, seed int) way {
		options := policy.Options{Clock: clock, Seed: uint64(seed), Policy: p}
		return &learner{learner: policy.NewLearner(options), setting: s}
	}
}

func (l *learner) plan(j job) (int, time.Duration) {
	view := policy.View{
		Cascade:      "c",
		Account:      j.account,
		Class:        j.class.name,
		Remaining:    j.class.deadline,
		PromptTokens: j.prompt,
		Target:       target,
		RaterTimeout: raterTimeout,
	}
	view.OnRaterFailure = l.setting.onFailure
	for step := range prices {
		view.Steps = append(view.Steps, policy.StepInfo{Cost: j.cost(step), Latency: latencies[step]})
	}
	plan := l.learner.Decide(view)
	return plan.Start, plan.RaterTimeout
}

func (l *learner) answered(j job, step int, escalated bool, rating float64) {
	l.learner.Observe(policy.Sample{
		Cascade:      "c",
		Account:      j.account,
		Class:        j.class.name,
		PromptTokens: j.prompt,
		Step:         step,
		Escalated:    escalated,
		Rating:       rating,
		Latency:      j.latency[step],
	})
}

func (l *learner) rated(took time.Duration, ok bool) { l.learner.ObserveRater(took, ok) }
func (l *learner) rates() bool                       { return true }
