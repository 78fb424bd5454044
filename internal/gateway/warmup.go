package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/warmup"
)

// access is what keeps this host's requests from upstreams that are in service: they are
// cold and another host's, or their availability zone is evacuated.
type access struct {
	// alone says that there is no other host: this one may send cold upstreams all that
	// they tolerate.
	alone bool
	// overrun and spare are the operators' bounds for cold upstreams.
	overrun, spare float64
	// holding are the cold upstreams that this host may send their part.
	holding atomic.Pointer[warmup.Holding]
	// evacuated are the zones that get nothing.
	evacuated atomic.Pointer[map[string]bool]
}

// isEvacuated says whether the zone gets nothing.
func (a *access) isEvacuated(zone string) bool {
	zones := a.evacuated.Load()
	return zones != nil && (*zones)[zone]
}

// mayWarm says whether this host may send a cold upstream a request now, of a number that
// the window counts.
func (a *access) mayWarm(name exchange.Name, bound warmup.Bound, window *warmup.Window, now time.Time) bool {
	if a.alone {
		return window.Room(now, bound.Each(1, bound.Parts(1)))
	}
	holding := a.holding.Load()
	if holding == nil {
		return false
	}
	parts := holding.Parts(warmup.Upstream(name), now)
	return parts > 0 && window.Room(now, bound.Each(holding.Roots(), parts))
}

// open says whether this host may send the upstream new requests now.
func (m *member) open(now time.Time, grace time.Duration) bool {
	if !m.takesWork(now, grace) || m.shard.access.isEvacuated(m.Zone) {
		return false
	}
	return !m.cold(now) || m.shard.access.mayWarm(m.name, m.shard.bound, &m.sent, now)
}

// cold says whether the upstream is believed cold.
func (m *member) cold(now time.Time) bool {
	return m.shard.bound.Rate > 0 && now.Before(m.coldUntil)
}

// noteCold has the upstream count as cold for a time at least.
func (m *member) noteCold(lasts time.Duration, reason string, log zerolog.Logger) {
	until := boottime.Now().Add(lasts)
	if m.shard.bound.Rate == 0 || lasts <= 0 || !until.After(m.coldUntil) {
		return
	}
	m.coldUntil = until
	if m.coldTold {
		return
	}
	m.coldTold = true
	log.Info().Str("event", "upstream-cold").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
		Str("reason", reason).Int64("for_ms", lasts.Milliseconds()).Msg("")
}

// Reasons for which an upstream counts as cold.
const (
	coldEntry      = "entry"
	coldEvacuation = "evacuation-ended"
)

// noteSent counts a request for the upstream.
func (m *member) noteSent(now time.Time) {
	if m.shard.bound.Rate > 0 {
		m.sent.Note(now)
	}
}

// SetServices takes what the operators declare of the services' cold upstreams.
func (f *Fleet) SetServices(services []routing.Service) {
	for i := range services {
		d := &services[i]
		s := f.shard(d.Name)
		s.mu.Lock()
		s.bound = warmup.Bound{Rate: d.ColdRate, Overrun: f.access.overrun, Spare: f.access.spare}
		s.coldStart = d.ColdStart
		for _, m := range s.members {
			m.noteCold(m.ColdFor-boottime.Since(m.heardAt), coldEntry, f.log)
		}
		s.mu.Unlock()
	}
}

// Cold are the upstreams in service that are believed cold, in order, each as often as one of
// so many roots has parts of it.
func (f *Fleet) Cold(roots int) []exchange.Name {
	var names []exchange.Name
	now := boottime.Now()
	f.each(func(s *shard) {
		parts := s.bound.Parts(roots)
		for _, m := range s.members {
			if m.cold(now) && m.takesWork(now, f.removalGrace) && !f.access.isEvacuated(m.Zone) {
				names = append(names, slices.Repeat([]exchange.Name{m.name}, parts)...)
			}
		}
	})
	slices.Sort(names)
	return names
}

// reach counts upstreams that are in service, and those of them that are cold, that are in
// evacuated zones, and that name a limit.
type reach struct{ inService, cold, evacuated, limited int }

// reachOf counts a service's upstreams.
func (f *Fleet) reachOf(service string) reach {
	var n reach
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	n.add(s, f.removalGrace)
	return n
}

// reach counts the upstreams of all services.
func (f *Fleet) reach() reach {
	var n reach
	f.each(func(s *shard) { n.add(s, f.removalGrace) })
	return n
}

// add counts a shard's upstreams. Its lock is held.
func (n *reach) add(s *shard, grace time.Duration) {
	now := boottime.Now()
	for _, m := range s.members {
		switch {
		case !m.takesWork(now, grace):
			continue
		case s.access.isEvacuated(m.Zone):
			n.evacuated++
		case m.cold(now):
			n.cold++
		}
		if m.limit.named() {
			n.limited++
		}
		n.inService++
	}
}

// TakeHolding takes which cold upstreams this host may send their part.
func (f *Fleet) TakeHolding(h warmup.Holding) { f.access.holding.Store(&h) }

// noteWarm tells of the upstreams that aren't cold any more.
func (f *Fleet) noteWarm() {
	now := boottime.Now()
	f.each(func(s *shard) {
		for _, m := range s.members {
			if m.coldTold && !m.cold(now) {
				m.coldTold = false
				f.log.Info().Str("event", "upstream-warm").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Msg("")
			}
		}
	})
}

// SetEvacuated takes the zones that get nothing from now on. The upstreams of one that is
// taken back may have become cold meanwhile, and their entries tell so only with their
// next heartbeats.
func (f *Fleet) SetEvacuated(zones map[string]bool, revision storage.Revision) {
	known := f.access.evacuated.Swap(&zones)
	for zone := range zones {
		if known == nil || !(*known)[zone] {
			f.log.Warn().Str("event", "zone-evacuated").Str("zone", zone).Int("upstreams", f.inZone(zone)).Stringer("revision", revision).Msg("")
		}
	}
	if known == nil {
		return
	}
	for zone := range *known {
		if !zones[zone] {
			f.takeBack(zone, revision)
		}
	}
}

func (f *Fleet) takeBack(zone string, revision storage.Revision) {
	f.log.Warn().Str("event", "zone-taken-back").Str("zone", zone).Int("upstreams", f.inZone(zone)).Stringer("revision", revision).Msg("")
	f.each(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				m.noteCold(s.coldStart, coldEvacuation, f.log)
			}
		}
	})
}

// inZone counts the zone's upstreams.
func (f *Fleet) inZone(zone string) int {
	n := 0
	f.each(func(s *shard) {
		for _, m := range s.members {
			if m.Zone == zone {
				n++
			}
		}
	})
	return n
}
