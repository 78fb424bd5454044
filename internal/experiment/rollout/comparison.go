package rollout

import (
	"fmt"
	"math/rand/v2"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	exposure "github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// comparisonsPerSeed is the number of comparisons for each seed.
	comparisonsPerSeed = 100
	// comparisonMaxAnswers is the number of the new version's answers after which
	// a comparison ends.
	comparisonMaxAnswers = 150
	// stopAlpha and clearAlpha are error probabilities. They and the tolerance are
	// the values that the gateway uses for failed requests.
	stopAlpha      = 0.002
	clearTolerance = 0.2
	clearAlpha     = 0.05
)

// versionPair describes an old and a new version: the fractions of their answers that are
// bad, and the fraction of all answers that the new one gives.
type versionPair struct {
	oldBadRate, newBadRate, newShare float64
}

// comparison is the result of one comparison with a test after each answer: the number of
// the new version's answers until it was stopped and until it was cleared, 0 if it wasn't.
type comparison struct {
	stoppedAfter, clearedAfter int
}

// compare draws answers until the new version is stopped or has given
// comparisonMaxAnswers.
func (v versionPair) compare(rng *rand.Rand) comparison {
	var baseline, candidate exposure.AnswerCounts
	var c comparison
	for candidate.Total < comparisonMaxAnswers && c.stoppedAfter == 0 {
		if rng.Float64() >= v.newShare {
			addAnswer(&baseline, rng.Float64() < v.oldBadRate)
			continue
		}
		addAnswer(&candidate, rng.Float64() < v.newBadRate)
		if exposure.IsWorse(baseline, candidate, stopAlpha) {
			c.stoppedAfter = candidate.Total
		}
		if c.clearedAfter == 0 && exposure.IsNotWorse(baseline, candidate, clearTolerance, clearAlpha) {
			c.clearedAfter = candidate.Total
		}
	}
	return c
}

func addAnswer(s *exposure.AnswerCounts, bad bool) {
	s.Total++
	if bad {
		s.Bad++
	}
}

// printComparisons prints how often and how soon the comparison of two versions stops and
// clears the new one (its operating characteristic).
func (r *report) printComparisons() {
	r.Section("A new version beside the old one, looked at after each answer: how often and after how many of its answers it is stopped, and cleared")
	r.Header(3, "old version, bad", "new version, bad", "its part", "stopped", "answers until then, mean", "cleared", "answers until then, mean")
	for _, rates := range [][2]float64{{0, 0}, {0.02, 0.02}, {0.2, 0.2}, {0.5, 0.5}, {0, 0.1}, {0, 0.2}, {0, 0.5}, {0, 1}, {0.2, 0.35}, {0.2, 0.55}, {0.2, 0.9}} {
		for _, share := range []float64{0.05, 0.18, 0.5} {
			r.printComparisonRow(versionPair{rates[0], rates[1], share})
		}
	}
}

func (r *report) printComparisonRow(v versionPair) {
	results := simulate.RunSeeds(r.seedCount, func(seed int) []comparison {
		rng := rand.New(rand.NewPCG(uint64(seed), 17))
		runs := make([]comparison, comparisonsPerSeed)
		for i := range runs {
			runs[i] = v.compare(rng)
		}
		return runs
	})
	var stops, clears decisionCounts
	for _, runs := range results {
		for _, c := range runs {
			stops.add(c.stoppedAfter)
			clears.add(c.clearedAfter)
		}
	}
	r.Row(fmt.Sprintf("%.0f%%", 100*v.oldBadRate), fmt.Sprintf("%.0f%%", 100*v.newBadRate), fmt.Sprintf("%.0f%%", 100*v.newShare),
		stops.decidedPercent(), stops.meanAnswers(), clears.decidedPercent(), clears.meanAnswers())
}

// decisionCounts holds the number of comparisons, the number of those that ended with a
// decision, and the sum of the answers until these decisions.
type decisionCounts struct {
	comparisons, decided, answerSum int
}

func (d *decisionCounts) add(answers int) {
	d.comparisons++
	if answers > 0 {
		d.decided++
		d.answerSum += answers
	}
}

func (d *decisionCounts) decidedPercent() string {
	return fmt.Sprintf("%.1f%%", 100*float64(d.decided)/float64(max(1, d.comparisons)))
}

func (d *decisionCounts) meanAnswers() string {
	if d.decided == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(d.answerSum)/float64(d.decided))
}
