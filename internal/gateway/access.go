package gateway

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// access is what keeps this host's requests from upstreams that are in service: their
// requests are leased, for they are cold or name a limit, or their availability zone is
// evacuated.
type access struct {
	// alone says that there is no other host: this one has all leases.
	alone bool
	// hosts is the number of hosts, 0 while it isn't known; seed tells this host's draws
	// from others'.
	hosts func() int
	seed  string
	// overrun and spare are the operators' bounds for cold upstreams.
	overrun, spare float64
	// holding are the parts of upstreams' requests that this host may send.
	holding atomic.Pointer[ratelease.Holding]
	// contact is what this host knows of its hub.
	contact atomic.Pointer[ratelease.Contact]
	// evacuated are the zones that get nothing.
	evacuated atomic.Pointer[map[string]bool]
}

func newAccess(seed string) *access {
	a := &access{alone: true, seed: seed, hosts: func() int { return 0 }}
	c := ratelease.NewContact(boottime.Now())
	a.contact.Store(&c)
	return a
}

// TakeHolding takes which parts of upstreams' requests this host may send, and when a root
// of the hubs' tree stood behind that. It is called each time that a hub answers.
func (f *Fleet) TakeHolding(h ratelease.Holding, rooted time.Time) {
	c := f.access.contactNow().Heard(boottime.Now(), rooted)
	f.access.holding.Store(&h)
	f.access.contact.Store(&c)
}

func (a *access) contactNow() ratelease.Contact { return *a.contact.Load() }

// share is what this host may send of an upstream's requests; ok is false if that is
// nothing.
func (a *access) share(u ratelease.Upstream, now time.Time) (share ratelease.Share, ok bool) {
	if a.alone {
		return ratelease.Whole(1, time.Time{}), true
	}
	holding := a.holding.Load()
	if holding == nil {
		return ratelease.Share{}, false
	}
	return holding.Share(u, now)
}

// lone is what this host may send a limited upstream for which no root gives leases.
func (a *access) lone(u ratelease.Upstream, now time.Time) ratelease.Allowance {
	since, lone := a.contactNow().Lone(now)
	if !lone {
		return ratelease.Allowance{}
	}
	hosts := a.hosts()
	if hosts == 0 {
		// This host's part isn't known, and with any guess below the number the limit is
		// exceeded.
		return ratelease.Allowance{}
	}
	return ratelease.Lone(hosts, u.Draw(a.seed), since)
}

// isEvacuated says whether the zone gets nothing.
func (a *access) isEvacuated(zone string) bool {
	zones := a.evacuated.Load()
	return zones != nil && (*zones)[zone]
}

// open says whether this host may send the upstream new requests now.
func (m *member) open(now time.Time, grace time.Duration) bool {
	if !m.takesWork(now, grace) || m.shard.access.isEvacuated(m.Zone) {
		return false
	}
	return m.mayWarm(now) && m.mayAdd(now)
}

// noteSent counts a request for the upstream.
func (m *member) noteSent(now time.Time) {
	if m.shard.bound.Rate > 0 {
		m.used().sent.Note(now)
	}
	if m.limited(now) {
		m.limit.bucket.Take()
	}
}

// Leased are the upstreams in service whose requests are leased, with all parts that one of
// so many roots of the hubs' tree has.
func (f *Fleet) Leased(roots int) []ratelease.Grant {
	var grants []ratelease.Grant
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			parts := m.parts(roots, now)
			if parts > 0 && m.takesWork(now, f.removalGrace) && !f.access.isEvacuated(m.Zone) {
				grants = append(grants, ratelease.Grant{Upstream: m.lease, Parts: parts, Of: parts})
			}
		}
	})
	return grants
}

// parts is in how many parts a root's requests for the upstream are split; 0 if they aren't
// leased.
func (m *member) parts(roots int, now time.Time) int {
	switch cold, limited := m.cold(now), m.limited(now); {
	case cold && limited:
		return min(m.shard.bound.Parts(roots), m.limit.Split(roots))
	case cold:
		return m.shard.bound.Parts(roots)
	case limited:
		return m.limit.Split(roots)
	}
	return 0
}

// reach counts upstreams that are in service, and those of them that are cold, that are in
// evacuated zones, and that name a limit.
type reach struct{ inService, cold, evacuated, limited int }

// reachOf counts a service's upstreams in the homes.
func (f *Fleet) reachOf(service string, at homes) reach {
	var n reach
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	n.add(s, at, f.removalGrace)
	return n
}

// reach counts the upstreams of all services.
func (f *Fleet) reach() reach {
	var n reach
	f.each(func(s *shard) { n.add(s, homes{}, f.removalGrace) })
	return n
}

// add counts a shard's upstreams in the homes. Its lock is held.
func (n *reach) add(s *shard, at homes, grace time.Duration) {
	now := boottime.Now()
	for _, m := range s.members {
		if !at.allow(m.Zone) || !m.takesWork(now, grace) {
			continue
		}
		n.inService++
		switch {
		case s.access.isEvacuated(m.Zone):
			n.evacuated++
		case m.cold(now):
			n.cold++
		}
		if m.limited(now) {
			n.limited++
		}
	}
}
