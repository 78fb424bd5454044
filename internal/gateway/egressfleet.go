package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/routing"
)

// probeTargets returns random upstreams, at most the given number, to probe a path: those that serve
// requests and bound neither their number nor their rate.
func (f *Fleet) probeTargets(most int, table *routing.Table) []probeTarget {
	var targets []probeTarget
	now, seen := boottime.Now(), 0
	f.eachService(func(service string, s *shard) {
		healthPath := ""
		if table != nil && table.Service(service) != nil {
			healthPath = table.Service(service).HealthPath
		}
		for _, m := range s.members {
			if !m.mayBeProbed(now) {
				continue
			}
			seen++
			target := probeTarget{address: m.Address, healthPath: healthPath}
			if len(targets) < most {
				targets = append(targets, target)
			} else if i := rand.IntN(seen); i < most {
				targets[i] = target
			}
		}
	})
	return targets
}

func (m *member) mayBeProbed(now time.Time) bool {
	return m.inService(now) && !m.isCold(now) && !m.isLimited(now) && !m.backsOff(now) && !m.shard.policy.isEvacuated(m.Zone)
}

// zoneOfAddress returns the availability zone of the upstream that is listed with the address.
func (f *Fleet) zoneOfAddress(address string) (zone string, listed bool) {
	f.eachShard(func(s *shard) {
		if m := s.membersByAddress[address]; m != nil {
			zone, listed = m.Zone, true
		}
	})
	return zone, listed
}

// forgetFailures drops what failed attempts showed of the upstreams.
func (f *Fleet) forgetFailures() {
	f.eachShard(func(s *shard) {
		for _, m := range s.members {
			if u := m.usage; u != nil {
				u.failureRate, u.timeouts, u.ejections, u.ejectedUntil = 0, 0, 0, time.Time{}
			}
		}
	})
}
