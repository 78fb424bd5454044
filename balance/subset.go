package balance

import (
	"cmp"
	"slices"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of Subset.
const (
	DefaultSubsetMin = 24
	DefaultSubsetMax = 512
)

// Subset limits the upstreams that a host sends to, separately for each pool or
// service. A host uses the upstreams of its own availability zone. If there are
// fewer than Min it adds upstreams of other zones, and if there are more than
// Max it omits some. The upstreams to add and to omit are selected by
// rendezvous hashing of the IDs of host and upstream, so that a change of the
// host list changes few of them.
type Subset struct {
	// Min and Max are numbers of upstreams of one pool or service; 0 means the
	// default.
	Min int
	Max int
}

// Select returns the upstreams of list that the host sends to, in the order of
// their IDs.
func (s Subset) Select(host, zone string, list []storage.Host) []storage.Host {
	s = s.withDefaults()
	pools := make(map[poolKey][]rankedHost)
	for _, h := range list {
		if h.Kind == storage.KindEntry {
			continue
		}
		key := poolKey{kind: h.Kind, name: h.Name}
		pools[key] = append(pools[key], rankedHost{host: h, sameZone: h.Zone == zone, rank: rendezvous(host, h.ID)})
	}
	var chosen []storage.Host
	for _, pool := range pools {
		chosen = s.appendMembers(chosen, pool)
	}
	slices.SortFunc(chosen, func(a, b storage.Host) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

type poolKey struct {
	kind storage.HostKind
	name string
}

type rankedHost struct {
	host     storage.Host
	sameZone bool
	rank     uint64
}

func (s Subset) withDefaults() Subset {
	s.Min = cmp.Or(s.Min, DefaultSubsetMin)
	s.Max = cmp.Or(s.Max, DefaultSubsetMax)
	return s
}

// appendMembers appends the members of one pool that belong to the subset.
func (s Subset) appendMembers(chosen []storage.Host, pool []rankedHost) []storage.Host {
	slices.SortFunc(pool, compareRankedHosts)
	for i, r := range pool {
		if i >= s.Max || !r.sameZone && i >= s.Min {
			break
		}
		chosen = append(chosen, r.host)
	}
	return chosen
}

// compareRankedHosts orders upstreams of the host's own zone first, then by
// descending rank.
func compareRankedHosts(a, b rankedHost) int {
	if a.sameZone != b.sameZone {
		if a.sameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rank, a.rank)
}

// PollingHost returns the entry host that polls the upstream's load on behalf of
// the others: the one with the highest rendezvous hash. It returns an empty
// string for an empty list.
func PollingHost(upstreamID string, hosts []string) string {
	polling := ""
	var best uint64
	for _, h := range hosts {
		if rank := rendezvous(upstreamID, h); polling == "" || rank > best {
			polling, best = h, rank
		}
	}
	return polling
}
