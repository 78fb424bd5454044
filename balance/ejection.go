package balance

import (
	"cmp"
	"time"
)

// Defaults of Ejection.
const (
	DefaultConsecutiveErrors = 5
	DefaultEjectErrorRate    = 0.4
	DefaultEjectBase         = 5 * time.Second
	DefaultEjectMax          = 2 * time.Minute
)

// Ejection says when an upstream is ejected, and for how long. Zero fields
// mean the defaults.
type Ejection struct {
	// ConsecutiveErrors in a row eject.
	ConsecutiveErrors int
	// ErrorRate ejects when the decayed error rate reaches it.
	ErrorRate float64
	// Base is the length of the first ejection. Each ejection that follows
	// without a success between doubles it, up to Max. The length is spread
	// at random over half to one and a half of that, so that hosts don't
	// return together.
	Base time.Duration
	Max  time.Duration
}

func (c Ejection) withDefaults() Ejection {
	c.ConsecutiveErrors = cmp.Or(c.ConsecutiveErrors, DefaultConsecutiveErrors)
	c.ErrorRate = cmp.Or(c.ErrorRate, DefaultEjectErrorRate)
	c.Base = cmp.Or(c.Base, DefaultEjectBase)
	c.Max = cmp.Or(c.Max, DefaultEjectMax)
	return c
}

// ejectionState counts errors and ejections of one upstream.
type ejectionState struct {
	consecutive int
	// ejections counts the ejections since the last success.
	ejections int
	until     time.Time
}

// observe takes in an outcome and returns when the ejection ends. Outcomes of
// requests that were under way during an ejection don't prolong it.
func (s *ejectionState) observe(failed bool, rate float64, now time.Time, c Ejection, jitter float64) time.Time {
	c = c.withDefaults()
	if now.Before(s.until) {
		return s.until
	}
	if !failed {
		s.consecutive = 0
		s.ejections = 0
		return s.until
	}
	s.consecutive++
	// After an ejection the first error is enough: the upstream is on trial.
	if s.ejections > 0 || s.consecutive >= c.ConsecutiveErrors || rate >= c.ErrorRate {
		s.until = now.Add(s.duration(c, jitter))
		s.ejections++
		s.consecutive = 0
	}
	return s.until
}

func (s *ejectionState) duration(c Ejection, jitter float64) time.Duration {
	length := c.Base
	for range s.ejections {
		length = min(2*length, c.Max)
	}
	return time.Duration(float64(length) * (0.5 + jitter))
}
