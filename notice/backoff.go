package notice

import (
	"math/rand/v2"
	"time"
)

const (
	// TrialInterval is the minimum time between two requests to an upstream whose backoff has ended
	// and that hasn't accepted a request since. If the first one's rejection takes a second to
	// arrive, two more are sent before it.
	TrialInterval = 500 * time.Millisecond
	// RetrySpread is the time over which the callers return that were refused because all upstreams
	// back off, so that they don't return at the same moment. By its end, a trial has shown whether
	// an upstream accepts requests again.
	RetrySpread = time.Second
	// trialTime is how long after its end a backoff still limits the requests. A host that has sent
	// no request by then begins anew.
	trialTime = 5 * time.Second
)

// Backoff is the time for which an upstream accepts no requests of this host, as it stated in its
// answers. When the time is over, the host sends single requests, TrialInterval apart, until one is
// accepted: an upstream that is still overloaded rejects one request instead of all that were held
// back. The zero value is an upstream that stated nothing.
type Backoff struct {
	// until is the end of the longest time that was stated. nextTrialAt is the earliest time of the
	// next request after that.
	until       time.Time
	nextTrialAt time.Time
}

// Extend records a rejection that states a backoff. A shorter time doesn't end an earlier one sooner.
func (b *Backoff) Extend(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(b.until) {
		b.until = until
	}
	b.nextTrialAt = b.until
}

// Active reports whether the stated time isn't over.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// IsOver reports whether the backoff no longer limits requests.
func (b *Backoff) IsOver(now time.Time) bool { return !now.Before(b.until.Add(trialTime)) }

// Allows reports whether a request may be sent to the upstream.
func (b *Backoff) Allows(now time.Time) bool {
	return b.IsOver(now) || !b.Active(now) && !now.Before(b.nextTrialAt)
}

// RecordSent records that a request is sent to the upstream.
func (b *Backoff) RecordSent(now time.Time) {
	if !b.IsOver(now) {
		b.nextTrialAt = now.Add(TrialInterval)
	}
}

// Accepted records that the upstream accepted a request that was sent at the given time, and reports
// whether that ended the backoff. A request that was sent before the stated time was over doesn't
// end it.
func (b *Backoff) Accepted(sentAt time.Time) bool {
	if b.until.IsZero() || sentAt.Before(b.until) {
		return false
	}
	*b = Backoff{}
	return true
}

// RetryAfterRefusal returns the time after which a caller that was refused because all upstreams back off
// should return, given the shortest Wait of them.
func RetryAfterRefusal(wait time.Duration) time.Duration { return wait + rand.N(RetrySpread) }

// Wait returns the time until the next request may be sent; 0 if one may be sent now.
func (b *Backoff) Wait(now time.Time) time.Duration {
	if b.Allows(now) {
		return 0
	}
	return max(b.until.Sub(now), b.nextTrialAt.Sub(now))
}
