package gateway

import "math"

const (
	// sessionsFrom is when requests of sessions begin to take part, as a fraction of the duration:
	// a session may change its version in the second half only.
	sessionsFrom = 0.51
	// exposureFraction is the fraction of the permitted exposure that a version without bad results
	// may use by the end of its roll-out. A version can have a fault that shows late or never, for
	// example only under a load that doesn't occur. The rest is a margin for uneven traffic.
	exposureFraction = 0.9
	// trialFraction is the fraction of the exposure before the final rise that is spent at a constant
	// share from the start. It serves detection: most bad versions show within some ten answers,
	// and a sound one is completed on about thirty.
	trialFraction = 0.5
	// rampFrom is when the share starts to rise and fullAt when it reaches all requests, as
	// fractions of the roll-out's duration.
	rampFrom = 0.7
	fullAt   = 0.935
	// completeAt is when the roll-out may be reported as completed: after most answers that began
	// on the old version are over, and early enough for the status to be stored before the
	// roll-out's time is up, although the order may have been received a second late.
	completeAt = 0.95
	// minExponent and maxExponent bound how steeply the share rises.
	minExponent = 2
	maxExponent = 200
)

// ramp defines how a new version's share rises with time. Its fraction of all requests from the
// order to the end stays below the permitted share even if no fault is ever detected.
type ramp struct {
	// from is when requests begin to take part, as a fraction of the duration.
	from float64
	// trial is the constant share from then until the rise.
	trial float64
	// exponent is the power of time by which the share rises.
	exponent float64
	// full is when the share reaches all requests, as a fraction of the duration.
	full float64
}

// newRamp returns the ramp for requests that take part from the given fraction of the duration on,
// for a permitted share of a roll-out's requests.
func newRamp(permitted, from float64) ramp {
	r := ramp{from: from, full: fullAt}
	left := exposureFraction*permitted - (1 - fullAt)
	if left <= 0 {
		// The permitted share is too small to reach all requests before the end: keeping the
		// exposure bound takes precedence over finishing early.
		r.full = 1
		r.exponent = maxExponent
		r.trial = trialFraction * exposureFraction * permitted / (1 - from)
		return r
	}
	// The trial's share applies until the rising share exceeds it, at the latest until the end.
	r.trial = trialFraction * left / (fullAt - from)
	// The integral of x to the power n from 0 to width, scaled to reach 1, is width / (n + 1).
	const width = fullAt - rampFrom
	r.exponent = min(maxExponent, max(minExponent, width/((1-trialFraction)*left)-1))
	return r
}

// share returns the share of requests at a fraction of the roll-out's duration.
func (r ramp) share(at float64) float64 {
	switch {
	case at < r.from:
		return 0
	case at <= rampFrom:
		return r.trial
	default:
		return max(r.trial, math.Pow(min(1, (at-rampFrom)/(r.full-rampFrom)), r.exponent))
	}
}

// done reports whether the roll-out may be reported as completed.
func (r ramp) done(at float64) bool { return at >= max(completeAt, r.full) }
