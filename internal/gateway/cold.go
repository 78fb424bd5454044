package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/routing"
)

// coldState is the state of an upstream that is or recently was cold.
type coldState struct {
	// until is the time until which the upstream counts as cold. loggedCold is set while the last
	// log line on the upstream's cold state states that it is cold.
	until      time.Time
	loggedCold bool
}

// dropExpired deletes the member's cold state and limit state if they have expired and their end
// was logged.
func (m *member) dropExpired(now time.Time) {
	if m.coldState != nil && !now.Before(m.coldState.until) && !m.coldState.loggedCold {
		m.coldState = nil
	}
	if _, unreported := m.shard.unreportedLimits[m]; !unreported && m.limit != nil && m.limit.IsEmpty() && m.limit.logged.since.IsZero() {
		m.limit = nil
	}
	if m.coldState == nil && m.limit == nil {
		delete(m.shard.coldOrLimited, m)
	}
}

// coldBoundAllows reports whether the bound for cold upstreams permits this host another request to
// the upstream. It returns true if the upstream isn't cold.
func (m *member) coldBoundAllows(now time.Time) bool {
	if !m.isCold(now) {
		return true
	}
	share, ok := m.shard.policy.leasedShare(m.leaseID, now)
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
	m.shard.coldOrLimited[m] = struct{}{}
	if m.coldState.loggedCold {
		return
	}
	m.coldState.loggedCold = true
	log.WithLevel(m.logLevel()).Str("event", "upstream-cold").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
		Str("reason", reason).Int64("for_ms", duration.Milliseconds()).Msg("")
}

// These are the reasons, in log lines, why an upstream counts as cold: its entry states that it is
// cold, or the evacuation of its zone ended.
const (
	coldReasonEntry           = "entry"
	coldReasonEvacuationEnded = "evacuation-ended"
)

// SetServices applies the settings for cold upstreams that the operators declare for each service.
func (f *Fleet) SetServices(services []routing.Service) {
	for i := range services {
		service := &services[i]
		s := f.shard(service.Name)
		s.mu.Lock()
		s.coldBound = ratelease.ColdBound{Rate: service.ColdRate, Overrun: f.policy.coldOverrun, Headroom: f.policy.coldHeadroom}
		s.coldStart = service.ColdStart
		for _, m := range s.members {
			m.markCold(m.ColdFor-boottime.Since(m.updatedAt), coldReasonEntry, f.log)
		}
		s.mu.Unlock()
	}
}

// logEndedRestrictions logs which upstreams are no longer cold and which rate limits expired, and
// deletes their state. A limit that ends before it expires is logged when an answer without a limit
// arrives.
func (f *Fleet) logEndedRestrictions() {
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.coldOrLimited {
			m.logLimit(now, f.log)
			if m.coldState != nil && m.coldState.loggedCold && !m.isCold(now) {
				m.coldState.loggedCold = false
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-warm").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Msg("")
			}
			m.dropExpired(now)
		}
	})
}
