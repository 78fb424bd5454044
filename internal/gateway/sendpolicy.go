package gateway

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// sendPolicy holds what restricts this host's requests to upstreams that are in service: leases
// for upstreams that are cold or rate-limited, and the evacuated availability zones.
type sendPolicy struct {
	// singleHost is set if there is no other host: this one then holds all leases.
	singleHost bool
	// hosts returns the number of hosts, 0 while it is unknown. seed makes this host's random
	// draws differ from the other hosts'.
	hosts func() int
	seed  string
	// coldOverrun and coldHeadroom are the operators' bounds for cold upstreams.
	coldOverrun, coldHeadroom float64
	// holding are the leases of this host: the parts of upstreams' requests that it may send.
	holding atomic.Pointer[ratelease.Holding]
	// hubContact is the state of this host's contact with its hub.
	hubContact atomic.Pointer[ratelease.HubContact]
	// evacuatedZones are the zones whose upstreams get no requests.
	evacuatedZones atomic.Pointer[map[string]bool]
}

func newSendPolicy(seed string) *sendPolicy {
	a := &sendPolicy{singleHost: true, seed: seed, hosts: func() int { return 0 }}
	c := ratelease.NewHubContact(boottime.Now())
	a.hubContact.Store(&c)
	return a
}

// SetHolding sets the leases of this host and the time at which a root hub last confirmed them. It
// is called for each answer of a hub.
func (f *Fleet) SetHolding(h ratelease.Holding, confirmedAt time.Time) {
	c := f.policy.currentContact().Answered(boottime.Now(), confirmedAt)
	f.policy.holding.Store(&h)
	f.policy.hubContact.Store(&c)
}

func (a *sendPolicy) currentContact() ratelease.HubContact { return *a.hubContact.Load() }

// leasedShare returns the share of an upstream's requests that this host may send; ok is false if
// it holds no lease.
func (a *sendPolicy) leasedShare(u ratelease.UpstreamID, now time.Time) (leasedShare ratelease.Share, ok bool) {
	if a.singleHost {
		return ratelease.FullShare(1, time.Time{}), true
	}
	holding := a.holding.Load()
	if holding == nil {
		return ratelease.Share{}, false
	}
	return holding.Share(u, now)
}

// disconnectedAllowance returns what this host may send to a rate-limited upstream while no root
// hub grants leases.
func (a *sendPolicy) disconnectedAllowance(u ratelease.UpstreamID, now time.Time) ratelease.Allowance {
	since, disconnected := a.currentContact().Isolated(now)
	if !disconnected {
		return ratelease.Allowance{}
	}
	hosts := a.hosts()
	if hosts == 0 {
		// This host's share isn't known, and a guess below the number of hosts would exceed the
		// limit.
		return ratelease.Allowance{}
	}
	return ratelease.IsolatedAllowance(hosts, u.Point(a.seed), since)
}

// isEvacuated reports whether the zone's upstreams get no requests.
func (a *sendPolicy) isEvacuated(zone string) bool {
	zones := a.evacuatedZones.Load()
	return zones != nil && (*zones)[zone]
}

// acceptsRequests reports whether this host may send the upstream new requests now.
func (m *member) acceptsRequests(now time.Time, grace time.Duration) bool {
	if !m.inService(now, grace) || m.shard.policy.isEvacuated(m.Zone) {
		return false
	}
	return m.coldBoundAllows(now) && m.limitAllows(now)
}

// recordSent counts a request to the upstream against its cold bound and its rate limit.
func (m *member) recordSent(now time.Time) {
	if m.shard.coldBound.Rate > 0 {
		m.ensureUsage().sent.Record(now)
	}
	if m.isLimited(now) {
		m.limit.bucket.Take()
	}
}

// LeaseGrants returns the leased upstreams in service, each with the number of parts that one of
// the given number of root hubs grants.
func (f *Fleet) LeaseGrants(roots int) []ratelease.Grant {
	var grants []ratelease.Grant
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			parts := m.leaseParts(roots, now)
			if parts > 0 && m.inService(now, f.removalGrace) && !f.policy.isEvacuated(m.Zone) {
				grants = append(grants, ratelease.Grant{Upstream: m.lease, Parts: parts, Of: parts})
			}
		}
	})
	return grants
}

// leaseParts returns the number of parts into which a root hub splits the requests for the
// upstream; 0 if they aren't leased.
func (m *member) leaseParts(roots int, now time.Time) int {
	switch cold, limited := m.isCold(now), m.isLimited(now); {
	case cold && limited:
		return min(m.shard.coldBound.Parts(roots), m.limit.PartCount(roots))
	case cold:
		return m.shard.coldBound.Parts(roots)
	case limited:
		return m.limit.PartCount(roots)
	}
	return 0
}

// upstreamCounts counts upstreams that are in service, and those of them that are cold, in
// evacuated zones, or rate-limited.
type upstreamCounts struct{ inService, cold, evacuated, limited int }

// countUpstreams counts a service's upstreams in the regions.
func (f *Fleet) countUpstreams(service string, regions regionConstraint) upstreamCounts {
	var n upstreamCounts
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	n.add(s, regions, f.removalGrace)
	return n
}

// countAllUpstreams counts the upstreams of all services.
func (f *Fleet) countAllUpstreams() upstreamCounts {
	var n upstreamCounts
	f.each(func(s *shard) { n.add(s, regionConstraint{}, f.removalGrace) })
	return n
}

// add counts a shard's upstreams in the regions. The caller holds the shard's lock.
func (n *upstreamCounts) add(s *shard, regions regionConstraint, grace time.Duration) {
	now := boottime.Now()
	for _, m := range s.members {
		if !regions.allows(m.Zone) || !m.inService(now, grace) {
			continue
		}
		n.inService++
		switch {
		case s.policy.isEvacuated(m.Zone):
			n.evacuated++
		case m.isCold(now):
			n.cold++
		}
		if m.isLimited(now) {
			n.limited++
		}
	}
}
