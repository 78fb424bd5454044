package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// view returns a view of a cascade with a cheap and an expensive step, in which
// 70% of the cheap step's answers are accepted. It calls change on the view.
func view(change func(v *View)) View {
	v := View{
		Steps: []StepInfo{
			{Cost: 1, Latency: time.Second},
			{Cost: 10, Latency: 2 * time.Second},
		},
		Target:         0.7,
		RaterTimeout:   time.Second,
		OnRaterFailure: manifest.Escalate,
		Stats:          []StepStats{{AcceptProbability: 0.7, EscalatedAcceptProbability: 0.7, Samples: 100}, {}},
		Rater:          RaterStats{Latency: 200 * time.Millisecond},
	}
	change(&v)
	return v
}

func TestDecide(t *testing.T) {
	tests := []struct {
		desc   string
		change func(v *View)
		start  int
		reason Reason
	}{
		{"the saving exceeds the escalations", func(*View) {}, 0, ReasonCheapest},
		{"answers are hardly ever accepted", func(v *View) { v.Stats[0].AcceptProbability = 0.05 }, 1, ReasonCheapest},
		{"the saving is less than the escalations cost", func(v *View) { v.Steps[0].Cost = 9 }, 1, ReasonCheapest},
		{"ample time", func(v *View) { v.Remaining = time.Minute }, 0, ReasonCheapest},
		{"no time to escalate", func(v *View) { v.Remaining = 4 * time.Second }, 1, ReasonDeadline},
		{"the rater is down and answers escalate", func(v *View) { v.Rater.FailureRate = 1 }, 1, ReasonCheapest},
		{"the rater is down and answers are accepted", func(v *View) {
			v.Rater.FailureRate = 1
			v.OnRaterFailure = manifest.Accept
			v.Stats[0].AcceptProbability = 0.95
		}, 0, ReasonCheapest},
		{"the rater is down and too many accepted answers would be below the target", func(v *View) {
			v.Rater.FailureRate = 1
			v.OnRaterFailure = manifest.Accept
		}, 1, ReasonCheapest},
		{"a measured latency replaces the expected one", func(v *View) {
			v.Remaining = 6 * time.Second
			v.Stats[0].Latency = 5 * time.Second
		}, 1, ReasonDeadline},
		{"may run once, the cheap step suffices", func(v *View) { v.SingleRun = true }, 0, ReasonSingleRun},
		{"may run once, the cheap step rarely suffices", func(v *View) { v.SingleRun, v.Stats[0].AcceptProbability = true, 0.3 }, 1, ReasonSingleRun},
		{"may run once, no statistics", func(v *View) { v.SingleRun, v.Stats = true, nil }, 1, ReasonSingleRun},
		{"may run once, no time to escalate", func(v *View) { v.SingleRun, v.Remaining = true, 4*time.Second }, 0, ReasonSingleRun},
		{"a single step", func(v *View) { v.Steps = v.Steps[:1] }, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			plan := Policy{}.Decide(view(tt.change), nil)
			is.Equal(plan.Start, tt.start)
			is.Equal(plan.Reason, tt.reason)
		})
	}
}

func TestExpectedValues(t *testing.T) {
	is := is.New(t)
	plan := Policy{}.Decide(view(func(*View) {}), nil)
	is.Equal(plan.Cost, 1+(1-0.7)*10)
	is.Equal(plan.Delay, 1800*time.Millisecond)
}

func TestRaterTimeoutIsShortWhileRaterIsDown(t *testing.T) {
	is := is.New(t)
	plan := Policy{}.Decide(view(func(v *View) { v.Rater.FailureRate = 0.9 }), nil)
	is.Equal(plan.RaterTimeout, 100*time.Millisecond)
}

func TestExplorationIsBounded(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	explored := 0
	const requests = 10_000
	for range requests {
		plan := Policy{}.Decide(view(func(v *View) { v.Stats[0].AcceptProbability = 0 }), rnd)
		if plan.Reason == ReasonExplore {
			explored++
		}
	}
	is.True(explored > 0)
	is.True(float64(explored) < 2*DefaultExploreMin*requests)
	urgent := view(func(v *View) { v.Remaining = time.Second })
	for range requests { // an earlier step would miss the deadline
		is.Equal(Policy{}.Decide(urgent, rnd).Start, 1)
	}
}

// TestTheBestStartIsChosen compares the chosen start with all others, for random
// cascades.
func TestTheBestStartIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := View{Target: 0.7, OnRaterFailure: manifest.Escalate}
		for range rapid.IntRange(2, 5).Draw(t, "steps") {
			accept := rapid.Float64Range(0, 1).Draw(t, "accept")
			v.Steps = append(v.Steps, StepInfo{Cost: rapid.Float64Range(1, 50).Draw(t, "cost")})
			v.Stats = append(v.Stats, StepStats{AcceptProbability: accept, EscalatedAcceptProbability: accept / 2})
		}
		chosen := Policy{}.Decide(v, nil)
		for start := range v.Steps {
			if other := v.planFrom(start); other.Cost < chosen.Cost {
				t.Fatalf("start %d costs %v, chosen %d costs %v", start, other.Cost, chosen.Start, chosen.Cost)
			}
		}
	})
}
