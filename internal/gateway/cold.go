package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/routing"
)

// warmth is what is known of an upstream's being cold.
type warmth struct {
	// until is until when it counts as cold, told that this was logged.
	until time.Time
	told  bool
}

// dropIdle forgets that the member was cold or limited once it is neither.
func (m *member) dropIdle(now time.Time) {
	if m.warmth != nil && !now.Before(m.warmth.until) && !m.warmth.told {
		m.warmth = nil
	}
	if _, news := m.shard.limitNews[m]; !news && m.limit != nil && m.limit.None() && m.limit.logged.since.IsZero() {
		m.limit = nil
	}
	if m.warmth == nil && m.limit == nil {
		delete(m.shard.leased, m)
	}
}

// mayWarm says whether this host may send the upstream a request as far as it is cold.
func (m *member) mayWarm(now time.Time) bool {
	if !m.cold(now) {
		return true
	}
	share, ok := m.shard.access.share(m.lease, now)
	return ok && m.used().sent.Room(now, m.shard.bound.Each(share))
}

// cold says whether the upstream is believed cold.
func (m *member) cold(now time.Time) bool {
	return m.shard.bound.Rate > 0 && m.warmth != nil && now.Before(m.warmth.until)
}

// noteCold has the upstream count as cold for a time at least.
func (m *member) noteCold(lasts time.Duration, reason string, log zerolog.Logger) {
	until := boottime.Now().Add(lasts)
	if m.shard.bound.Rate == 0 || lasts <= 0 || m.warmth != nil && !until.After(m.warmth.until) {
		return
	}
	if m.warmth == nil {
		m.warmth = &warmth{}
	}
	m.warmth.until = until
	m.shard.leased[m] = struct{}{}
	if m.warmth.told {
		return
	}
	m.warmth.told = true
	log.WithLevel(m.level()).Str("event", "upstream-cold").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
		Str("reason", reason).Int64("for_ms", lasts.Milliseconds()).Msg("")
}

// Reasons for which an upstream counts as cold.
const (
	coldEntry      = "entry"
	coldEvacuation = "evacuation-ended"
)

// SetServices takes what the operators declare of the services' cold upstreams.
func (f *Fleet) SetServices(services []routing.Service) {
	for i := range services {
		d := &services[i]
		s := f.shard(d.Name)
		s.mu.Lock()
		s.bound = ratelease.Bound{Rate: d.ColdRate, Overrun: f.access.overrun, Spare: f.access.spare}
		s.coldStart = d.ColdStart
		for _, m := range s.members {
			m.noteCold(m.ColdFor-boottime.Since(m.heardAt), coldEntry, f.log)
		}
		s.mu.Unlock()
	}
}

// noteOpen tells of the upstreams that aren't cold any more, and of limits that ended without
// an answer.
func (f *Fleet) noteOpen() {
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			m.logLimit(now, f.log)
			if m.warmth != nil && m.warmth.told && !m.cold(now) {
				m.warmth.told = false
				f.log.WithLevel(m.level()).Str("event", "upstream-warm").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Msg("")
			}
			m.dropIdle(now)
		}
	})
}
