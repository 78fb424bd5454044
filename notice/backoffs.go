package notice

import "time"

// Backoffs are the times for which a host sends an upstream no requests: the one that the upstream stated, and the one
// after a rejection by a brittle upstream, which ends with its statements. Both bind. The zero value is an upstream that
// gets requests.
type Backoffs struct{ stated, rejected Backoff }

// Extend records a rejection that states a backoff.
func (b *Backoffs) Extend(d time.Duration, now time.Time) { b.stated.Extend(d, now) }

// ExtendRejected records a rejection by a brittle upstream.
func (b *Backoffs) ExtendRejected(d time.Duration, now time.Time) { b.rejected.Extend(d, now) }

// EndRejected ends the backoff after rejections.
func (b *Backoffs) EndRejected() { b.rejected = Backoff{} }

// Active reports whether one of the times isn't over.
func (b *Backoffs) Active(now time.Time) bool { return b.stated.Active(now) || b.rejected.Active(now) }

// IsOver reports whether none of the backoffs limits requests any longer.
func (b *Backoffs) IsOver(now time.Time) bool { return b.stated.IsOver(now) && b.rejected.IsOver(now) }

// Allows reports whether a request may be sent to the upstream.
func (b *Backoffs) Allows(now time.Time) bool { return b.stated.Allows(now) && b.rejected.Allows(now) }

// RecordSent records that a request is sent to the upstream.
func (b *Backoffs) RecordSent(now time.Time) {
	b.stated.RecordSent(now)
	b.rejected.RecordSent(now)
}

// Accepted records that the upstream accepted a request that was sent at the given time, and reports whether that ended
// a backoff.
func (b *Backoffs) Accepted(sentAt time.Time) bool {
	stated, rejected := b.stated.Accepted(sentAt), b.rejected.Accepted(sentAt)
	return stated || rejected
}

// Wait returns the time until the next request may be sent; 0 if one may be sent now.
func (b *Backoffs) Wait(now time.Time) time.Duration {
	return max(b.stated.Wait(now), b.rejected.Wait(now))
}
