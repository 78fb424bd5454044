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

// Ejection configures when an upstream is ejected, and for how long. Zero
// fields mean the defaults.
type Ejection struct {
	// ConsecutiveErrors is the number of consecutive errors that ejects.
	ConsecutiveErrors int
	// ErrorRate is the decayed error rate that ejects.
	ErrorRate float64
	// Base is the duration of the first ejection. It doubles with each
	// further ejection without a success in between, up to Max. The actual
	// duration is drawn from half to one and a half times that, so that the
	// entry hosts don't resume sending to the upstream at the same time.
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

// ejectionState holds the error and ejection counts of one upstream.
type ejectionState struct {
	consecutive int
	// ejections counts the ejections since the last success.
	ejections int
	until     time.Time
}

// observe records an outcome and returns the end of the latest ejection.
// Outcomes during an ejection are ignored: they belong to requests sent
// before it.
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
	// After an ejection, until the first success, a single error ejects again.
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
