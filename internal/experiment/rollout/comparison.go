package rollout

import (
	"fmt"
	"math/rand/v2"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	exposure "github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// comparisonRuns is the number of comparisons for each seed.
	comparisonRuns = 100
	// comparisonAnswers is the number of the new version's answers after which a
	// comparison ends.
	comparisonAnswers = 150
	// The error probabilities and the tolerance are those of the gateway's failures.
	comparisonAlpha     = 0.002
	comparisonTolerance = 0.2
	comparisonClear     = 0.05
)

// versions are two versions that answer in turn at random: the rates of their bad answers
// and the new one's part of the answers.
type versions struct {
	oldRate, newRate, share float64
}

// comparison is how one comparison ended, looked at after each answer: the new version's
// answers until it was stopped or cleared, 0 if it wasn't.
type comparison struct {
	stopped, cleared int
}

// compare draws answers until both tests decided or the new version gave all of its own.
func (v versions) compare(rng *rand.Rand) comparison {
	var old, fresh exposure.Sample
	var c comparison
	for fresh.Total < comparisonAnswers && c.stopped == 0 {
		if rng.Float64() >= v.share {
			count(&old, rng.Float64() < v.oldRate)
			continue
		}
		count(&fresh, rng.Float64() < v.newRate)
		if exposure.Worse(old, fresh, comparisonAlpha) {
			c.stopped = fresh.Total
		}
		if c.cleared == 0 && exposure.NotWorse(old, fresh, comparisonTolerance, comparisonClear) {
			c.cleared = fresh.Total
		}
	}
	return c
}

func count(s *exposure.Sample, bad bool) {
	s.Total++
	if bad {
		s.Bad++
	}
}

// comparisons prints the operating curves of the comparison of two versions.
func (r *report) comparisons() {
	r.Section("A new version beside the old one, looked at after each answer: how often and after how many of its answers it is stopped, and cleared")
	r.Header(3, "old version, bad", "new version, bad", "its part", "stopped", "answers until then, mean", "cleared", "answers until then, mean")
	for _, rates := range [][2]float64{{0, 0}, {0.02, 0.02}, {0.2, 0.2}, {0.5, 0.5}, {0, 0.1}, {0, 0.2}, {0, 0.5}, {0, 1}, {0.2, 0.35}, {0.2, 0.55}, {0.2, 0.9}} {
		for _, share := range []float64{0.05, 0.18, 0.5} {
			r.comparisonRow(versions{rates[0], rates[1], share})
		}
	}
}

func (r *report) comparisonRow(v versions) {
	results := simulate.RunSeeds(r.seeds, func(seed int) []comparison {
		rng := rand.New(rand.NewPCG(uint64(seed), 17))
		runs := make([]comparison, comparisonRuns)
		for i := range runs {
			runs[i] = v.compare(rng)
		}
		return runs
	})
	var stops, clears tallied
	for _, runs := range results {
		for _, c := range runs {
			stops.add(c.stopped)
			clears.add(c.cleared)
		}
	}
	r.Row(fmt.Sprintf("%.0f%%", 100*v.oldRate), fmt.Sprintf("%.0f%%", 100*v.newRate), fmt.Sprintf("%.0f%%", 100*v.share),
		stops.part(), stops.mean(), clears.part(), clears.mean())
}

// tallied counts comparisons that came to something, and after how many answers.
type tallied struct {
	all, reached, answers int
}

func (t *tallied) add(answers int) {
	t.all++
	if answers > 0 {
		t.reached++
		t.answers += answers
	}
}

func (t *tallied) part() string {
	return fmt.Sprintf("%.1f%%", 100*float64(t.reached)/float64(max(1, t.all)))
}

func (t *tallied) mean() string {
	if t.reached == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(t.answers)/float64(t.reached))
}
