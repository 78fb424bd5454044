package rollout

import "math"

// FailureLoad returns the load from which on a version's answers fail more often than below it, as an index of counts, which
// hold its answers by rising load. ok is false if no such load is found. For a version that fails as often at any load, FailureLoad
// returns one with a probability of about alpha, however often it is called.
func FailureLoad(counts []AnswerCounts, alpha float64) (index int, ok bool) {
	var all, below AnswerCounts
	for _, c := range counts {
		all = all.plus(c)
	}
	best := math.Log(float64(len(counts)-1) / alpha)
	for i := 1; i < len(counts); i++ {
		below = below.plus(counts[i-1])
		above := AnswerCounts{Bad: all.Bad - below.Bad, Total: all.Total - below.Total}
		if above.Bad*below.Total <= below.Bad*above.Total {
			continue
		}
		if factor := below.logMarginal() + above.logMarginal() - all.logMarginal(); factor >= best {
			index, best, ok = i, factor, true
		}
	}
	return index, ok
}

func (s AnswerCounts) plus(o AnswerCounts) AnswerCounts {
	return AnswerCounts{Bad: s.Bad + o.Bad, Total: s.Total + o.Total}
}

// logMarginal returns the logarithm of the counts' probability if every rate of bad answers is as likely. The difference between
// that of two samples and that of their sum is the Bayes factor of different rates against a common one.
func (s AnswerCounts) logMarginal() float64 {
	logGamma := func(n int) float64 { l, _ := math.Lgamma(float64(n)); return l }
	return logGamma(s.Bad+1) + logGamma(s.Total-s.Bad+1) - logGamma(s.Total+2)
}
