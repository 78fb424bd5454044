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
	// since is when the host logged that the limit began; zero if the last log line states that the
	// upstream has no limit.
	since time.Time
}

// limitState is the state of an upstream's rate limit, which the upstream announces in its answers.
type limitState struct {
	ratelease.LimitState
	logged loggedLimit
	// bucket is the token bucket by which this host keeps to its part of the limit.
	bucket ratelease.Bucket
}

// ensureLimit returns the member's limit state and creates it if there is none.
func (m *member) ensureLimit() *limitState {
	if m.limit == nil {
		m.limit = &limitState{}
		m.shard.coldOrLimited[m] = struct{}{}
	}
	return m.limit
}

// limitLogTolerance is the largest relative change of a limit that isn't logged.
const limitLogTolerance = 0.1

// isLimited reports whether the upstream has a rate limit in force.
func (m *member) isLimited(now time.Time) bool {
	return m.limit != nil && m.limit.Limited(m.shard.policy.currentContact(), now)
}

// limitAllows reports whether the rate limit, if there is one, permits this host another request.
func (m *member) limitAllows(now time.Time) bool {
	return !m.isLimited(now) || m.limit.bucket.Allows(m.allowance(now), now)
}

// allowance returns this host's part of the upstream's rate limit.
func (m *member) allowance(now time.Time) ratelease.Allowance {
	if share, ok := m.shard.policy.leasedShare(m.leaseID, now); ok {
		return m.limit.Limit().Allowance(share)
	}
	return m.shard.policy.isolatedAllowance(m.leaseID, now)
}

// shedByRank reports whether a request of the rank is refused so that more urgent ones can use what
// the rate limits permit. It is false unless all candidates are rate-limited. The caller holds the
// shard's lock.
func (s *shard) shedByRank(list candidateList, rank int, now time.Time) bool {
	for _, m := range list.members {
		if !m.isLimited(now) {
			return false
		}
	}
	if now.Sub(s.permittedRateAt) >= permittedRateMaxAge {
		s.permittedRateAt, s.permittedRate = now, 0
		for m := range s.coldOrLimited {
			if m.isLimited(now) {
				s.permittedRate += m.allowance(now).Rate
			}
		}
	}
	return !s.rankAdmission.Admits(rank, s.permittedRate, rand.Float64(), now)
}

// permittedRateMaxAge is how long permittedRate is used before it is computed again.
const permittedRateMaxAge = 200 * time.Millisecond

// limitRetryAfter returns the time after which a request to the service that was refused because of
// rate limits should be retried: the shortest time until a limit permits this host a request, but
// at most maxLimitRetryAfter, since the retry may reach another host whose part of a limit permits
// it earlier.
func (f *Fleet) limitRetryAfter(service string) time.Duration {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := boottime.Now(), maxLimitRetryAfter
	for m := range s.coldOrLimited {
		if !m.isLimited(now) {
			continue
		}
		if until, ok := m.limit.bucket.TimeToNext(m.allowance(now), now); ok {
			wait = min(wait, until)
		}
	}
	return max(wait, minLimitRetryAfter)
}

// minLimitRetryAfter and maxLimitRetryAfter bound the retry time of requests that were refused
// because of rate limits.
const (
	minLimitRetryAfter = 200 * time.Millisecond
	maxLimitRetryAfter = time.Second
)

// limitHeader holds the rate-limit values of an answer's head.
type limitHeader struct {
	values []string
	// requestRan is set if the upstream ran the request. Only then does a head without a limit mean
	// that the upstream has none.
	requestRan bool
}

// observeLimit records the rate limit that the head of the chosen upstream's answer announces, or
// that it announces none.
func (f *Fleet) observeLimit(c *choice, header limitHeader) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosenMember(c); m != nil {
		m.observeLimit(header, c.chosenAt, boottime.Now(), f.log)
	}
}

// observeLimit records the rate limit in the answer to a request that was sent at sentAt. The
// caller holds the shard's lock.
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
	case limited && header.requestRan:
		report = m.limit.ObserveUnlimited(sentAt, now)
	}
	if report {
		m.shard.unreportedLimits[m] = struct{}{}
	}
	m.logLimit(now, log)
}

// takeLimitUpdates returns the limit updates since the last call, which have to be reported to the
// hub.
func (f *Fleet) takeLimitUpdates() []ratelease.LimitUpdate {
	var reports []ratelease.LimitUpdate
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.unreportedLimits {
			reports = append(reports, m.ensureLimit().NextUpdate(m.leaseID, now))
		}
		clear(s.unreportedLimits)
	})
	return reports
}

// currentLimits returns the limits of all rate-limited upstreams, for a hub that has no data yet.
func (f *Fleet) currentLimits() []ratelease.LimitUpdate {
	var reports []ratelease.LimitUpdate
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.coldOrLimited {
			if m.isLimited(now) {
				reports = append(reports, m.limit.NextUpdate(m.leaseID, now))
			}
		}
	})
	return reports
}

// applyLimits applies limit updates from the hub. complete is set if they contain the limits of all
// rate-limited upstreams, so that the hub has no limit for the others.
func (f *Fleet) applyLimits(updates []ratelease.LimitUpdate, complete bool) {
	now := boottime.Now()
	reported := make(map[ratelease.UpstreamID]bool, len(updates))
	f.eachShard(func(s *shard) {
		for _, report := range updates {
			reported[report.Upstream] = true
			if m := s.membersByLease[report.Upstream]; m != nil {
				m.ensureLimit().Apply(report, now)
				m.logLimit(now, f.log)
			}
		}
		if !complete {
			return
		}
		for u, m := range s.membersByLease {
			if m.limit != nil && m.limit.HasHubLimit() && !reported[u] {
				m.limit.Apply(ratelease.LimitUpdate{Upstream: u, Ended: true}, now)
				m.logLimit(now, f.log)
			}
		}
	})
}

// logLimit logs a limit that began, changed by more than limitLogTolerance, or ended.
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
	case limited && math.Abs(float64(limit-logged.limit)) > limitLogTolerance*float64(logged.limit):
		event("upstream-limited").Float64("limit", float64(limit)).Bool("first", false).Msg("")
		logged.limit = limit
	case !limited && !logged.since.IsZero():
		event("upstream-unlimited").Float64("limit", float64(logged.limit)).Int64("for_ms", now.Sub(logged.since).Milliseconds()).Msg("")
		*logged = loggedLimit{}
		m.limit.ResetPartCount()
	}
}
