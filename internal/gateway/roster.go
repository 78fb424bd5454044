package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Of a service with many upstreams a request looks at a few only: those that keep parts
// of its prompt, the owners of its shared parts, and some at random. Looking at all takes
// longer than many requests have on a host with a fifth of a core. Nor does it choose
// better: all hosts hear the same, a moment late, and would send what they get in that
// moment to the same few idle upstreams.

const (
	// lookAtAll is the number of upstreams up to which all are looked at: about as many
	// as the few would be.
	lookAtAll = 16
	// nearChoices and farChoices are the upstreams of the own and of other availability
	// zones that are looked at by chance. With news of 150 to 450 ms ago, in which an
	// engine reads one prompt, a few choices balance best.
	nearChoices = 4
	farChoices  = 3
	// abroadChoices of these may be of another region.
	abroadChoices = 1
	// maxKeepers bounds the engines that are looked at because they keep parts: the
	// parts that everybody asks for are kept by many.
	maxKeepers = 8
	// probes is how many upstreams are drawn at most for each choice by chance, where
	// some don't take the request.
	probes = 4
	// ringPoints is the number of places that each upstream has in a ring: shared parts
	// then fall to upstreams within a half of evenly.
	ringPoints = 4
	// ringProbes bounds the search of a ring for an upstream that takes the request.
	ringProbes = 256
	// rosterAge is how long a roster is used though entries changed: when a service is
	// replaced, thousands do within seconds. Who doesn't take work is passed over.
	rosterAge = 200 * time.Millisecond
)

// roster orders the members of a service for the choice among few.
type roster struct {
	builtAt time.Time
	// zones are the availability zones with members, by name; added are the members that
	// aren't in them yet, stale says that some that are left the service or their zone.
	zones zoneRosters
	added []*member
	stale bool
}

// zoneRosters are those of several availability zones, by name.
type zoneRosters []*zoneRoster

// zoneRoster are the members of an availability zone.
type zoneRoster struct {
	name    string
	members []*member
	ring    []ringPoint
}

// ringPoint is a place of a member in the ring by which shared parts belong to engines:
// the same on all hosts that know the same upstreams.
type ringPoint struct {
	at     uint64
	member *member
}

// rosterOf returns the shard's roster, brought up to date if it is outdated. The shard's
// lock is held.
func (s *shard) rosterOf(now time.Time) *roster {
	r := &s.roster
	if len(r.added) == 0 && !r.stale || now.Sub(r.builtAt) < rosterAge {
		return r
	}
	r.builtAt = now
	if r.stale {
		r.dropStale(s)
	}
	r.merge()
	return r
}

// dropStale takes out the members that left the service or their zone.
func (r *roster) dropStale(s *shard) {
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
	r.zones = slices.DeleteFunc(r.zones, func(z *zoneRoster) bool { return len(z.members) == 0 })
	r.added = slices.DeleteFunc(r.added, func(m *member) bool { return s.members[m.ID] != m })
}

// merge puts the added members in their zones. It orders the new points only, and merges them
// in one pass.
func (r *roster) merge() {
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

// zone returns the zone's roster, an empty one if there is none yet.
func (r *roster) zone(name string) *zoneRoster {
	i, found := slices.BinarySearchFunc(r.zones, name, func(z *zoneRoster, name string) int { return cmp.Compare(z.name, name) })
	if !found {
		r.zones = slices.Insert(r.zones, i, &zoneRoster{name: name})
	}
	return r.zones[i]
}

// add merges the members' points into the ring.
func (z *zoneRoster) add(members []*member) {
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

// from is the place in the ring of the first point at or after the subject.
func (z *zoneRoster) from(subject uint64) int {
	i, _ := slices.BinarySearchFunc(z.ring, subject, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	return i
}

// owner is the member that a subject belongs to in the rings of the zones, as if they were
// one, among those that will do; nil if none of the next does.
func (l zoneRosters) owner(subject uint64, willDo func(*member) bool) *member {
	starts, passed := make([]int, len(l)), make([]int, len(l))
	for i, z := range l {
		starts[i] = z.from(subject)
	}
	for range ringProbes {
		var nearest *member
		zone, least := -1, uint64(0)
		for i, z := range l {
			if passed[i] == len(z.ring) {
				continue
			}
			// The subtraction wraps: points before the subject come after all others.
			p := z.ring[(starts[i]+passed[i])%len(z.ring)]
			if away := p.at - subject; zone < 0 || away < least {
				nearest, zone, least = p.member, i, away
			}
		}
		if zone < 0 {
			return nil
		}
		if willDo(nearest) {
			return nearest
		}
		passed[zone]++
	}
	return nil
}

// candidateList are the upstreams that a request may be sent to.
type candidateList struct {
	members []*member
	// owner and nearOwner are the engines that the prompt's shared parts belong to, of
	// all availability zones and of the own one; nil where all members are in the list,
	// which then tell by their order.
	owner, nearOwner *member
}

func (l *candidateList) add(m *member) {
	if m != nil && !slices.Contains(l.members, m) {
		l.members = append(l.members, m)
	}
}

// some are candidates of a service with many upstreams; none if the few that were looked
// at don't take the request.
func (s *shard) some(w *wants, now time.Time, grace time.Duration) candidateList {
	r := s.rosterOf(now)
	near, region, all := r.within(w, s.geography)
	willDo := func(m *member) bool {
		return m.removedAt.IsZero() && w.admits(m.Version) && !slices.Contains(w.exclude, m.ID) &&
			!m.ejected(now) && m.open(now, grace)
	}
	list := candidateList{members: make([]*member, 0, maxKeepers+nearChoices+farChoices+2)}
	if w.prompt != nil {
		s.addKeepers(&list, w, willDo)
		subject := evenhash.Sum(sharedPart(w.prompt))
		list.owner, list.nearOwner = region.owner(subject, willDo), near.owner(subject, willDo)
		list.add(list.owner)
		list.add(list.nearOwner)
	}
	list.draw(nearChoices, near, willDo)
	list.draw(farChoices-abroadChoices, region, willDo)
	list.draw(abroadChoices, all, willDo)
	return list
}

// within are the zones in which the request may run: the host's own, none if it isn't one of
// them, those of its region, or all of them if none is, and all.
func (r *roster) within(w *wants, g *geography) (near, region, all zoneRosters) {
	all = r.zones
	if w.homes.bound() {
		all = slices.DeleteFunc(slices.Clone(all), func(z *zoneRoster) bool { return !w.homes.allow(z.name) })
	}
	region = all
	if slices.ContainsFunc(all, func(z *zoneRoster) bool { return !g.near(z.name) }) {
		region = slices.DeleteFunc(slices.Clone(all), func(z *zoneRoster) bool { return !g.near(z.name) })
	}
	if len(region) == 0 {
		region = all
	}
	if i := slices.IndexFunc(all, func(z *zoneRoster) bool { return z.name == w.zone }); i >= 0 {
		near = all[i : i+1]
	}
	return near, region, all
}

// any is one of all members by chance. There is one at least.
func (l zoneRosters) any() *member {
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

// draw adds members of the zones by chance.
func (l *candidateList) draw(choices int, from zoneRosters, willDo func(*member) bool) {
	if len(from) == 0 {
		return
	}
	for range choices {
		for range probes {
			if m := from.any(); willDo(m) {
				l.add(m)
				break
			}
		}
	}
}

// addKeepers adds engines that keep parts of the prompt, those of the longest runs first. Of
// many that keep a run any may come first.
func (s *shard) addKeepers(list *candidateList, w *wants, willDo func(*member) bool) {
	for i := len(w.keys) - 1; i >= 0; i-- {
		holders := s.kept.Holders(w.keys[i])
		if len(holders) == 0 {
			continue
		}
		start := rand.IntN(len(holders))
		for j := range holders {
			if len(list.members) >= maxKeepers {
				return
			}
			if m := holders[(start+j)%len(holders)]; willDo(m) {
				list.add(m)
			}
		}
	}
}

// order is a candidate's place for the prompt's shared parts: that of the owners is above
// all others.
func (l *candidateList) order(m *member, subject string) uint64 {
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

// forget takes the member out of what the shard finds members by. The shard's lock is held.
func (s *shard) forget(m *member) {
	m.withdrawn = true // the roster may have it for a moment yet
	s.starts.count(&m.Upstream, -1)
	delete(s.active, m)
	delete(s.leased, m)
	s.kept.Drop(m)
	s.setAddress(m, "")
	if s.names[m.name] == m {
		delete(s.names, m.name)
	}
	if s.leases[m.lease] == m {
		delete(s.leases, m.lease)
	}
	delete(s.limitNews, m)
	s.roster.stale = true
}
