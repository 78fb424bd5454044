package capacity

import (
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/entry"
)

const (
	// indexed bounds the blocks of the index over all upstreams, with the
	// mechanism.
	indexed = 65_536
	// homeSeconds is the time between two polls of an upstream by its home host.
	homeSeconds = 5
	// summaryBytes is an upstream's part of a home host's summary: a number for
	// its id, running, queued, capacity, age.
	summaryBytes = 12
)

// subset is the number of upstreams that a host sends to: of each pool those of
// its zone, between the bounds of balance.Subset.
func (s Size) subset() float64 {
	near := s.Upstreams / s.Zones / s.Pools
	perPool := max(balance.DefaultSubsetMin, min(near, balance.DefaultSubsetMax))
	return min(s.Upstreams, s.Pools*perPool)
}

func loadRole() Role {
	return Role{
		Name:      "load reports",
		State:     "the last report of each upstream in the subset, connections to them",
		Mechanism: "one home host of the zone polls an upstream, each 5 s, and sends a summary to the hosts of its zone (`balance.Home` is built, its use isn't); between them the reports on the answers' heads and the host's own count of what it sent, and a subset by the host's zone (built)",
		Status:    Partly,
		AsBuilt: func(m *Model) Usage {
			polled := m.Size.subset()
			rate := polled / entry.DefaultPollLoad.Seconds()
			return Usage{
				State:    m.at(PollMemory, polled) + m.at(PoolMemory, polled),
				Messages: 2 * rate,
				Bytes:    rate * m.constant(PollBytes),
				CPU:      rate * m.constant(PollCPU) * micro,
			}
		},
		Carried: func(m *Model) Usage {
			s := m.Size
			homes := s.Upstreams / s.Hosts
			rate := homes / homeSeconds
			inZone := s.Hosts/s.Zones - 1
			// Summaries go out to the zone and come in from it.
			summary := m.constant(CallBytes) + homes*summaryBytes
			calls := 2 * inZone / homeSeconds
			return Usage{
				State:    m.at(PollMemory, homes) + m.at(PoolMemory, s.subset()),
				Messages: 2*rate + 2*calls,
				Bytes:    rate*m.constant(PollBytes) + calls*summary,
				CPU:      (rate*m.constant(PollCPU) + calls*m.constant(CallCPU)) * micro,
			}
		},
	}
}

func hostListRole() Role {
	use := func(m *Model, updates float64) Usage {
		s := m.Size
		rate := 1 / entry.DefaultPollHosts.Seconds()
		changed := listChanges * (s.upstreamRestarts() + s.hostRestarts()) / rate
		listed := s.Upstreams + s.Hosts
		return Usage{
			State:    m.at(HostsMemory, listed),
			Messages: 2 * rate,
			Bytes:    rate * m.at(HostsBytes, changed),
			CPU:      (rate*m.at(HostsCPU, listed) + updates*m.at(UpdateCPU, listed)) * micro,
		}
	}
	return Role{
		Name:      "host list",
		State:     "the platform's list, twice while a call's copy lives",
		Mechanism: "changes since a cursor (built); the pool and the directory are brought up to date by the changes only, in place of the whole list at each call (not built)",
		Status:    Partly,
		AsBuilt: func(m *Model) Usage {
			return use(m, 1/entry.DefaultPollHosts.Seconds())
		},
		// With the mechanism a change costs what a whole list costs now, which is
		// an upper bound, and a call without one the copy of no list.
		Carried: func(m *Model) Usage {
			u := use(m, 0)
			changes := listChanges * (m.Size.upstreamRestarts() + m.Size.hostRestarts())
			listed := m.Size.Upstreams + m.Size.Hosts
			u.CPU = (m.at(HostsCPU, 0) + changes*(m.at(HostsCPU, listed)+m.at(UpdateCPU, listed))) * micro
			return u
		},
	}
}

func prefixRole() Role {
	return Role{
		Name:      "prefix index",
		State:     "up to 4,096 blocks for each upstream in the subset",
		Mechanism: "one bound on the blocks of all upstreams together, 65,536 (not built); blocks are learned from the host's own requests, so there is no traffic; cache events reach no host yet",
		Status:    NotBuilt,
		AsBuilt: func(m *Model) Usage {
			return Usage{State: m.at(PrefixMemory, balance.DefaultIndexBlocks*m.Size.subset())}
		},
		Carried: func(m *Model) Usage {
			return Usage{State: m.at(PrefixMemory, min(indexed, balance.DefaultIndexBlocks*m.Size.subset()))}
		},
	}
}
