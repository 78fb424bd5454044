package admission

import "time"

// Stop is a planned stop of a host.
type Stop struct {
	// EndsAt is when the requests in progress are ended.
	EndsAt time.Time
}

// LateRequest is a request that would be sent to an upstream during a planned stop.
type LateRequest struct {
	// Deadline is when its caller stops waiting, so that it has ended by then.
	Deadline time.Time
	// UsualTime is the time in which nearly all requests like this one end, from now on; 0 if it isn't known.
	UsualTime time.Duration
}

// Admits reports whether the request is expected to end before the stop does. Otherwise it may still be refused as not
// run, while one that is sent and has no answer by then may have run.
func (s Stop) Admits(r LateRequest, now time.Time) bool {
	if !r.Deadline.After(s.EndsAt) {
		return true
	}
	return r.UsualTime > 0 && !now.Add(r.UsualTime).After(s.EndsAt)
}

// DurationEstimate estimates the time in which nearly all requests of a kind end, as RFC 6298 does for round-trip times.
// The zero value has seen none.
type DurationEstimate struct {
	mean, deviation time.Duration
}

const (
	// meanDivisor and deviationDivisor are the inverse gains of the estimates, and deviationFactor the deviations that
	// are added to the mean (RFC 6298, section 2).
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
)

// Add adds the duration of a request.
func (e *DurationEstimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return
	}
	difference := d - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
}

// UsualTime returns the time in which nearly all requests end; 0 if none has ended.
func (e *DurationEstimate) UsualTime() time.Duration { return e.mean + deviationFactor*e.deviation }
