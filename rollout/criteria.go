package rollout

import "math"

// criterion is one limit of a rule with its two tests. counts returns the number
// of occurrences of each value that the tests take.
type criterion struct {
	reason Reason
	counts func(c *Counters) []uint64
	// stop tests whether the limit is violated, clear whether it is kept.
	stop  *meanTest
	clear *meanTest
}

// criteria are the limits of one rule that are tested.
type criteria struct {
	list       []criterion
	confidence Confidence
}

// binaryValues are the values of a Boolean observation.
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

// addProportion adds a limit that a proportion must stay below.
func (c *criteria) addProportion(reason Reason, limit float64, counts func(*Counters) []uint64) {
	c.list = append(c.list, criterion{
		reason: reason,
		counts: counts,
		stop:   newMeanTest(above, limit, binaryValues),
		clear:  newMeanTest(below, limit, binaryValues),
	})
}

// maxMinRating is the highest limit of the mean rating that is tested: with a
// limit of 1, no rating could be above it.
const maxMinRating = 0.999

// addMeanRating adds a limit that the mean rating must stay above. Both tests
// are conservative: each uses the edge of a bucket that makes its own finding
// less likely.
func (c *criteria) addMeanRating(limit float64) {
	limit = min(limit, maxMinRating)
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

// violated returns the first limit that the evidence shows to be violated, at
// the error probability alpha for all limits together.
func (c *criteria) violated(counters *Counters, alpha float64) (reason Reason, strength float64, ok bool) {
	threshold := math.Log(float64(len(c.list)) / alpha)
	for i := range c.list {
		k := &c.list[i]
		if s := k.stop.logWealth(k.counts(counters)); s >= threshold {
			return k.reason, math.Exp(s), true
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
		k := &c.list[i]
		if k.clear.logWealth(k.counts(counters)) < threshold {
			return false
		}
	}
	return true
}
