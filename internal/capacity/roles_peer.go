package capacity

import (
	"math"

	"github.com/quetzalweir/quetzalweir/membership"
)

const (
	// evidenceRate is how often a second entry hosts exchange evidence.
	evidenceRate = 4
	// relayEvery is the number of rounds between two in which one host is told
	// all evidence.
	relayEvery = 8
	// rollingShare is the assumed part of requests that go to versions that
	// roll in.
	rollingShare = 0.05
	// clientIdle is how long, in seconds, a connection without calls is kept.
	clientIdle = 60
	// presencePage and presenceRow are the rows of a page of package
	// membership, and the bytes of a row.
	presencePage = 256
	presenceRow  = 256
	// presencePerRow is the least time between listings for each row, in
	// seconds.
	presencePerRow = 0.5
)

// connections is the number of connections that a host has in each direction:
// to its neighbours, and to the delegates of the last minute.
func (s Size) connections() float64 {
	neighbours := float64(membership.DefaultZoneTargets + membership.DefaultGlobalTargets)
	delegates := clientIdle / membership.DefaultInterval.Seconds()
	return min(s.Hosts-1, neighbours+delegates)
}

func peerRole() Role {
	use := func(m *Model, conns, dials float64) Usage {
		return Usage{
			State:    m.at(ConnMemory, conns),
			Messages: 2 * 2 * dials,
			Bytes:    2 * dials * m.constant(DialBytes),
			CPU:      dials * m.constant(DialCPU) * micro,
		}
	}
	dials := func(s Size) float64 {
		if s.Hosts-1 <= s.connections() {
			return 0
		}
		return 1 / membership.DefaultInterval.Seconds()
	}
	return Role{
		Name:      "peer connections",
		State:     "one connection a host in each direction; as built the evidence keeps those to all hosts open",
		Mechanism: "connections only to neighbours and the delegates of the last minute, which is what the membership needs (built); without the exchange of evidence with all hosts",
		Status:    Partly,
		AsBuilt: func(m *Model) Usage {
			return use(m, m.Size.Hosts-1, 0)
		},
		Carried: func(m *Model) Usage {
			return use(m, m.Size.connections(), dials(m.Size))
		},
	}
}

func membershipRole() Role {
	return Role{
		Name:      "membership and facts",
		State:     "a record for each host and for each fact of the last minutes",
		Mechanism: "a fixed number of exchanges a second whatever the size, digests in place of lists, pushes to 4 hosts (built); a presence row that is renewed each 30 s with a lease of 90 s in place of each 10 s (the intervals are options, `entry` leaves the defaults)",
		Status:    Partly,
		AsBuilt:   func(m *Model) Usage { return membershipUse(m, membership.DefaultRenewInterval.Seconds()) },
		Carried:   func(m *Model) Usage { return membershipUse(m, 30) },
	}
}

func membershipUse(m *Model, renew float64) Usage {
	s := m.Size
	facts := s.changesPerSecond() + s.upstreamRestarts() + memberChanges*s.hostRestarts()
	exchanges := m.at(GossipCalls, s.Hosts)
	u := Usage{
		State:    m.at(MemberMemory, s.Hosts),
		Messages: 2 * exchanges,
		Bytes:    m.at(GossipBytes, s.Hosts) + exchanges*m.constant(CallBytes) + facts*m.at(FactBytes, s.Hosts),
		CPU:      (m.at(GossipCPU, s.Hosts) + exchanges*m.constant(CallCPU)/2) * micro,
	}
	u = u.plus(m.commits(1/renew, presenceRow))
	wait := max(membership.DefaultDiscoverInterval.Seconds(), s.Hosts*presencePerRow)
	return u.plus(m.lists(1/wait, s.Hosts, presencePage))
}

func exposureRole() Role {
	return Role{
		Name:      "exposure evidence",
		State:     "counters of each host for each version that rolls in",
		Mechanism: "once a second a host sends its own counters to one delegate of its zone, and the delegates exchange sums of zones with 2 others (not built: counters are kept for each host, and no sum of them can be merged yet)",
		Status:    NotBuilt,
		// A host tells all others its own record when it changed, and in each
		// eighth round one of them the records of all hosts.
		AsBuilt: func(m *Model) Usage {
			s := m.Size
			answers := rollingShare * s.requestsPerHost() / s.RollingIn
			changed := 1 - math.Exp(-answers/evidenceRate)
			calls := 2 * (s.Hosts - 1) * evidenceRate
			const relays = 2 * evidenceRate / float64(relayEvery)
			own := evidenceUse(m, calls*changed, s.RollingIn, EvidenceOwnBytes)
			all := evidenceUse(m, relays, s.RollingIn*s.Hosts, EvidenceBytes)
			u := own.plus(all)
			u.State = s.RollingIn * m.at(EvidenceHeap, s.Hosts)
			return u
		},
		Carried: func(m *Model) Usage {
			s := m.Size
			// Own counters go out and the sum of all zones comes back; a delegate
			// has as much again for each host of its zone, spread by changing it.
			const calls = 2 * 3
			u := evidenceUse(m, calls, s.RollingIn, EvidenceOwnBytes)
			u.State = s.RollingIn * m.at(EvidenceHeap, s.Zones)
			return u
		},
	}
}

// evidenceUse is the cost of calls a second, made and answered, with records
// in each.
func evidenceUse(m *Model, calls, records float64, record ID) Usage {
	return Usage{
		Messages: 2 * calls,
		Bytes:    calls * (m.constant(CallBytes) + records*m.constant(record)),
		CPU:      calls * (m.constant(CallCPU) + records*m.constant(EvidenceCPU)) / 2 * micro,
	}
}

// viewsInOutage is the calls a second by which a host asks all others for
// their manifest while the table is down, with those that it answers.
func viewsInOutage(m *Model) Usage {
	s := m.Size
	rate := 2 * (s.Hosts - 1) / viewInterval(s.Hosts)
	return Usage{
		Messages: 2 * rate,
		Bytes:    rate * m.constant(ViewBytes),
		CPU:      rate * m.constant(CallCPU) / 2 * micro,
	}
}

// viewInterval is the time between two questions in seconds, as package config
// sets it for a known number of hosts.
func viewInterval(hosts float64) float64 {
	const perSecond, low, high = 20, 1, 5.0 / 3
	return math.Min(math.Max(hosts/perSecond, low), high)
}
