package rollout

import "math"

// AnswerCounts holds the number of answers of one version and of the bad ones among
// them.
type AnswerCounts struct {
	Bad   int
	Total int
}

// counts returns the numbers of good and of bad answers, in the order that a meanTest with
// binaryValues expects.
func (s AnswerCounts) counts() []uint64 {
	return []uint64{uint64(max(0, s.Total-s.Bad)), uint64(s.Bad)}
}

// IsWorse reports whether the candidate version's rate of bad answers is higher than that of the
// baseline version over the same time, so that an outage that affects both versions counts against
// neither. It is a sequential test, which may be evaluated after every answer. The test depends
// only on the total counts of answers, so the counts of many hosts can be added. The baseline's
// rate is an estimate, so a standard error is added to it.
//
// For a candidate that is as good as the baseline, IsWorse ever returns true with a probability
// of about alpha. The probability is higher if both versions have the same number of answers
// and half of these are bad: up to two percent with an alpha of 0.002. With this alpha, a
// candidate with 50% bad answers is found worse after 7 to 16 of its answers if the baseline
// is healthy, and after 30 to 40 if the baseline has 20% bad answers (seeded runs, see the
// tests).
func IsWorse(baseline, candidate AnswerCounts, alpha float64) bool {
	test := newMeanTest(above, min(maxTestedRate, upperRate(baseline)), binaryValues)
	return test.logWealth(candidate.counts()) >= math.Log(1/alpha)
}

// IsNotWorse reports whether the candidate's rate of bad answers exceeds the baseline's by less
// than tolerance. For a candidate whose rate exceeds it by more, IsNotWorse ever returns true
// with a probability of at most alpha. It is the sequential probability ratio test of the
// baseline's rate against one that is higher by the tolerance. With a tolerance of 0.2 and an
// alpha of 0.05, it returns true for a healthy candidate after 15 answers, and for one as good
// as the baseline after about 45 if the baseline has 20% bad answers.
func IsNotWorse(baseline, candidate AnswerCounts, tolerance, alpha float64) bool {
	return notWorseRatio(baseline, candidate, tolerance) >= math.Log(1/alpha)
}

// Stratum holds the answers of both versions under like conditions, as those to requests of one
// route.
type Stratum struct {
	Baseline  AnswerCounts
	Candidate AnswerCounts
}

// IsNotWorseInStrata is IsNotWorse with each stratum's own rate of the baseline: the ratios of the
// strata are multiplied. It needs fewer answers than IsNotWorse of the sums if the baseline's rates
// differ, and the result doesn't depend on how the requests are distributed over the strata.
func IsNotWorseInStrata(strata []Stratum, tolerance, alpha float64) bool {
	ratio := 0.0
	for _, s := range strata {
		ratio += notWorseRatio(s.Baseline, s.Candidate, tolerance)
	}
	return ratio >= math.Log(1/alpha)
}

// notWorseRatio returns the logarithm of the likelihood ratio of the baseline's rate against one that
// is higher by the tolerance; 0 if the baseline's rate is too high for a higher one to be tested.
func notWorseRatio(baseline, candidate AnswerCounts, tolerance float64) float64 {
	limit := min(maxTestedRate, lowerRate(baseline)+tolerance)
	healthyRate := max(minHealthyRate, lowerRate(baseline))
	if healthyRate >= limit {
		return 0
	}
	good, bad := float64(candidate.Total-candidate.Bad), float64(candidate.Bad)
	return good*math.Log((1-healthyRate)/(1-limit)) + bad*math.Log(healthyRate/limit)
}

// minHealthyRate is the lowest rate of bad answers that IsNotWorse assumes for a healthy
// candidate.
const minHealthyRate = 0.01

// maxTestedRate caps the rate of bad answers that a candidate is tested against. With a rate of 1,
// IsWorse would never return true, because no candidate's rate is higher, and IsNotWorse would
// divide by zero. A candidate with only bad answers is above 0.95 and can still be found worse.
const maxTestedRate = 0.95

// upperRate returns the estimated rate of bad answers plus a standard error. Five answers, one
// of them bad, are added to the sample, so that there is an estimate if the baseline has no
// answers, and so that a single failure of the candidate isn't significant after only a few
// good answers of the baseline.
func upperRate(s AnswerCounts) float64 {
	total := float64(s.Total + 5)
	rate := float64(s.Bad+1) / total
	return rate + math.Sqrt(rate*(1-rate)/total)
}

// lowerRate returns the rate of bad answers after adding priorGoodAnswers good ones, which makes
// the estimate low for small samples. Otherwise a few early bad answers of the baseline would raise
// the rate that IsNotWorse allows so far that a bad candidate is cleared.
func lowerRate(s AnswerCounts) float64 {
	const priorGoodAnswers = 10
	return float64(s.Bad) / float64(s.Total+priorGoodAnswers)
}
