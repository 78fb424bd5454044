package rollout

import "math"

// Sample counts the answers of one version and the bad ones among them.
type Sample struct {
	Bad   int
	Total int
}

// counts returns the numbers of good and of bad answers, as a meanTest of binaryValues
// expects them.
func (s Sample) counts() []uint64 {
	return []uint64{uint64(max(0, s.Total-s.Bad)), uint64(s.Bad)}
}

// Worse reports whether the candidate version's rate of bad answers is higher than that of
// the baseline version over the same time, so that an outage that affects both versions
// counts against neither. It is a sequential test, which may be evaluated after every
// answer. It depends on sums only, so the counts of many hosts can be added. The baseline's
// rate is an estimate, so a standard error is added to it.
//
// A candidate that is as good as the baseline is ever stopped with a probability of about
// alpha; where both have equally many answers and half of all are bad, of up to two percent.
// With an alpha of 0.002, a candidate with 50% bad answers is stopped after 7 to 16 of them
// beside a healthy baseline, and after 30 to 40 beside one with 20% bad answers (seeded
// runs, see the tests).
func Worse(baseline, candidate Sample, alpha float64) bool {
	test := newMeanTest(above, min(maxLimit, upperRate(baseline)), binaryValues)
	return test.logWealth(candidate.counts()) >= math.Log(1/alpha)
}

// NotWorse reports whether the candidate's rate of bad answers exceeds the baseline's by less
// than tolerance. A candidate that exceeds it by more is ever cleared with a probability of
// at most alpha. It is the sequential probability ratio test of the baseline's rate against
// one that is higher by the tolerance: with a tolerance of 0.2 and an alpha of 0.05, a
// healthy candidate is cleared after 15 answers, and after about 45 where the baseline has
// 20% bad answers.
func NotWorse(baseline, candidate Sample, tolerance, alpha float64) bool {
	limit := min(maxLimit, lowerRate(baseline)+tolerance)
	healthyRate := max(minHealthyRate, lowerRate(baseline))
	good, bad := float64(candidate.Total-candidate.Bad), float64(candidate.Bad)
	ratio := good*math.Log((1-healthyRate)/(1-limit)) + bad*math.Log(healthyRate/limit)
	return ratio >= math.Log(1/alpha)
}

// minHealthyRate is the lowest rate of bad answers that NotWorse assumes of a healthy
// candidate.
const minHealthyRate = 0.01

// maxLimit is the highest rate of bad answers that is tested against: with a limit of 1, no
// version could be above it.
const maxLimit = 0.95

// upperRate returns the estimated rate of bad answers plus a standard error. One bad answer
// in five is added to the sample, so that there is an estimate where the baseline has no
// answers, and so that a few good baseline answers don't make a single failure significant.
func upperRate(s Sample) float64 {
	total := float64(s.Total + 5)
	rate := float64(s.Bad+1) / total
	return rate + math.Sqrt(rate*(1-rate)/total)
}

// lowerRate returns the rate of bad answers, estimated low for small samples: the first bad
// answers of the baseline don't justify clearing a bad candidate.
func lowerRate(s Sample) float64 {
	const priorGoodAnswers = 10
	return float64(s.Bad) / float64(s.Total+priorGoodAnswers)
}
