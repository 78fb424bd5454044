package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// For a service with many upstreams the choice considers a few only: those that have parts of the
// prompt cached, the owners of its shared prefix, and some at random. Considering all takes longer
// than many requests have on a host with a fifth of a core. It doesn't choose better either: all
// hosts receive the same delayed load data, and would send the requests of that interval to the
// same few idle upstreams.

const (
	// fullScanLimit is the number of upstreams up to which all are considered; it is about the
	// size of the sample.
	fullScanLimit = 16
	// sameZoneDraws and otherZoneDraws are the numbers of upstreams of the host's own and of other
	// availability zones that are drawn at random. With load data that is 150 to 450 ms old, in
	// which time an engine processes one prompt, a few draws balance best.
	sameZoneDraws  = 4
	otherZoneDraws = 3
	// otherRegionDraws is the number of otherZoneDraws that may be of another region.
	otherRegionDraws = 1
	// maxCacheHolders bounds the engines that are considered because they have parts cached: parts
	// that are in most prompts are cached by many.
	maxCacheHolders = 8
	// maxDraws bounds the draws for each random choice, where some upstreams don't accept the
	// request.
	maxDraws = 4
	// ringPoints is the number of points of each upstream in a hash ring: the upstreams' shares of
	// the prefixes then differ from the mean by up to a half.
	ringPoints = 4
	// ringProbes bounds the search of a ring for an upstream that accepts the request.
	ringProbes = 256
	// indexMaxAge is how long an index is used although entries changed: when a service is
	// replaced, thousands change within seconds. Members that are no longer in service are
	// skipped.
	indexMaxAge = 200 * time.Millisecond
)

// memberIndex indexes the members of a service for the choice among a sample.
type memberIndex struct {
	builtAt time.Time
	// zones are the indexes of the availability zones with members, ordered by name. added are the
	// members that aren't in them yet. stale is set if some members in them have left the service
	// or their zone.
	zones zoneIndexes
	added []*member
	stale bool
}

// zoneIndexes are the indexes of several availability zones, ordered by name.
type zoneIndexes []*zoneIndex

// zoneIndex holds the members of an availability zone.
type zoneIndex struct {
	name    string
	members []*member
	ring    []ringPoint
}

// ringPoint is a point of a member in the hash ring that assigns shared prefixes to engines: the
// same on all hosts that have the same list of upstreams.
type ringPoint struct {
	at     uint64
	member *member
}

// currentIndex returns the shard's index, updated if it is older than indexMaxAge. The caller
// holds the shard's lock.
func (s *shard) currentIndex(now time.Time) *memberIndex {
	r := &s.index
	if len(r.added) == 0 && !r.stale || now.Sub(r.builtAt) < indexMaxAge {
		return r
	}
	r.builtAt = now
	if r.stale {
		r.dropStale(s)
	}
	r.merge()
	return r
}

// dropStale removes the members that left the service or their zone.
func (r *memberIndex) dropStale(s *shard) {
	r.stale = false
	for _, z := range r.zones {
		gone := func(m *member) bool { return s.members[m.ID] != m || m.Zone != z.name }
		for _, m := range z.members {
			if s.members[m.ID] == m && m.Zone != z.name {
				r.added = append(r.added, m)
			}
		}
		z.members = slices.DeleteFunc(z.members, gone)
		z.ring = slices.DeleteFunc(z.ring, func(p ringPoint) bool { return gone(p.member) })
	}
	r.zones = slices.DeleteFunc(r.zones, func(z *zoneIndex) bool { return len(z.members) == 0 })
	r.added = slices.DeleteFunc(r.added, func(m *member) bool { return s.members[m.ID] != m })
}

// merge adds the new members to their zones. It sorts the new points only, and merges them in one
// pass.
func (r *memberIndex) merge() {
	slices.SortStableFunc(r.added, func(a, b *member) int { return cmp.Compare(a.Zone, b.Zone) })
	for first := 0; first < len(r.added); {
		name, end := r.added[first].Zone, first
		for end < len(r.added) && r.added[end].Zone == name {
			end++
		}
		r.zone(name).add(r.added[first:end])
		first = end
	}
	r.added = nil
}

// zone returns the zone's index, creating an empty one if there is none.
func (r *memberIndex) zone(name string) *zoneIndex {
	i, found := slices.BinarySearchFunc(r.zones, name, func(z *zoneIndex, name string) int { return cmp.Compare(z.name, name) })
	if !found {
		r.zones = slices.Insert(r.zones, i, &zoneIndex{name: name})
	}
	return r.zones[i]
}

// add merges the members' points into the ring.
func (z *zoneIndex) add(members []*member) {
	points := make([]ringPoint, 0, ringPoints*len(members))
	for _, m := range members {
		for i := range ringPoints {
			points = append(points, ringPoint{at: evenhash.Sum(m.ID, string(rune('a'+i))), member: m})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	z.members = append(z.members, members...)
	old, next := len(z.ring)-1, len(points)-1
	z.ring = slices.Grow(z.ring, len(points))[:len(z.ring)+len(points)]
	for i := len(z.ring) - 1; next >= 0; i-- {
		if old >= 0 && z.ring[old].at > points[next].at {
			z.ring[i] = z.ring[old]
			old--
		} else {
			z.ring[i] = points[next]
			next--
		}
	}
}

// firstPoint returns the position in the ring of the first point at or after the subject.
func (z *zoneIndex) firstPoint(subject uint64) int {
	i, _ := slices.BinarySearchFunc(z.ring, subject, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	return i
}

// owner returns the first usable member at or after the subject in the zones' rings, searched as
// one ring; nil if ringProbes points have none.
func (l zoneIndexes) owner(subject uint64, usable func(*member) bool) *member {
	starts, passed := make([]int, len(l)), make([]int, len(l))
	for i, z := range l {
		starts[i] = z.firstPoint(subject)
	}
	for range ringProbes {
		var nearest *member
		zone, least := -1, uint64(0)
		for i, z := range l {
			if passed[i] == len(z.ring) {
				continue
			}
			// The subtraction wraps around: points before the subject come after all others.
			p := z.ring[(starts[i]+passed[i])%len(z.ring)]
			if distance := p.at - subject; zone < 0 || distance < least {
				nearest, zone, least = p.member, i, distance
			}
		}
		if zone < 0 {
			return nil
		}
		if usable(nearest) {
			return nearest
		}
		passed[zone]++
	}
	return nil
}

// candidateList holds the upstreams that a request may be sent to.
type candidateList struct {
	members []*member
	// owner and nearOwner are the engines that own the prompt's shared prefix among all
	// availability zones and within the host's own. They are nil where the list contains all
	// members, which are then ordered by hash.
	owner, nearOwner *member
}

func (l *candidateList) add(m *member) {
	if m != nil && !slices.Contains(l.members, m) {
		l.members = append(l.members, m)
	}
}

// sampleCandidates returns candidates of a service with many upstreams; none if no sampled one
// accepts the request.
func (s *shard) sampleCandidates(w *criteria, now time.Time, grace time.Duration) candidateList {
	r := s.currentIndex(now)
	near, region, all := r.zonesFor(w, s.topology)
	usable := func(m *member) bool {
		return m.removedAt.IsZero() && w.admits(m.Version) && !slices.Contains(w.exclude, m.ID) &&
			!m.ejected(now) && m.acceptsRequests(now, grace)
	}
	list := candidateList{members: make([]*member, 0, maxCacheHolders+sameZoneDraws+otherZoneDraws+2)}
	if w.prompt != nil {
		s.addCacheHolders(&list, w, usable)
		subject := evenhash.Sum(sharedPrefix(w.prompt))
		list.owner, list.nearOwner = region.owner(subject, usable), near.owner(subject, usable)
		list.add(list.owner)
		list.add(list.nearOwner)
	}
	list.addRandom(sameZoneDraws, near, usable)
	list.addRandom(otherZoneDraws-otherRegionDraws, region, usable)
	list.addRandom(otherRegionDraws, all, usable)
	return list
}

// zonesFor returns the zones in which the request may run: the host's own, or none if it is
// excluded; those of the host's region, or all if it has none; and all.
func (r *memberIndex) zonesFor(w *criteria, g *zoneTopology) (near, region, all zoneIndexes) {
	all = r.zones
	if w.regions.restricted() {
		all = slices.DeleteFunc(slices.Clone(all), func(z *zoneIndex) bool { return !w.regions.allows(z.name) })
	}
	region = all
	if slices.ContainsFunc(all, func(z *zoneIndex) bool { return !g.sameRegion(z.name) }) {
		region = slices.DeleteFunc(slices.Clone(all), func(z *zoneIndex) bool { return !g.sameRegion(z.name) })
	}
	if len(region) == 0 {
		region = all
	}
	if i := slices.IndexFunc(all, func(z *zoneIndex) bool { return z.name == w.zone }); i >= 0 {
		near = all[i : i+1]
	}
	return near, region, all
}

// any returns a random member. The zones must have at least one.
func (l zoneIndexes) any() *member {
	n := 0
	for _, z := range l {
		n += len(z.members)
	}
	n = rand.IntN(n)
	for _, z := range l {
		if n < len(z.members) {
			return z.members[n]
		}
		n -= len(z.members)
	}
	return nil
}

// addRandom adds random members of the zones.
func (l *candidateList) addRandom(choices int, from zoneIndexes, usable func(*member) bool) {
	if len(from) == 0 {
		return
	}
	for range choices {
		for range maxDraws {
			if m := from.any(); usable(m) {
				l.add(m)
				break
			}
		}
	}
}

// addCacheHolders adds engines that have parts of the prompt cached, those of the longest prefixes
// first and in a random order where many hold the same prefix.
func (s *shard) addCacheHolders(list *candidateList, w *criteria, usable func(*member) bool) {
	for i := len(w.keys) - 1; i >= 0; i-- {
		holders := s.cachedPrompts.Engines(w.keys[i])
		if len(holders) == 0 {
			continue
		}
		start := rand.IntN(len(holders))
		for j := range holders {
			if len(list.members) >= maxCacheHolders {
				return
			}
			if m := holders[(start+j)%len(holders)]; usable(m) {
				list.add(m)
			}
		}
	}
}

// preference returns a candidate's rank for the prompt's shared prefix: owners rank above all
// others.
func (l *candidateList) preference(m *member, subject string) uint64 {
	switch {
	case m == l.owner:
		return math.MaxUint64
	case m == l.nearOwner:
		return math.MaxUint64 - 1
	case l.owner != nil || l.nearOwner != nil:
		return 0
	default:
		return evenhash.Sum(subject, m.ID)
	}
}

// unindex removes the member from the shard's indexes. The caller holds the shard's lock.
func (s *shard) unindex(m *member) {
	m.withdrawn = true // the index may still contain it for indexMaxAge
	s.starts.count(&m.Upstream, -1)
	delete(s.active, m)
	delete(s.leased, m)
	s.cachedPrompts.RemoveEngine(m)
	s.setAddress(m, "")
	if s.names[m.name] == m {
		delete(s.names, m.name)
	}
	if s.leases[m.lease] == m {
		delete(s.leases, m.lease)
	}
	delete(s.unreportedLimits, m)
	s.index.stale = true
}
