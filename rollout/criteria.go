package rollout

import "math"

// criterion is one limit of a rule with its two tests. counts returns how often
// each value that the tests were created with was observed.
type criterion struct {
	reason Reason
	counts func(c *Counters) []uint64
	// stop tests whether the limit is violated, clear tests whether it is kept.
	stop  *meanTest
	clear *meanTest
}

// criteria holds the limits of one rule that are tested.
type criteria struct {
	list       []criterion
	confidence Confidence
}

// binaryValues are the values of an observation that is bad (1) or not (0).
var binaryValues = []float64{0, 1}

func newCriteria(rule VersionRule, confidence Confidence) criteria {
	c := criteria{confidence: confidence.withDefaults()}
	if rule.MaxErrorRate < 1 {
		c.addProportion(ReasonErrors, max(rule.MaxErrorRate, MinErrorRate), errorCounts)
	}
	if rule.MaxLatencyMs > 0 {
		c.addProportion(ReasonLatency, maxSlowShare, slowCounts)
	}
	if rule.MinRating > 0 {
		c.addMeanRating(rule.MinRating)
	}
	return c
}

func errorCounts(c *Counters) []uint64 {
	return []uint64{c.Answers - min(c.Errors, c.Answers), c.Errors}
}

func slowCounts(c *Counters) []uint64 {
	return []uint64{c.Timed - min(c.Slow, c.Timed), c.Slow}
}

// addProportion adds a limit that a proportion must stay below. counts returns
// the numbers of observations without and with the property.
func (c *criteria) addProportion(reason Reason, limit float64, counts func(*Counters) []uint64) {
	c.list = append(c.list, criterion{
		reason: reason,
		counts: counts,
		stop:   newMeanTest(above, limit, binaryValues),
		clear:  newMeanTest(below, limit, binaryValues),
	})
}

// maxTestedRating caps the limit of the mean rating. With a limit of 1, no
// ratings could show that the limit is kept, because no mean rating is above 1.
const maxTestedRating = 0.999

// addMeanRating adds a limit that the mean rating must stay above. Both tests
// are conservative: the stop test takes each rating as the upper edge of its
// bucket, the clear test as the lower edge.
func (c *criteria) addMeanRating(limit float64) {
	limit = min(limit, maxTestedRating)
	low := make([]float64, RatingBuckets)
	high := make([]float64, RatingBuckets)
	for b := range RatingBuckets {
		low[b] = float64(b) / RatingBuckets
		high[b] = float64(b+1) / RatingBuckets
	}
	c.list = append(c.list, criterion{
		reason: ReasonRating,
		counts: func(c *Counters) []uint64 { return c.Ratings },
		stop:   newMeanTest(below, limit, high),
		clear:  newMeanTest(above, limit, low),
	})
}

// violatedLimit returns the first limit that the evidence shows to be violated,
// and the e-value of its test. For a version that keeps all limits, the
// probability that any of the tests ever shows a violation is at most alpha.
func (c *criteria) violatedLimit(counters *Counters, alpha float64) (reason Reason, strength float64, ok bool) {
	threshold := math.Log(float64(len(c.list)) / alpha)
	for i := range c.list {
		limit := &c.list[i]
		if s := limit.stop.logWealth(limit.counts(counters)); s >= threshold {
			return limit.reason, math.Exp(s), true
		}
	}
	return "", 0, false
}

// satisfied reports whether the evidence shows that every limit is kept. Each
// limit is tested at the full error probability: a version that violates one
// limit can be cleared only by passing that limit's test.
func (c *criteria) satisfied(counters *Counters) bool {
	threshold := math.Log(1 / c.confidence.FalseClear)
	for i := range c.list {
		limit := &c.list[i]
		if limit.clear.logWealth(limit.counts(counters)) < threshold {
			return false
		}
	}
	return true
}
