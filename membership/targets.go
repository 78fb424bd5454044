package membership

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rings holds the other members in the order in which this host probes them. All
// hosts compute the same order, so each member is probed by as many members as it
// probes.
type rings struct {
	// zone and global hold the other live members of this host's zone and of
	// all zones, in ring order from the successor of this host. otherZones
	// holds the live members outside the zone, and down holds the members that
	// are Down.
	zone, global, otherZones []Member
	down                     []Member
}

// ringSalt makes the order of a ring independent of other uses of the hash.
type ringSalt string

const (
	zoneRing   ringSalt = "zone ring "
	globalRing ringSalt = "global ring "
)

func newRings(self Member, members []Member) rings {
	var r rings
	for _, member := range members {
		switch {
		case member.ID == self.ID:
		case !member.alive():
			r.down = append(r.down, member)
		default:
			r.global = append(r.global, member)
			if member.Zone == self.Zone {
				r.zone = append(r.zone, member)
			} else {
				r.otherZones = append(r.otherZones, member)
			}
		}
	}
	r.zone = sortFromSuccessor(self, r.zone, zoneRing)
	r.global = sortFromSuccessor(self, r.global, globalRing)
	return r
}

// sortFromSuccessor sorts members by a hash of their ids, beginning after self.
func sortFromSuccessor(self Member, members []Member, salt ringSalt) []Member {
	position := func(m Member) uint64 { return xxhash.Sum64String(string(salt) + m.ID) }
	start := position(self)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		// The unsigned subtraction wraps around, which gives the order of a ring.
		return cmp.Compare(position(a)-start, position(b)-start)
	})
	return sorted
}

// targets returns the members to exchange with in a round: the successors on both
// rings, and delegates outside the zone, which change from round to round.
func (r rings) targets(self Member, round uint64, o Options) []Member {
	var chosen []Member
	chosen = appendDistinct(chosen, successors(r.zone, o.ZoneTargets), len(r.zone))
	chosen = appendDistinct(chosen, successors(r.global, o.GlobalTargets), len(r.global))
	pool := r.otherZones
	if len(pool) == 0 {
		pool = r.global
	}
	chosen = appendDistinct(chosen, delegates(self.ID, round, pool, o.Delegates), o.Delegates)
	return chosen
}

// successors returns the first n members of a ring that aren't Suspect, and up to
// n Suspect ones before them. If several neighbours fail at the same time, this host
// thus probes the later ones before the first ones are Down.
func successors(ring []Member, n int) []Member {
	var chosen []Member
	suspects := 0
	for _, member := range ring {
		if n == 0 {
			break
		}
		if member.State != Suspect {
			chosen = append(chosen, member)
			n--
			continue
		}
		if suspects < n {
			chosen = append(chosen, member)
			suspects++
		}
	}
	return chosen
}

// appendDistinct appends up to n members of list that aren't in chosen.
func appendDistinct(chosen, list []Member, n int) []Member {
	for _, member := range list {
		if n == 0 {
			break
		}
		if slices.ContainsFunc(chosen, func(c Member) bool { return c.ID == member.ID }) {
			continue
		}
		chosen = append(chosen, member)
		n--
	}
	return chosen
}

// delegates returns the n members of the pool with the highest rendezvous hashes
// for this host and round.
func delegates(self string, round uint64, pool []Member, n int) []Member {
	if n >= len(pool) {
		return pool
	}
	prefix := binary.BigEndian.AppendUint64([]byte(self+" "), round)
	best := make([]Member, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, member := range pool {
		weight := xxhash.Sum64(append(prefix, member.ID...))
		index, _ := slices.BinarySearchFunc(weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
		if index >= n {
			continue
		}
		best = slices.Insert(best, index, member)
		weights = slices.Insert(weights, index, weight)
		best, weights = best[:min(len(best), n)], weights[:min(len(weights), n)]
	}
	return best
}

// maxTransmissions returns how often a host sends the current version of a
// record: slightly more than the base-2 logarithm of the number of members,
// which is the number of rounds to reach all of them if the number of hosts
// with the record doubles in each round.
func maxTransmissions(members int) int {
	const margin = 2
	return bits.Len(uint(members)) + margin
}
