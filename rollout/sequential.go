package rollout

import (
	"cmp"
	"math"
)

// Confidence sets the error probabilities of the tests. Zero fields mean the
// defaults.
type Confidence struct {
	// FalseStop bounds the probability that a version within its limits is
	// ever stopped by its whole evidence.
	FalseStop float64
	// FalseClear bounds the probability that a version outside a limit is
	// cleared.
	FalseClear float64
	// FalseStopSpan bounds the probability that a version within its limits
	// is stopped by the evidence of one span of adjoining periods.
	FalseStopSpan float64
}

// Defaults of Confidence.
const (
	DefaultFalseStop     = 0.01
	DefaultFalseClear    = 0.05
	DefaultFalseStopSpan = 1e-6
)

// MinErrorRate is the lowest limit of an error rate that is tested: below it
// no reasonable number of answers could clear a version.
const MinErrorRate = 0.001

// slowShare is the share of first tokens that may be above the limit of the
// 95th percentile.
const slowShare = 0.05

func (c Confidence) withDefaults() Confidence {
	c.FalseStop = cmp.Or(c.FalseStop, DefaultFalseStop)
	c.FalseClear = cmp.Or(c.FalseClear, DefaultFalseClear)
	c.FalseStopSpan = cmp.Or(c.FalseStopSpan, DefaultFalseStopSpan)
	return c
}

// bets are the fractions of the highest permitted bet that a meanTest mixes.
var bets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 0.95}

// side is the alternative that a meanTest looks for.
type side int

const (
	above side = iota
	below
)

// meanTest is a sequential test of the mean of values from 0 to 1 against a
// limit. It is a uniform mixture of test martingales with fixed bets: each
// value x multiplies the wealth of a bet b by 1+b*(x-limit). Under the null
// hypothesis the wealth exceeds 1/alpha at any time with a probability of at
// most alpha (Ville's inequality), however often it is looked at. Fixed bets
// make it independent of the values' order, so the counters of many hosts can
// be added up first. For errors it is a mixture of sequential probability
// ratio tests. See Waudby-Smith and Ramdas, "Estimating means of bounded
// random variables by betting".
type meanTest struct {
	// logs[b][v] is the logarithm of the factor of bet b at value v.
	logs [][]float64
}

// newMeanTest tests whether the mean is on the given side of limit, which is
// above 0 and below 1, for values from the list.
func newMeanTest(s side, limit float64, values []float64) *meanTest {
	t := &meanTest{logs: make([][]float64, len(bets))}
	for i, bet := range bets {
		lambda := bet / limit
		if s == below {
			lambda = -bet / (1 - limit)
		}
		t.logs[i] = make([]float64, len(values))
		for v, x := range values {
			t.logs[i][v] = math.Log1p(lambda * (x - limit))
		}
	}
	return t
}

// logStrength returns the logarithm of the wealth after counts[v] occurrences
// of each value.
func (t *meanTest) logStrength(counts []uint64) float64 {
	logs := make([]float64, len(t.logs))
	highest := math.Inf(-1)
	for i, row := range t.logs {
		for v, n := range counts {
			if n != 0 {
				logs[i] += float64(n) * row[v]
			}
		}
		highest = max(highest, logs[i])
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}
