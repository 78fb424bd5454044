package gateway

import (
	"math"
	"time"
)

const (
	// sessionsFrom is when requests of sessions begin to run on the new version, as a fraction of
	// the roll-out's duration. A session may change its version only in the second half.
	sessionsFrom = 0.51
	// exposureFraction is the fraction of the permitted exposure that a version may use by the end
	// of its roll-out if it gives no bad answers. Such a version is bounded too, since it can have
	// a fault that shows late or only under load. The rest of the exposure is a margin for uneven
	// traffic.
	exposureFraction = 0.95
	// fullLoadFraction is the fraction of the exposure that is used with all requests on the new
	// version, since some versions fail only under the full load. maxFullLoadTime is the longest time
	// for that, as a fraction of the roll-out's duration.
	fullLoadFraction = 0.7
	maxFullLoadTime  = 0.1
	// maxHeadroomTime is the longest time at full load if the permitted number of requests beyond the
	// share is used, too. headroomFraction is the fraction of that number that is used.
	maxHeadroomTime  = 0.15
	headroomFraction = 0.5
	// initialFraction is the fraction of the exposure before full load that is used at a constant
	// share from the start of the roll-out, so that bad versions are detected early. Most of them
	// are detected within about ten answers.
	initialFraction = 0.7
	// riseFrom is when the share starts to rise, as a fraction of the roll-out's duration.
	riseFrom = 0.7
	// completeAt is when the roll-out may be reported as completed, as a fraction of its duration. It
	// is early enough for the status to be stored before the duration has passed, even if the order
	// was received half a second late.
	completeAt = 0.955
	// minExponent and maxExponent bound the exponent of the rising share.
	minExponent = 2
	maxExponent = 1000
)

// ramp defines how a new version's share rises with time. Over the whole duration of the roll-out,
// the new version's fraction of all requests stays below the permitted share even if no fault is
// detected. Times are fractions of the roll-out's duration.
type ramp struct {
	// startsAt is when the new version gets its first requests.
	startsAt float64
	// initialShare is the constant share from startsAt until the rising share exceeds it.
	initialShare float64
	// exponent is the exponent of the rising share, which is a power of the time since riseFrom.
	exponent float64
	// fullAt is when the share reaches all requests.
	fullAt float64
}

// newRamp returns the ramp of a version whose fraction of all requests during the roll-out must not
// exceed permitted, and that gets requests from the given fraction of the duration on.
func newRamp(permitted, from float64) ramp {
	exposure := exposureFraction * permitted
	fullLoadTime := min(maxFullLoadTime, fullLoadFraction*exposure)
	left := exposure - fullLoadTime
	r := ramp{startsAt: from, fullAt: 1 - fullLoadTime}
	// The initial share applies from startsAt to fullAt at most.
	r.initialShare = initialFraction * left / (r.fullAt - from)
	// A share that rises with the power n from 0 to 1 over a time of width has the integral
	// width / (n + 1).
	width := r.fullAt - riseFrom
	r.exponent = min(maxExponent, max(minExponent, width/((1-initialFraction)*left)-1))
	return r
}

// withHeadroom returns the ramp of a version that may get a number of requests beyond its share. They
// are used to reach the full load earlier: a service with few requests gets too few answers at full
// load otherwise. rate is the service's number of requests a second; 0 if it isn't known.
func (r ramp) withHeadroom(requests, rate float64, duration time.Duration) ramp {
	if requests <= 0 || rate <= 0 || duration <= 0 {
		return r
	}
	earlier := headroomFraction * requests / rate / duration.Seconds()
	r.fullAt = min(r.fullAt, max(r.fullAt-earlier, 1-maxHeadroomTime))
	return r
}

// share returns the new version's share of requests at the given fraction of the roll-out's
// duration.
func (r ramp) share(progress float64) float64 {
	switch {
	case progress < r.startsAt:
		return 0
	case progress <= riseFrom:
		return r.initialShare
	default:
		return max(r.initialShare, math.Pow(min(1, (progress-riseFrom)/(r.fullAt-riseFrom)), r.exponent))
	}
}

// used returns the integral of the share up to a fraction of the duration: the number of requests that the new
// version has got by then, as a fraction of the requests in the duration, if they come at a constant rate.
func (r ramp) used(until float64) float64 {
	if until <= r.startsAt {
		return 0
	}
	width := r.fullAt - riseFrom
	rising := func(progress float64) float64 {
		return width / (r.exponent + 1) * math.Pow((progress-riseFrom)/width, r.exponent+1)
	}
	risesFrom := riseFrom + width*math.Pow(r.initialShare, 1/r.exponent)
	sum := r.initialShare * (min(until, risesFrom) - r.startsAt)
	if until > risesFrom {
		sum += rising(min(until, r.fullAt)) - rising(risesFrom)
	}
	return sum + max(0, until-r.fullAt)
}

// shareWithin returns the share at the given fraction of the duration if the new version may get the given number of
// requests until the end of the duration. reserve is the part of the number that is kept when the full load begins. At
// full load, half of it may be missing, so that the version doesn't lose the full load by chance. Both are fractions of
// the requests in the duration at the present rate.
//
// If the rest of the ramp exceeds the number, because more was sent than planned or the rate has risen, the share stays at
// the initial one until all requests up to the end may run on the new version.
func (r ramp) shareWithin(progress, requests, reserve float64, atFullLoad bool) float64 {
	left := 1 - progress
	if left <= 0 {
		return r.share(progress)
	}
	if atFullLoad {
		reserve = -reserve / 2
	}
	switch {
	case r.used(1)-r.used(progress) <= requests-reserve:
		return r.share(progress)
	case left <= requests-reserve:
		return 1
	case requests <= 0:
		return 0
	default:
		return min(r.initialShare, r.share(progress))
	}
}

// mayComplete reports whether the roll-out may be reported as completed at the given fraction of
// its duration.
func (r ramp) mayComplete(progress float64) bool { return progress >= max(completeAt, r.fullAt) }
