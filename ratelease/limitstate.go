package ratelease

import (
	"math"
	"time"
)

const (
	// maxPropagationDelay is the maximum time until a hub sends an update back to the host that
	// reported it, via other hubs.
	maxPropagationDelay = 3 * time.Second
	// A limit ends once responsesToEnd responses that name no limit have arrived and the limit
	// was last named at least endDelay ago. After singleResponseEndDelay, a single such response
	// is enough.
	endDelay               = time.Second
	responsesToEnd         = 2
	singleResponseEndDelay = 5 * time.Second
	// minReportInterval is the minimum time between two updates of one upstream's limit that a
	// host sends to its hub.
	minReportInterval = time.Second
	// minReportedChange is the relative change of a limit up to which no update is sent. The
	// hosts that hold leases for the upstream receive the new limit in its responses.
	minReportedChange = 0.1
	// isolationDelay is how long a host without contact to a root hub waits before it sends
	// requests to upstreams with a limit although it holds no lease. All leases that other hosts
	// may hold have expired by then.
	isolationDelay = 5 * time.Second
)

// LimitUpdate is an update of an upstream's limit, as named in a response.
type LimitUpdate struct {
	Upstream UpstreamID
	Limit    Limit
	// Ended says that the upstream no longer names a limit.
	Ended bool
	// Age is the time since the response arrived.
	Age time.Duration
}

// HubContact records when a host had contact to its hub.
type HubContact struct {
	// replyingSince is when the hub's replies began to arrive after the last interruption of
	// more than LeaseDuration. repliedAt is when the last reply arrived.
	replyingSince, repliedAt time.Time
	// rootSeenAt is when the hub was last connected to a root hub.
	rootSeenAt time.Time
}

// NewHubContact returns the contact of a host that started at the given time and has had no reply
// yet.
func NewHubContact(startedAt time.Time) HubContact { return HubContact{rootSeenAt: startedAt} }

// WithReply returns the contact after a reply from the hub, where rootSeenAt is when the hub was
// last connected to a root hub.
func (c HubContact) WithReply(now, rootSeenAt time.Time) HubContact {
	if now.Sub(c.repliedAt) > LeaseDuration {
		c.replyingSince = now
	}
	c.repliedAt = now
	if rootSeenAt.After(c.rootSeenAt) {
		c.rootSeenAt = rootSeenAt
	}
	return c
}

// hadTimeToSendBack reports whether the hub has had enough time to send back a limit that was
// reported to it at the given time. If it hasn't sent the limit back by then, the limit has
// ended.
func (c HubContact) hadTimeToSendBack(reportedAt, now time.Time) bool {
	if now.Sub(c.repliedAt) > LeaseDuration {
		return false
	}
	if c.replyingSince.After(reportedAt) {
		reportedAt = c.replyingSince
	}
	return now.Sub(reportedAt) >= maxPropagationDelay
}

// Isolated reports whether the host is isolated, so that no lease can arrive, and since when. The
// time lies in the future if the host isn't isolated yet.
func (c HubContact) Isolated(now time.Time) (since time.Time, isolated bool) {
	since = c.rootSeenAt.Add(isolationDelay)
	return since, !now.Before(since)
}

// LimitState tracks the limit that an upstream names for all hosts, from the responses to this host
// and from the hub's updates, which cover all hosts. Until the hub has had time to send back a
// limit that this host reported, the host's own observation counts, too; after that only the
// hub's updates do, so that hosts agree. The zero value has no limit.
type LimitState struct {
	// ownLimit is the limit last named in a response to this host, at ownLimitAt; there is none
	// if ownLimitAt is zero.
	ownLimit   Limit
	ownLimitAt time.Time
	// hubLimit is the limit in the hub's last update; it is valid if hasHubLimit is set.
	// hubLimitAt is when a host received that limit in a response.
	hubLimit    Limit
	hasHubLimit bool
	hubLimitAt  time.Time
	// responsesWithoutLimit counts the responses to this host that named no limit since the last
	// one that did or the hub's last update. endedAt is when they showed that the limit had
	// ended.
	responsesWithoutLimit int
	endedAt               time.Time
	// reportedAt is when the hub was last sent an update. partCount is the number of parts that
	// a root splits the limit into.
	reportedAt time.Time
	partCount  int
}

// Limited reports whether the upstream has a limit: by the hub's last update, or in a response to
// this host that the hub hasn't had time to send back.
func (s *LimitState) Limited(c HubContact, now time.Time) bool {
	return s.hasHubLimit || !s.ownLimitAt.IsZero() && !c.hadTimeToSendBack(s.ownLimitAt, now)
}

// Limit returns the limit named last.
func (s *LimitState) Limit() Limit {
	if s.ownLimitAt.After(s.hubLimitAt) || !s.hasHubLimit {
		return s.ownLimit
	}
	return s.hubLimit
}

// PartCount returns the number of parts that a root splits the limit into. It changes only by a
// factor of two or more, since no part is usable for a moment after a change.
func (s *LimitState) PartCount(roots int) int {
	if needed := s.Limit().Parts(roots); s.partCount == 0 || needed >= 2*s.partCount || 2*needed <= s.partCount {
		s.partCount = needed
	}
	return s.partCount
}

// Observe processes a response that named a limit. It reports whether the hub must be sent an
// update.
func (s *LimitState) Observe(limit Limit, now time.Time) (report bool) {
	s.ownLimit, s.ownLimitAt, s.responsesWithoutLimit = limit, now, 0
	if s.hasHubLimit && math.Abs(float64(limit-s.hubLimit)) <= minReportedChange*float64(s.hubLimit) {
		return false
	}
	return s.reportDue(now)
}

// ObserveUnlimited processes a response without a limit from an upstream that had one, to a request
// sent at the given time. It reports whether the hub must be sent an update.
func (s *LimitState) ObserveUnlimited(sentAt, now time.Time) (report bool) {
	lastNamed := s.ownLimitAt
	if s.hasHubLimit && s.hubLimitAt.After(lastNamed) {
		lastNamed = s.hubLimitAt
	}
	if sentAt.Before(lastNamed) {
		return false
	}
	s.responsesWithoutLimit++
	elapsed := now.Sub(lastNamed)
	if elapsed < endDelay || elapsed < singleResponseEndDelay && s.responsesWithoutLimit < responsesToEnd {
		return false
	}
	s.ownLimitAt, s.endedAt = time.Time{}, now
	return s.hasHubLimit && s.reportDue(now)
}

func (s *LimitState) reportDue(now time.Time) bool { return now.Sub(s.reportedAt) >= minReportInterval }

// NextUpdate returns the update to send to the hub.
func (s *LimitState) NextUpdate(u UpstreamID, now time.Time) LimitUpdate {
	s.reportedAt = now
	switch {
	case !s.ownLimitAt.IsZero():
		return LimitUpdate{Upstream: u, Limit: s.ownLimit, Age: now.Sub(s.ownLimitAt)}
	case s.hasHubLimit && s.hubLimitAt.After(s.endedAt):
		return LimitUpdate{Upstream: u, Limit: s.hubLimit, Age: now.Sub(s.hubLimitAt)}
	default:
		return LimitUpdate{Upstream: u, Ended: true, Age: now.Sub(s.endedAt)}
	}
}

// Apply applies the hub's update.
func (s *LimitState) Apply(update LimitUpdate, now time.Time) {
	observedAt := now.Add(-update.Age)
	s.hasHubLimit, s.hubLimit, s.hubLimitAt, s.responsesWithoutLimit = !update.Ended, update.Limit, observedAt, 0
	if update.Ended && observedAt.After(s.ownLimitAt) {
		s.ownLimitAt = time.Time{}
	}
}

// IsEmpty reports whether neither a response to this host nor the hub's last update names a limit.
func (s *LimitState) IsEmpty() bool { return !s.hasHubLimit && s.ownLimitAt.IsZero() }

// HasHubLimit reports whether the upstream has a limit by the hub's last update.
func (s *LimitState) HasHubLimit() bool { return s.hasHubLimit }

// ResetPartCount resets the number of parts, so that it is computed anew for the next limit.
func (s *LimitState) ResetPartCount() { s.partCount = 0 }
