package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// For a service with many upstreams, the choice of an upstream considers only a few: those that
// have parts of the prompt cached, the owners of the prompt's shared prefix, and a few random ones.
// On a host with a fifth of a core, considering all would take longer than many requests can wait.
// It wouldn't choose better either: all hosts receive the same delayed load data, so that until the
// next update all would send their requests to the same few idle upstreams.

const (
	// fullScanLimit is the largest number of upstreams of a service for which all are considered.
	// It is about the size of a sample.
	fullScanLimit = 16
	// sameZoneDraws is the number of upstreams that are drawn at random from the host's own
	// availability zone, otherZoneDraws the number drawn from all zones of its region. A few draws
	// balance the load best: the load data is 150 to 450 ms old, and an engine processes one prompt
	// in that time, so that with many draws the hosts would choose the same upstreams, which are no
	// longer idle.
	sameZoneDraws  = 4
	otherZoneDraws = 3
	// otherRegionDraws is the number of the otherZoneDraws that are made among the zones of all
	// regions.
	otherRegionDraws = 1
	// maxCacheHolders bounds the number of engines that are considered because they have parts of
	// the prompt cached. Parts that occur in most prompts are cached by many engines.
	maxCacheHolders = 8
	// maxTriesPerDraw bounds how often a draw is repeated because the upstream that was drawn
	// doesn't accept the request.
	maxTriesPerDraw = 4
	// pointsPerMember is the number of points of each upstream in a hash ring. With 4 points, the
	// upstreams' shares of the prefixes differ from the mean by up to a half.
	pointsPerMember = 4
	// maxRingProbes bounds the number of points at which the owner of a prefix is searched for
	// among upstreams that accept the request.
	maxRingProbes = 256
	// indexMaxAge is the minimum time between two updates of an index. When a service is replaced,
	// thousands of entries change within seconds. Members that are no longer in service are skipped
	// until the update.
	indexMaxAge = 200 * time.Millisecond
)

// memberIndex indexes the members of a service, to draw a sample without a scan of all. builtAt is
// when it was last updated.
type memberIndex struct {
	builtAt time.Time
	// zones are the indexes of the availability zones with members, ordered by name. added are the
	// members that aren't in zones yet. stale is set if zones contains members that left the
	// service or moved to another zone.
	zones zoneIndexes
	added []*member
	stale bool
}

// zoneIndexes are the indexes of several availability zones, ordered by name.
type zoneIndexes []*zoneIndex

// zoneIndex holds the members of an availability zone, in a list and as points of a hash ring.
type zoneIndex struct {
	name    string
	members []*member
	ring    []ringPoint
}

// ringPoint is a point of a member in the hash ring that assigns shared prefixes to engines. All
// hosts that have the same list of upstreams compute the same ring.
type ringPoint struct {
	at     uint64
	member *member
}

// refreshIndex updates the shard's index if members changed and the last update was at least
// indexMaxAge ago, and returns the index. The caller holds the shard's lock.
func (s *shard) refreshIndex(now time.Time) *memberIndex {
	idx := &s.index
	if len(idx.added) == 0 && !idx.stale || now.Sub(idx.builtAt) < indexMaxAge {
		return idx
	}
	idx.builtAt = now
	if idx.stale {
		idx.dropStale(s)
	}
	idx.merge()
	return idx
}

// dropStale removes the members that left the service. Members that moved to another zone are
// removed from the former one and added by the next merge.
func (idx *memberIndex) dropStale(s *shard) {
	idx.stale = false
	for _, z := range idx.zones {
		gone := func(m *member) bool { return s.members[m.ID] != m || m.Zone != z.name }
		for _, m := range z.members {
			if s.members[m.ID] == m && m.Zone != z.name {
				idx.added = append(idx.added, m)
			}
		}
		z.members = slices.DeleteFunc(z.members, gone)
		z.ring = slices.DeleteFunc(z.ring, func(p ringPoint) bool { return gone(p.member) })
	}
	idx.zones = slices.DeleteFunc(idx.zones, func(z *zoneIndex) bool { return len(z.members) == 0 })
	idx.added = slices.DeleteFunc(idx.added, func(m *member) bool { return s.members[m.ID] != m })
}

// merge adds the new members to the indexes of their zones.
func (idx *memberIndex) merge() {
	slices.SortStableFunc(idx.added, func(a, b *member) int { return cmp.Compare(a.Zone, b.Zone) })
	for first := 0; first < len(idx.added); {
		name, end := idx.added[first].Zone, first
		for end < len(idx.added) && idx.added[end].Zone == name {
			end++
		}
		idx.zone(name).add(idx.added[first:end])
		first = end
	}
	idx.added = nil
}

// zone returns the zone's index, creating an empty one if there is none.
func (idx *memberIndex) zone(name string) *zoneIndex {
	i, found := slices.BinarySearchFunc(idx.zones, name, func(z *zoneIndex, name string) int { return cmp.Compare(z.name, name) })
	if !found {
		idx.zones = slices.Insert(idx.zones, i, &zoneIndex{name: name})
	}
	return idx.zones[i]
}

// add adds the members and their points in the ring. It sorts only the new points and merges them
// into the ring in one pass.
func (z *zoneIndex) add(members []*member) {
	points := make([]ringPoint, 0, pointsPerMember*len(members))
	for _, m := range members {
		for i := range pointsPerMember {
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

// firstPoint returns the index of the first ring point at or after prefixHash, the hash of a prompt
// prefix. It returns the number of points if there is none.
func (z *zoneIndex) firstPoint(prefixHash uint64) int {
	i, _ := slices.BinarySearchFunc(z.ring, prefixHash, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	return i
}

// owner returns the first usable member at or after prefixHash, the hash of a prompt prefix, in the
// rings of all zones, which are searched as one ring. It returns nil if none of the first
// maxRingProbes points belongs to a usable member.
func (zs zoneIndexes) owner(prefixHash uint64, usable func(*member) bool) *member {
	starts, passed := make([]int, len(zs)), make([]int, len(zs))
	for i, z := range zs {
		starts[i] = z.firstPoint(prefixHash)
	}
	for range maxRingProbes {
		var nearest *member
		zone, shortest := -1, uint64(0)
		for i, z := range zs {
			if passed[i] == len(z.ring) {
				continue
			}
			// The unsigned subtraction wraps around, so that points before prefixHash come after
			// all others.
			p := z.ring[(starts[i]+passed[i])%len(z.ring)]
			if distance := p.at - prefixHash; zone < 0 || distance < shortest {
				nearest, zone, shortest = p.member, i, distance
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
	// owner is the engine that owns the prompt's shared prefix among all availability zones of the
	// host's region, and zoneOwner is the one that owns it among those of the host's own zone. Both
	// are nil if members contains all upstreams of the service; these are then ranked by hash.
	owner, zoneOwner *member
}

func (l *candidateList) add(m *member) {
	if m != nil && !slices.Contains(l.members, m) {
		l.members = append(l.members, m)
	}
}

// sampleCandidates returns a sample of the upstreams that accept the request. The sample can be
// empty although some upstreams accept the request. The caller holds the shard's lock.
func (s *shard) sampleCandidates(crit *criteria, now time.Time) candidateList {
	idx := s.refreshIndex(now)
	near, region, all := idx.zonesFor(crit, s.topology)
	usable := func(m *member) bool {
		return m.removedAt.IsZero() && crit.admitsVersion(m.Version) && !slices.Contains(crit.excludedIDs, m.ID) &&
			!m.ejected(now) && !m.rejecting(now) && m.acceptsRequests(now)
	}
	list := candidateList{members: make([]*member, 0, maxCacheHolders+sameZoneDraws+otherZoneDraws+2)}
	if crit.prompt != nil {
		s.addCacheHolders(&list, crit, usable)
		subject := evenhash.Sum(sharedPrefix(crit.prompt))
		list.owner, list.zoneOwner = region.owner(subject, usable), near.owner(subject, usable)
		list.add(list.owner)
		list.add(list.zoneOwner)
	}
	list.addRandom(sameZoneDraws, near, usable)
	list.addRandom(otherZoneDraws-otherRegionDraws, region, usable)
	list.addRandom(otherRegionDraws, all, usable)
	return list
}

// zonesFor returns the zones in which the request may run. near is the host's own zone. It is empty
// if the request may not run there. region contains the permitted zones of the host's region, or
// all permitted zones if there are none in that region.
func (idx *memberIndex) zonesFor(crit *criteria, t *zoneTopology) (near, region, all zoneIndexes) {
	all = idx.zones
	if crit.regions.restricted() {
		all = slices.DeleteFunc(slices.Clone(all), func(z *zoneIndex) bool { return !crit.regions.allows(z.name) })
	}
	region = all
	if slices.ContainsFunc(all, func(z *zoneIndex) bool { return !t.sameRegion(z.name) }) {
		region = slices.DeleteFunc(slices.Clone(all), func(z *zoneIndex) bool { return !t.sameRegion(z.name) })
	}
	if len(region) == 0 {
		region = all
	}
	if i := slices.IndexFunc(all, func(z *zoneIndex) bool { return z.name == crit.zone }); i >= 0 {
		near = all[i : i+1]
	}
	return near, region, all
}

// any returns a random member of the zones, which must have at least one.
func (zs zoneIndexes) any() *member {
	n := 0
	for _, z := range zs {
		n += len(z.members)
	}
	n = rand.IntN(n)
	for _, z := range zs {
		if n < len(z.members) {
			return z.members[n]
		}
		n -= len(z.members)
	}
	return nil
}

// addRandom adds up to the given number of random usable members of the zones.
func (l *candidateList) addRandom(draws int, from zoneIndexes, usable func(*member) bool) {
	if len(from) == 0 {
		return
	}
	for range draws {
		for range maxTriesPerDraw {
			if m := from.any(); usable(m) {
				l.add(m)
				break
			}
		}
	}
}

// addCacheHolders adds engines that have parts of the prompt cached: those with the longest cached
// prefix first. Among engines with the same prefix, it starts at a random one.
func (s *shard) addCacheHolders(list *candidateList, crit *criteria, usable func(*member) bool) {
	for i := len(crit.keys) - 1; i >= 0; i-- {
		holders := s.cachedPrompts.Engines(crit.keys[i])
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

// ownerRank returns the rank of a candidate as an owner of the prompt's shared prefix, which
// subject identifies. Owners rank above all others.
func (l *candidateList) ownerRank(m *member, subject string) uint64 {
	switch {
	case m == l.owner:
		return math.MaxUint64
	case m == l.zoneOwner:
		return math.MaxUint64 - 1
	case l.owner != nil || l.zoneOwner != nil:
		return 0
	default:
		return evenhash.Sum(subject, m.ID)
	}
}

// unindex removes the member from the shard's indexes. The caller holds the shard's lock.
func (s *shard) unindex(m *member) {
	m.withdrawn = true // s.index may contain the member for up to indexMaxAge
	s.startCounts.count(&m.Upstream, -1)
	delete(s.inUse, m)
	delete(s.coldOrLimited, m)
	s.cachedPrompts.RemoveEngine(m)
	s.setAddress(m, "")
	if s.membersByHash[m.idHash] == m {
		delete(s.membersByHash, m.idHash)
	}
	if s.membersByLease[m.leaseID] == m {
		delete(s.membersByLease, m.leaseID)
	}
	delete(s.unreportedLimits, m)
	delete(s.unreportedLeaving, m)
	delete(s.noticed, m)
	s.index.stale = true
}
