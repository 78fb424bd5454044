package rollout

import (
	"cmp"
	"math"
)

// Confidence sets the error probabilities of the tests. Zero fields mean the
// defaults.
type Confidence struct {
	// FalseStop bounds the probability that a version within its limits is
	// ever stopped by the evidence of the whole round.
	FalseStop float64
	// FalseClear bounds the probability that a version outside a limit is
	// cleared.
	FalseClear float64
	// FalseStopSpan bounds the probability that a version within its limits
	// is stopped by the evidence of one span of consecutive segments.
	FalseStopSpan float64
}

// Defaults of Confidence.
const (
	DefaultFalseStop     = 0.01
	DefaultFalseClear    = 0.05
	DefaultFalseStopSpan = 1e-6
)

// MinErrorRate is the lowest limit of an error rate that is tested: with a
// lower one, clearing a version would take an unreasonable number of answers.
const MinErrorRate = 0.001

// maxSlowShare is the proportion of times to first token that may be above the
// limit of the 95th percentile.
const maxSlowShare = 0.05

func (c Confidence) withDefaults() Confidence {
	c.FalseStop = cmp.Or(c.FalseStop, DefaultFalseStop)
	c.FalseClear = cmp.Or(c.FalseClear, DefaultFalseClear)
	c.FalseStopSpan = cmp.Or(c.FalseStopSpan, DefaultFalseStopSpan)
	return c
}

// bets are the bets that a meanTest mixes, as fractions of the highest bet for
// which no value makes a factor negative.
var bets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 0.95}

// alternative is the alternative hypothesis of a meanTest: whether the mean is
// above or below the limit.
type alternative int

const (
	above alternative = iota
	below
)

// meanTest is a sequential test of the mean of values from 0 to 1 against a
// limit. It is a uniform mixture of test martingales with fixed bets: each
// value x multiplies the wealth of a bet b by 1+b*(x-limit). Under the null
// hypothesis the wealth ever exceeds 1/alpha with a probability of at most
// alpha (Ville's inequality), however often it is compared with 1/alpha. With
// fixed bets the result doesn't depend on the order of the values, so the
// counters of many hosts can be added up first. For errors it is a mixture of
// sequential probability ratio tests. See Waudby-Smith and Ramdas, "Estimating
// means of bounded random variables by betting".
type meanTest struct {
	// logFactors[b][v] is the logarithm of the factor of bet b for value v.
	logFactors [][]float64
}

// newMeanTest returns a test of whether the mean is on the given side of limit,
// which is above 0 and below 1. values lists all values that can be observed.
func newMeanTest(side alternative, limit float64, values []float64) *meanTest {
	t := &meanTest{logFactors: make([][]float64, len(bets))}
	for i, bet := range bets {
		lambda := bet / limit
		if side == below {
			lambda = -bet / (1 - limit)
		}
		t.logFactors[i] = make([]float64, len(values))
		for v, x := range values {
			t.logFactors[i][v] = math.Log1p(lambda * (x - limit))
		}
	}
	return t
}

// logWealth returns the logarithm of the wealth after counts[v] observations of
// the value of index v.
func (t *meanTest) logWealth(counts []uint64) float64 {
	logWealths := make([]float64, len(t.logFactors))
	highest := math.Inf(-1)
	for i, row := range t.logFactors {
		for v, n := range counts {
			if n != 0 {
				logWealths[i] += float64(n) * row[v]
			}
		}
		highest = max(highest, logWealths[i])
	}
	sum := 0.0
	for _, l := range logWealths {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logWealths)))
}
