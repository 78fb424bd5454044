package rollout

import "math"

// Sample counts answers of one version and how many of them were bad.
type Sample struct {
	Bad   int
	Total int
}

// counts are the good and the bad answers, as a test of the values 0 and 1 takes them.
func (s Sample) counts() []uint64 {
	return []uint64{uint64(max(0, s.Total-s.Bad)), uint64(s.Bad)}
}

// Worse says that a new version's answers are bad more often than those that the old one
// gave at the same time, so that an outage which spoils answers of both speaks against
// neither. It is the sequential test of the new version's rate against the old one's,
// which may be looked at after every answer, and depends on sums only, so that many
// hosts' counts can be added. The old version's rate is an estimate: a standard error is
// added to it.
//
// A version that is like the old one is stopped with a probability of about alpha at any
// time; where both have as many answers and half of all are bad, with up to two percent.
// With an alpha of 0.002 a version of which half of the answers are bad is stopped after
// 7 to 16 of them beside a sound one, after 30 to 40 beside one with 20% bad answers
// (seeded runs, see the tests).
func Worse(old, fresh Sample, alpha float64) bool {
	test := newMeanTest(above, min(maxLimit, upperRate(old)), binary)
	return test.logStrength(fresh.counts()) >= math.Log(1/alpha)
}

// Cleared says that the new version's answers aren't bad more often than the old one's
// by tolerance, a part of all answers, at the probability alpha of saying so at any time
// of a version that is. It is the sequential probability ratio test of the old version's
// rate against one that is higher by the tolerance: with a tolerance of 0.2 and an alpha of
// 0.05 a sound version is cleared after 15 answers, one beside a base of 20% bad answers
// after about 45.
func Cleared(old, fresh Sample, tolerance, alpha float64) bool {
	limit := min(maxLimit, lowerRate(old)+tolerance)
	like := max(minRate, lowerRate(old))
	good, bad := float64(fresh.Total-fresh.Bad), float64(fresh.Bad)
	ratio := good*math.Log((1-like)/(1-limit)) + bad*math.Log(like/limit)
	return ratio >= math.Log(1/alpha)
}

// minRate is the rate of bad answers that a sound version may have in the test that clears
// it.
const minRate = 0.01

// maxLimit keeps a limit below 1, where each version would be on the same side of it.
const maxLimit = 0.95

// upperRate is the rate of bad answers with a standard error. One bad answer of five is
// added, so that a version is judged also where the old one has no answers, and a short
// good record doesn't make every failure telling.
func upperRate(s Sample) float64 {
	total := float64(s.Total + 5)
	rate := float64(s.Bad+1) / total
	return rate + math.Sqrt(rate*(1-rate)/total)
}

// lowerRate is the rate of bad answers, taken low where there are few: the first bad
// answers of the old version don't excuse a new one.
func lowerRate(s Sample) float64 {
	const goodAnswers = 10
	return float64(s.Bad) / float64(s.Total+goodAnswers)
}
