package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// loggedLimit is the rate limit that was last logged for an upstream.
type loggedLimit struct {
	limit ratelease.Limit
	// since is when the limit began; zero while there is none.
	since time.Time
}

// limitState is the state of the rate limit that an upstream's answers announce.
type limitState struct {
	ratelease.LimitState
	logged loggedLimit
	// bucket counts this host's requests against its part of the limit.
	bucket ratelease.Bucket
}

// ensureLimit returns the member's limit state and creates it if there is none.
func (m *member) ensureLimit() *limitState {
	if m.limit == nil {
		m.limit = &limitState{}
		m.shard.leased[m] = struct{}{}
	}
	return m.limit
}

// logTolerance is the relative change of a limit up to which it isn't logged again.
const logTolerance = 0.1

// isLimited reports whether the upstream has a rate limit in force.
func (m *member) isLimited(now time.Time) bool {
	return m.limit != nil && m.limit.Limited(m.shard.policy.currentContact(), now)
}

// limitAllows reports whether the rate limit, if any, leaves this host another request.
func (m *member) limitAllows(now time.Time) bool {
	return !m.isLimited(now) || m.limit.bucket.Allows(m.allowance(now), now)
}

// allowance returns this host's part of the upstream's rate limit.
func (m *member) allowance(now time.Time) ratelease.Allowance {
	if share, ok := m.shard.policy.leasedShare(m.lease, now); ok {
		return m.limit.Limit().Allowance(share)
	}
	return m.shard.policy.disconnectedAllowance(m.lease, now)
}

// shedByRank reports whether a request of the rank is refused to leave the remaining capacity to
// more urgent ones; this happens only if all candidates are rate-limited. The caller holds the
// shard's lock.
func (s *shard) shedByRank(list candidateList, rank int, now time.Time) bool {
	for _, m := range list.members {
		if !m.isLimited(now) {
			return false
		}
	}
	if now.Sub(s.suppliedAt) >= supplyMaxAge {
		s.suppliedAt, s.supply = now, 0
		for m := range s.leased {
			if m.isLimited(now) {
				s.supply += m.allowance(now).Rate
			}
		}
	}
	return !s.ration.Admits(rank, s.supply, rand.Float64(), now)
}

// supplyMaxAge is how long the sum of this host's parts of rate limits is reused.
const supplyMaxAge = 200 * time.Millisecond

// limitRetryAfter returns the time after which a request that was refused because of rate limits
// should be retried: when this host has capacity again or another host may have some.
func (f *Fleet) limitRetryAfter(service string) time.Duration {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := boottime.Now(), maxLimitRetryAfter
	for m := range s.leased {
		if !m.isLimited(now) {
			continue
		}
		if until, ok := m.limit.bucket.TimeToNext(m.allowance(now), now); ok {
			wait = min(wait, until)
		}
	}
	return max(wait, minLimitRetryAfter)
}

// Bounds of the retry time of requests that were refused because of rate limits.
const (
	minLimitRetryAfter = 200 * time.Millisecond
	maxLimitRetryAfter = time.Second
)

// limitHeader holds the rate-limit values of an answer's head.
type limitHeader struct {
	values []string
	// ran is set if the upstream ran the request: only then does a missing limit mean that the
	// upstream has none.
	ran bool
}

// observeLimit records the rate limit that an answer's head announces, or that it announces none.
func (f *Fleet) observeLimit(c *choice, header limitHeader) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosenMember(c); m != nil {
		m.observeLimit(header, c.chosenAt, boottime.Now(), f.log)
	}
}

// observeLimit records an answer to a request that was sent at sentAt.
func (m *member) observeLimit(header limitHeader, sentAt, now time.Time, log zerolog.Logger) {
	limit, ok := ratelease.ParseLimit(header.values)
	limited := m.isLimited(now)
	if len(header.values) > 0 && !ok {
		log.Warn().Str("event", "limit-unreadable").Str("upstream", m.ID).Str("service", m.Service).Strs("values", header.values).Msg("")
		if !limited {
			return
		}
		limit, ok = m.limit.Limit(), true // an unreadable value still shows that there is a limit
	}
	report := false
	switch {
	case ok && limit.Binds():
		report = m.ensureLimit().Observe(limit, now)
	case limited && header.ran:
		report = m.limit.ObserveUnlimited(sentAt, now)
	}
	if report {
		m.shard.unreportedLimits[m] = struct{}{}
	}
	m.logLimit(now, log)
}

// takeLimitReports returns the limits to report to the hub since the last call.
func (f *Fleet) takeLimitReports() []ratelease.LimitUpdate {
	var reports []ratelease.LimitUpdate
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.unreportedLimits {
			reports = append(reports, m.ensureLimit().NextUpdate(m.lease, now))
		}
		clear(s.unreportedLimits)
	})
	return reports
}

// currentLimits returns all known limits, for a hub that has no data yet.
func (f *Fleet) currentLimits() []ratelease.LimitUpdate {
	var reports []ratelease.LimitUpdate
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			if m.isLimited(now) {
				reports = append(reports, m.limit.NextUpdate(m.lease, now))
			}
		}
	})
	return reports
}

// applyLimits applies the hub's data on upstreams' limits. If whole is set, upstreams that are
// missing from the reports have no limit at the hub.
func (f *Fleet) applyLimits(reports []ratelease.LimitUpdate, whole bool) {
	now := boottime.Now()
	reported := make(map[ratelease.UpstreamID]bool, len(reports))
	f.each(func(s *shard) {
		for _, report := range reports {
			reported[report.Upstream] = true
			if m := s.leases[report.Upstream]; m != nil {
				m.ensureLimit().Apply(report, now)
				m.logLimit(now, f.log)
			}
		}
		if !whole {
			return
		}
		for u, m := range s.leases {
			if m.limit != nil && m.limit.HasHubLimit() && !reported[u] {
				m.limit.Apply(ratelease.LimitUpdate{Upstream: u, Ended: true}, now)
				m.logLimit(now, f.log)
			}
		}
	})
}

// logLimit logs a limit that began, changed or ended.
func (m *member) logLimit(now time.Time, log zerolog.Logger) {
	if m.limit == nil {
		return
	}
	logged, limited, limit := &m.limit.logged, m.isLimited(now), m.limit.Limit()
	event := func(name string) *zerolog.Event {
		return log.Warn().Str("event", name).Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Bool("told", m.limit.HasHubLimit())
	}
	switch {
	case limited && logged.since.IsZero():
		event("upstream-limited").Float64("limit", float64(limit)).Bool("first", true).Msg("")
		*logged = loggedLimit{limit: limit, since: now}
	case limited && math.Abs(float64(limit-logged.limit)) > logTolerance*float64(logged.limit):
		event("upstream-limited").Float64("limit", float64(limit)).Bool("first", false).Msg("")
		logged.limit = limit
	case !limited && !logged.since.IsZero():
		event("upstream-unlimited").Float64("limit", float64(logged.limit)).Int64("for_ms", now.Sub(logged.since).Milliseconds()).Msg("")
		*logged = loggedLimit{}
		m.limit.ResetPartCount()
	}
}
