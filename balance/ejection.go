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

// Ejection configures when an upstream is ejected, that is, receives no requests
// for a time, and for how long. Zero fields mean the defaults.
type Ejection struct {
	// ConsecutiveErrors is the number of consecutive errors at which an
	// upstream is ejected.
	ConsecutiveErrors int
	// ErrorRate is the decayed error rate at which an upstream is ejected.
	ErrorRate float64
	// Base is the mean duration of the first ejection. The mean doubles with
	// each further ejection without a success in between, up to Max. The actual
	// duration is drawn at random from half to one and a half times the mean,
	// so that the entry hosts don't resume sending to the upstream at the same
	// time.
	Base time.Duration
	Max  time.Duration
}

func (e Ejection) withDefaults() Ejection {
	e.ConsecutiveErrors = cmp.Or(e.ConsecutiveErrors, DefaultConsecutiveErrors)
	e.ErrorRate = cmp.Or(e.ErrorRate, DefaultEjectErrorRate)
	e.Base = cmp.Or(e.Base, DefaultEjectBase)
	e.Max = cmp.Or(e.Max, DefaultEjectMax)
	return e
}

// ejectionState holds the error and ejection counts of one upstream, and the end
// of its latest ejection.
type ejectionState struct {
	consecutiveErrors int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
}

// observe records whether a request failed and returns the end of the latest
// ejection. jitter is a random number from 0 to 1. Outcomes during an ejection
// are ignored, because they belong to requests sent before it.
func (s *ejectionState) observe(failed bool, errorRate float64, now time.Time, config Ejection, jitter float64) time.Time {
	config = config.withDefaults()
	if now.Before(s.ejectedUntil) {
		return s.ejectedUntil
	}
	if !failed {
		s.consecutiveErrors = 0
		s.ejections = 0
		return s.ejectedUntil
	}
	s.consecutiveErrors++
	// After an ejection, until the first success, a single error ejects again.
	if s.ejections > 0 || s.consecutiveErrors >= config.ConsecutiveErrors || errorRate >= config.ErrorRate {
		s.ejectedUntil = now.Add(s.duration(config, jitter))
		s.ejections++
		s.consecutiveErrors = 0
	}
	return s.ejectedUntil
}

func (s *ejectionState) duration(config Ejection, jitter float64) time.Duration {
	mean := config.Base
	for range s.ejections {
		mean = min(2*mean, config.Max)
	}
	return time.Duration(float64(mean) * (0.5 + jitter))
}
