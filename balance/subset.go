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

// Subset bounds which upstreams a host sends to, for each pool or service by
// itself. A host takes the upstreams of its own availability zone; where these
// are fewer than Min it fills up from other zones, and where they are more
// than Max it leaves some out. Both follow rendezvous hashing of the pair of
// host and upstream, so that a change of the list moves few of them.
type Subset struct {
	// Min and Max are numbers of upstreams; 0 means the default.
	Min int
	Max int
}

// Select returns the upstreams of list that the host sends to, in the order of
// their IDs.
func (s Subset) Select(host, zone string, list []storage.Host) []storage.Host {
	s = s.withDefaults()
	pools := make(map[poolKey][]ranked)
	for _, h := range list {
		if h.Kind == storage.KindEntry {
			continue
		}
		key := poolKey{kind: h.Kind, name: h.Name}
		pools[key] = append(pools[key], ranked{host: h, near: h.Zone == zone, rank: rendezvous(host, h.ID)})
	}
	var chosen []storage.Host
	for _, pool := range pools {
		chosen = s.take(chosen, pool)
	}
	slices.SortFunc(chosen, func(a, b storage.Host) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

type poolKey struct {
	kind storage.HostKind
	name string
}

type ranked struct {
	host storage.Host
	near bool
	rank uint64
}

func (s Subset) withDefaults() Subset {
	s.Min = cmp.Or(s.Min, DefaultSubsetMin)
	s.Max = cmp.Or(s.Max, DefaultSubsetMax)
	return s
}

// take appends the members of one pool that belong to the subset.
func (s Subset) take(chosen []storage.Host, pool []ranked) []storage.Host {
	slices.SortFunc(pool, compareRanked)
	for i, r := range pool {
		if i >= s.Max || !r.near && i >= s.Min {
			break
		}
		chosen = append(chosen, r.host)
	}
	return chosen
}

// compareRanked puts the own zone first, then higher ranks.
func compareRanked(a, b ranked) int {
	if a.near != b.near {
		if a.near {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rank, a.rank)
}

// Home returns the entry host that polls the upstream's load on behalf of the
// others: the first by rendezvous hashing. It is empty for an empty list.
func Home(upstreamID string, hosts []string) string {
	home := ""
	var best uint64
	for _, h := range hosts {
		if rank := rendezvous(upstreamID, h); home == "" || rank > best {
			home, best = h, rank
		}
	}
	return home
}
