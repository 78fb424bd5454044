package rollout

import (
	"time"

	exposure "github.com/quetzalweir/quetzalweir/rollout"
)

// Parameters of the usual analysis of a share-based canary: at fixed intervals,
// means are compared with fixed thresholds, and the canary passes after a
// number of intervals.
const (
	canaryInterval     = time.Minute
	canaryMinAnswers   = 20
	canaryMinIntervals = 5
)

// hostCanary is the baseline policy on one host. It uses the answers of this
// host only.
type hostCanary struct {
	clock             func() time.Time
	counters          exposure.Counters
	ratingCount       int
	ratingSum         float64
	nextAnalysis      time.Time
	analysedIntervals int
	failed            bool
}

type hostCanaries []*hostCanary

// newHostCanaries builds hosts that each send the version its full share until
// their own analysis fails.
func newHostCanaries(s setting, clock func() time.Time) cluster {
	var c hostCanaries
	for range s.hostCount {
		c = append(c, &hostCanary{clock: clock, nextAnalysis: clock().Add(canaryInterval)})
	}
	return c
}

func (c hostCanaries) host(i int) policy { return c[i] }
func (c hostCanaries) exchange(int)      {}

func (c *hostCanary) take() bool {
	c.analyse()
	return !c.failed
}

func (c *hostCanary) observe(o exposure.Outcome) {
	c.counters.Answers++
	if o.Failed {
		c.counters.Errors++
	}
	if o.FirstToken > maxLatency {
		c.counters.Slow++
	}
}

func (c *hostCanary) observeRating(rating float64) {
	c.ratingCount++
	c.ratingSum += rating
}

func (c *hostCanary) stopped() bool { return c.failed }
func (c *hostCanary) cleared() bool { return !c.failed && c.analysedIntervals >= canaryMinIntervals }

func (c *hostCanary) analyse() {
	if c.failed || c.clock().Before(c.nextAnalysis) {
		return
	}
	c.nextAnalysis = c.clock().Add(canaryInterval)
	if c.counters.Answers < canaryMinAnswers {
		return
	}
	c.failed = c.violatesLimits()
	c.analysedIntervals++
	c.counters = exposure.Counters{}
	c.ratingCount, c.ratingSum = 0, 0
}

func (c *hostCanary) violatesLimits() bool {
	answers := float64(c.counters.Answers)
	lowRating := c.ratingCount > 0 && c.ratingSum/float64(c.ratingCount) < minRating
	return float64(c.counters.Errors)/answers > maxErrorRate ||
		float64(c.counters.Slow)/answers > 0.05 || lowRating
}
