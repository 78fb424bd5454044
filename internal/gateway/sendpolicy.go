package gateway

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// sendPolicy holds the restrictions of this host's requests to upstreams that are in service: its
// leases for upstreams that are cold or rate-limited, and the evacuated availability zones.
type sendPolicy struct {
	// singleHost is set if there is no other host, so that this one may send all requests.
	singleHost bool
	// allContended is set if all services that run language models are contended
	// (Settings.Contended).
	allContended bool
	// hostCount returns the number of hosts, 0 while it is unknown. seed makes this host's random
	// draws differ from those of the other hosts.
	hostCount func() int
	seed      string
	// census is the number of hosts with those that the hub's data don't cover for the moment.
	census *hostCensus
	// coldOverrun and coldHeadroom bound the requests to cold upstreams (Settings.ColdOverrun).
	coldOverrun, coldHeadroom float64
	// holding contains the leases of this host: for each leased upstream, the part of the requests
	// of all hosts that this one may send. It is nil before the first reply from a hub.
	holding atomic.Pointer[ratelease.Holding]
	// hubContact is the state of this host's contact with its hub.
	hubContact atomic.Pointer[ratelease.HubContact]
	// evacuatedZones are the zones whose upstreams get no requests.
	evacuatedZones atomic.Pointer[map[string]bool]
	// engineState is the mode of Features.EngineState.
	engineState FeatureMode
}

func newSendPolicy(seed string) *sendPolicy {
	p := &sendPolicy{singleHost: true, seed: seed, hostCount: func() int { return 0 }, census: new(hostCensus)}
	c := ratelease.NewHubContact(boottime.Now())
	p.hubContact.Store(&c)
	return p
}

// SetHolding sets the leases of this host and the time at which a root hub last confirmed them. It
// is called for each reply from a hub.
func (f *Fleet) SetHolding(h ratelease.Holding, confirmedAt time.Time) {
	c := f.policy.currentContact().WithReply(boottime.Now(), confirmedAt)
	f.policy.holding.Store(&h)
	f.policy.hubContact.Store(&c)
}

func (p *sendPolicy) currentContact() ratelease.HubContact { return *p.hubContact.Load() }

// leasedShare returns the share of all hosts' requests to an upstream that this host may send; ok
// is false if it holds no lease for the upstream.
func (p *sendPolicy) leasedShare(u ratelease.UpstreamID, now time.Time) (leasedShare ratelease.Share, ok bool) {
	if p.singleHost {
		return ratelease.FullShare(1, time.Time{}), true
	}
	holding := p.holding.Load()
	if holding == nil {
		return ratelease.Share{}, false
	}
	return holding.Share(u, now)
}

// isolatedAllowance returns the requests that this host may send to a rate-limited upstream while
// it is isolated, which means that it can't receive leases from a root hub; none while it isn't
// isolated.
func (p *sendPolicy) isolatedAllowance(u ratelease.UpstreamID, now time.Time) ratelease.Allowance {
	since, isolated := p.currentContact().Isolated(now)
	if !isolated {
		return ratelease.Allowance{}
	}
	hosts := p.hostCount()
	if hosts == 0 {
		// The share of this host is 1 divided by the number of hosts, which isn't known. If it
		// assumed too small a number, the hosts together would exceed the limit.
		return ratelease.Allowance{}
	}
	return ratelease.IsolatedAllowance(hosts, u.Point(p.seed), since)
}

// isEvacuated reports whether the zone's upstreams get no requests.
func (p *sendPolicy) isEvacuated(zone string) bool {
	zones := p.evacuatedZones.Load()
	return zones != nil && (*zones)[zone]
}

// acceptsRequests reports whether this host may send a new request to the upstream now.
func (m *member) acceptsRequests(now time.Time) bool {
	if !m.inService(now) || m.shard.policy.isEvacuated(m.Zone) {
		return false
	}
	return m.noticesAllow(now) && m.brittleAllows(now) && m.loadLimitAllows(now) && m.coldBoundAllows(now) && m.limitAllows(now)
}

// recordSent counts a request to the upstream against its cold bound, its rate limit and the trials
// after a backoff.
func (m *member) recordSent(now time.Time) {
	if m.notices != nil {
		m.notices.backoff.RecordSent(now)
	}
	if m.shard.coldBound.Rate > 0 {
		m.ensureUsage().sent.Record(now)
	}
	if m.isLimited(now) {
		m.limit.bucket.Take()
	}
}

// LeaseGrants returns a grant for each upstream in service that is cold or rate-limited. Each grant
// consists of all parts that a single root hub grants if there is the given number of root hubs.
func (f *Fleet) LeaseGrants(roots int) []ratelease.Grant {
	var grants []ratelease.Grant
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.coldOrLimited {
			parts := m.leaseParts(roots, now)
			if parts > 0 && m.inService(now) && !f.policy.isEvacuated(m.Zone) {
				grants = append(grants, ratelease.Grant{Upstream: m.leaseID, Parts: parts, PartsPerRoot: parts})
			}
		}
	})
	return grants
}

// leaseParts returns the number of parts into which a root hub splits the requests to the upstream;
// 0 if the upstream is neither cold nor rate-limited.
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

// upstreamCounts holds the number of upstreams that are in service, and the numbers of those among
// them that are cold, in an evacuated zone, or rate-limited. Upstreams in evacuated zones aren't
// counted as cold. backingOff is the number of those that are neither and accept no requests of this
// host because of a backoff, because they are brittle or because their version fails above their load. leaving is the
// number of listed upstreams that aren't in service because they are leaving.
type upstreamCounts struct{ inService, cold, evacuated, limited, backingOff, leaving int }

// allLimited reports whether rate limits concern all upstreams in service that aren't cold or in an
// evacuated zone, and allHeldBack whether rate limits or backoffs do.
func (n *upstreamCounts) allLimited() bool {
	return n.limited > 0 && n.limited >= n.inService-n.cold-n.evacuated
}

func (n *upstreamCounts) allHeldBack() bool {
	return n.backingOff > 0 && n.limited+n.backingOff >= n.inService-n.cold-n.evacuated
}

// countUpstreams counts a service's upstreams in the regions and of the versions that admitsVersion admits.
func (f *Fleet) countUpstreams(service string, regions regionConstraint, admitsVersion func(version string) bool) upstreamCounts {
	var n upstreamCounts
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	n.add(s, regions, admitsVersion)
	return n
}

// countAllUpstreams counts the upstreams of all services.
func (f *Fleet) countAllUpstreams() upstreamCounts {
	var n upstreamCounts
	allVersions := func(string) bool { return true }
	f.eachShard(func(s *shard) { n.add(s, regionConstraint{}, allVersions) })
	return n
}

// add counts a shard's upstreams in the regions and of the admitted versions. The caller holds the shard's lock.
func (n *upstreamCounts) add(s *shard, regions regionConstraint, admitsVersion func(version string) bool) {
	now := boottime.Now()
	for _, m := range s.members {
		if !regions.allows(m.Zone) || !admitsVersion(m.Version) {
			continue
		}
		if m.removedAt.IsZero() && m.isLeaving(now) {
			n.leaving++
		}
		if !m.inService(now) {
			continue
		}
		n.inService++
		switch {
		case s.policy.isEvacuated(m.Zone):
			n.evacuated++
		case m.isCold(now):
			n.cold++
		case m.backsOff(now), !m.brittleAllows(now), !m.loadLimitAllows(now):
			n.backingOff++
			continue
		}
		if m.isLimited(now) {
			n.limited++
		}
	}
}
