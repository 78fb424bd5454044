package gateway

import "math"

const (
	// canaryPart is the part of the permitted share that a new version gets from
	// the start, and of sessions from sessionsFrom on, a part of the duration: a
	// session may change its version in the second half only. It shows most bad
	// versions at the cost of a few answers.
	canaryPart   = 0.2
	sessionsFrom = 0.51
	// exposurePart is the part of the permitted exposure that a version which shows
	// nothing bad may use up by the end of its roll-out. A version can be bad in a
	// way that shows late or never, for example under a load that doesn't come. The
	// rest is for traffic that isn't even.
	exposurePart = 0.9
	// rampFrom and fullAt are when, as parts of the roll-out's duration, the
	// share starts to rise and reaches all requests.
	rampFrom = 0.7
	fullAt   = 0.935
	// completeAt is when the roll-out is reported as completed: after most
	// answers that began on the old version are over, and early enough for the
	// status to be in the store before the roll-out's time is up, although the order
	// may have been heard of a second late.
	completeAt = 0.95
	// minExponent and maxExponent bound how steeply the share rises.
	minExponent = 2
	maxExponent = 200
)

// ramp is how a new version's share rises with time, such that its part of all
// requests from the order to the end stays below the permitted share even if
// nothing ever speaks against it.
type ramp struct {
	// canary is the share from the start.
	canary float64
	// exponent is the power of the time with which the share rises.
	exponent float64
	// full is when the share reaches all requests, as a part of the duration.
	full float64
}

// newRamp returns the ramp for a permitted share of a roll-out's requests.
func newRamp(permitted float64) ramp {
	r := ramp{canary: canaryPart * permitted, full: fullAt}
	left := exposurePart*permitted - (1 - fullAt) - fullAt*r.canary
	if left <= 0 {
		// The share is too small for a full one before the end: the permitted
		// exposure goes before the time.
		r.full = 1
		r.exponent = maxExponent
		return r
	}
	// The area under time to the power n over the width is width / (n + 1).
	const width = fullAt - rampFrom
	r.exponent = min(maxExponent, max(minExponent, width/left-1))
	return r
}

// sessions is the share of sessions at a part of the roll-out's duration.
func (r ramp) sessions(at float64) float64 {
	switch {
	case at <= sessionsFrom:
		return 0
	case at <= rampFrom:
		return r.canary
	default:
		return max(r.canary, math.Pow(min(1, (at-rampFrom)/(r.full-rampFrom)), r.exponent))
	}
}

// done says whether the roll-out may be reported as completed.
func (r ramp) done(at float64) bool { return at >= max(completeAt, r.full) }

// all is the share of requests without a session.
func (r ramp) all(at float64) float64 { return max(r.canary, r.sessions(at)) }
