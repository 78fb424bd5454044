package rollout

import (
	"time"

	exposure "github.com/quetzalweir/quetzalweir/rollout"
)

// The usual analysis of a share-based canary: at fixed intervals, means are
// compared with fixed thresholds; it passes after a number of intervals.
const (
	canaryInterval  = time.Minute
	canaryAnswers   = 20
	canaryIntervals = 5
)

// canary is the baseline on one host: it knows its own answers only.
type canary struct {
	clock    func() time.Time
	counters exposure.Counters
	rated    int
	ratings  float64
	next     time.Time
	passed   int
	failed   bool
}

type canaries []*canary

// shareCanary builds hosts that each take the version's whole share until
// their own analysis fails.
func shareCanary(s setting, clock func() time.Time) cluster {
	var c canaries
	for range s.hosts {
		c = append(c, &canary{clock: clock, next: clock().Add(canaryInterval)})
	}
	return c
}

func (c canaries) host(i int) policy { return c[i] }
func (c canaries) exchange(int)      {}

func (c *canary) take() bool {
	c.analyse()
	return !c.failed
}

func (c *canary) observe(o exposure.Outcome) {
	c.counters.Answers++
	if o.Failed {
		c.counters.Errors++
	}
	if o.FirstToken > maxLatency {
		c.counters.Slow++
	}
}

func (c *canary) rate(rating float64) {
	c.rated++
	c.ratings += rating
}

func (c *canary) stopped() bool { return c.failed }
func (c *canary) cleared() bool { return !c.failed && c.passed >= canaryIntervals }

func (c *canary) analyse() {
	if c.failed || c.clock().Before(c.next) {
		return
	}
	c.next = c.clock().Add(canaryInterval)
	if c.counters.Answers < canaryAnswers {
		return
	}
	c.failed = c.violated()
	c.passed++
	c.counters = exposure.Counters{}
	c.rated, c.ratings = 0, 0
}

func (c *canary) violated() bool {
	answers := float64(c.counters.Answers)
	poor := c.rated > 0 && c.ratings/float64(c.rated) < minRating
	return float64(c.counters.Errors)/answers > maxErrorRate ||
		float64(c.counters.Slow)/answers > 0.05 || poor
}
