package gateway

import "math"

const (
	// sessionsFrom is when sessions may take part, as a part of the duration: a session
	// may change its version in the second half only.
	sessionsFrom = 0.51
	// exposurePart is the part of the permitted exposure that a version which shows
	// nothing bad may use up by the end of its roll-out. A version can be bad in a
	// way that shows late or never, for example under a load that doesn't come. The
	// rest is for traffic that isn't even.
	exposurePart = 0.9
	// trialPart is the part of the exposure before the last rise that is spent at an even
	// share from the start. It is for knowing: most bad versions show in some ten
	// answers, and a sound one is completed on about thirty.
	trialPart = 0.5
	// rampFrom and fullAt are when, as parts of the roll-out's duration, the
	// share starts to rise and reaches all requests.
	rampFrom = 0.7
	fullAt   = 0.935
	// completeAt is when the roll-out may be reported as completed: after most
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
	// from is when requests begin to take part, as a part of the duration.
	from float64
	// trial is the share from then on.
	trial float64
	// exponent is the power of the time with which the share rises.
	exponent float64
	// full is when the share reaches all requests, as a part of the duration.
	full float64
}

// newRamp returns the ramp, for a permitted share of a roll-out's requests, of those that
// may take part from a time on.
func newRamp(permitted, from float64) ramp {
	r := ramp{from: from, full: fullAt}
	left := exposurePart*permitted - (1 - fullAt)
	if left <= 0 {
		// The share is too small for a full one before the end: the permitted
		// exposure goes before the time.
		r.full = 1
		r.exponent = maxExponent
		r.trial = trialPart * exposurePart * permitted / (1 - from)
		return r
	}
	// The trial's share lasts until the rise is above it, at the latest until the end.
	r.trial = trialPart * left / (fullAt - from)
	// The area under time to the power n over the width is width / (n + 1).
	const width = fullAt - rampFrom
	r.exponent = min(maxExponent, max(minExponent, width/((1-trialPart)*left)-1))
	return r
}

// share is the part of the requests at a part of the roll-out's duration.
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

// done says whether the roll-out may be reported as completed.
func (r ramp) done(at float64) bool { return at >= max(completeAt, r.full) }
