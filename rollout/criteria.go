package rollout

import "math"

// criterion is one limit of a rule with its two tests.
type criterion struct {
	reason Reason
	counts func(c *Counters) []uint64
	// stop finds evidence against the version, clear evidence for it.
	stop  *meanTest
	clear *meanTest
}

// criteria are the limits of one rule that count.
type criteria struct {
	list       []criterion
	confidence Confidence
}

// binary are the values of a yes or no observation.
var binary = []float64{0, 1}

func newCriteria(rule VersionRule, confidence Confidence) criteria {
	c := criteria{confidence: confidence.withDefaults()}
	if rule.MaxErrorRate < 1 {
		c.addShare(ReasonErrors, max(rule.MaxErrorRate, MinErrorRate), errorCounts)
	}
	if rule.MaxLatencyMs > 0 {
		c.addShare(ReasonLatency, slowShare, slowCounts)
	}
	if rule.MinRating > 0 {
		c.addRating(rule.MinRating)
	}
	return c
}

func errorCounts(c *Counters) []uint64 {
	return []uint64{c.Answers - min(c.Errors, c.Answers), c.Errors}
}

func slowCounts(c *Counters) []uint64 {
	return []uint64{c.Timed - min(c.Slow, c.Timed), c.Slow}
}

// addShare adds a limit that a share must stay below.
func (c *criteria) addShare(reason Reason, limit float64, counts func(*Counters) []uint64) {
	c.list = append(c.list, criterion{
		reason: reason,
		counts: counts,
		stop:   newMeanTest(above, limit, binary),
		clear:  newMeanTest(below, limit, binary),
	})
}

// maxMinRating keeps the limit below 1, where no rating could be above it.
const maxMinRating = 0.999

// addRating adds a limit that the mean rating must stay above. Each test
// takes the edge of a bucket that speaks against its own finding.
func (c *criteria) addRating(limit float64) {
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

// violated returns the first limit that the evidence shows to be broken, at
// the error probability alpha for all limits together.
func (c *criteria) violated(counters *Counters, alpha float64) (reason Reason, strength float64, ok bool) {
	threshold := math.Log(float64(len(c.list)) / alpha)
	for i := range c.list {
		k := &c.list[i]
		if s := k.stop.logStrength(k.counts(counters)); s >= threshold {
			return k.reason, math.Exp(s), true
		}
	}
	return "", 0, false
}

// satisfied says whether the evidence shows that every limit is kept. Each
// limit is tested at the full error probability: a version outside one limit
// must pass that limit's own test.
func (c *criteria) satisfied(counters *Counters) bool {
	threshold := math.Log(1 / c.confidence.FalseClear)
	for i := range c.list {
		k := &c.list[i]
		if k.clear.logStrength(k.counts(counters)) < threshold {
			return false
		}
	}
	return true
}
