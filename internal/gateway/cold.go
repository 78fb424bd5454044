package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/routing"
)

// coldState is the state of an upstream that is cold.
type coldState struct {
	// until is the end of the time for which it counts as cold. logged is set while the log shows
	// it as cold.
	until  time.Time
	logged bool
}

// dropExpired drops the cold state and the rate limit of the member once they have ended.
func (m *member) dropExpired(now time.Time) {
	if m.coldState != nil && !now.Before(m.coldState.until) && !m.coldState.logged {
		m.coldState = nil
	}
	if _, unreported := m.shard.unreportedLimits[m]; !unreported && m.limit != nil && m.limit.IsEmpty() && m.limit.logged.since.IsZero() {
		m.limit = nil
	}
	if m.coldState == nil && m.limit == nil {
		delete(m.shard.leased, m)
	}
}

// coldBoundAllows reports whether the bound of a cold upstream leaves this host another request.
func (m *member) coldBoundAllows(now time.Time) bool {
	if !m.isCold(now) {
		return true
	}
	share, ok := m.shard.policy.leasedShare(m.lease, now)
	return ok && m.ensureUsage().sent.Allows(now, m.shard.coldBound.RequestsPerSpan(share))
}

// isCold reports whether the upstream counts as cold.
func (m *member) isCold(now time.Time) bool {
	return m.shard.coldBound.Rate > 0 && m.coldState != nil && now.Before(m.coldState.until)
}

// markCold makes the upstream count as cold for at least the duration.
func (m *member) markCold(duration time.Duration, reason string, log zerolog.Logger) {
	until := boottime.Now().Add(duration)
	if m.shard.coldBound.Rate == 0 || duration <= 0 || m.coldState != nil && !until.After(m.coldState.until) {
		return
	}
	if m.coldState == nil {
		m.coldState = &coldState{}
	}
	m.coldState.until = until
	m.shard.leased[m] = struct{}{}
	if m.coldState.logged {
		return
	}
	m.coldState.logged = true
	log.WithLevel(m.logLevel()).Str("event", "upstream-cold").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
		Str("reason", reason).Int64("for_ms", duration.Milliseconds()).Msg("")
}

// Reasons why an upstream counts as cold.
const (
	coldEntry      = "entry"
	coldEvacuation = "evacuation-ended"
)

// SetServices sets what the operators declare about the services' cold upstreams.
func (f *Fleet) SetServices(services []routing.Service) {
	for i := range services {
		d := &services[i]
		s := f.shard(d.Name)
		s.mu.Lock()
		s.coldBound = ratelease.Bound{Rate: d.ColdRate, Overrun: f.policy.coldOverrun, Headroom: f.policy.coldHeadroom}
		s.coldStart = d.ColdStart
		for _, m := range s.members {
			m.markCold(m.ColdFor-boottime.Since(m.updatedAt), coldEntry, f.log)
		}
		s.mu.Unlock()
	}
}

// logEndedRestrictions logs the upstreams that are no longer cold, and rate limits that ended
// without a further answer.
func (f *Fleet) logEndedRestrictions() {
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			m.logLimit(now, f.log)
			if m.coldState != nil && m.coldState.logged && !m.isCold(now) {
				m.coldState.logged = false
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-warm").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Msg("")
			}
			m.dropExpired(now)
		}
	})
}
