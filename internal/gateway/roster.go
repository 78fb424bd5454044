package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
	"github.com/quetzalweir/quetzalweir/placement"
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
	// outdated says that entries changed since.
	outdated bool
	all      zoneRoster
	zones    map[string]*zoneRoster
}

// zoneRoster are the members of an availability zone, or of all.
type zoneRoster struct {
	members []*member
	ring    []ringPoint
}

// ringPoint is a place of a member in the ring by which shared parts belong to engines:
// the same on all hosts that know the same upstreams.
type ringPoint struct {
	at     uint64
	member *member
}

// rosterOf returns the shard's roster, made anew if it is outdated. The shard's lock is
// held.
func (s *shard) rosterOf(now time.Time) *roster {
	r := &s.roster
	if !r.outdated || now.Sub(r.builtAt) < rosterAge {
		return r
	}
	*r = roster{builtAt: now, zones: make(map[string]*zoneRoster)}
	for _, m := range s.members {
		zone := r.zones[m.Zone]
		if zone == nil {
			zone = &zoneRoster{}
			r.zones[m.Zone] = zone
		}
		zone.add(m)
		r.all.add(m)
	}
	r.all.sort()
	for _, zone := range r.zones {
		zone.sort()
	}
	return r
}

func (z *zoneRoster) add(m *member) {
	z.members = append(z.members, m)
	for i := range ringPoints {
		z.ring = append(z.ring, ringPoint{at: evenhash.Sum(m.ID, string(rune('a'+i))), member: m})
	}
}

func (z *zoneRoster) sort() {
	slices.SortFunc(z.ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
}

// owner is the member that a subject belongs to, among those that will do; nil if none of
// the next in the ring does.
func (z *zoneRoster) owner(subject uint64, willDo func(*member) bool) *member {
	if z == nil || len(z.ring) == 0 {
		return nil
	}
	start, _ := slices.BinarySearchFunc(z.ring, subject, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	for i := range min(ringProbes, len(z.ring)) {
		if m := z.ring[(start+i)%len(z.ring)].member; willDo(m) {
			return m
		}
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
	near := r.zones[w.zone]
	willDo := func(m *member) bool {
		return m.removedAt.IsZero() && w.admits(m.Version) && !slices.Contains(w.exclude, m.ID) &&
			now.After(m.ejectedUntil) && m.open(now, grace)
	}
	list := candidateList{members: make([]*member, 0, maxKeepers+nearChoices+farChoices+2)}
	if w.prompt != nil {
		s.addKeepers(&list, w, willDo)
		subject := evenhash.Sum(sharedPart(w.prompt))
		list.owner, list.nearOwner = r.all.owner(subject, willDo), near.owner(subject, willDo)
		list.add(list.owner)
		list.add(list.nearOwner)
	}
	near.draw(&list, nearChoices, willDo)
	r.all.draw(&list, farChoices, willDo)
	return list
}

// draw adds members by chance.
func (z *zoneRoster) draw(list *candidateList, choices int, willDo func(*member) bool) {
	if z == nil || len(z.members) == 0 {
		return
	}
	for range choices {
		for range probes {
			if m := z.members[rand.IntN(len(z.members))]; willDo(m) {
				list.add(m)
				break
			}
		}
	}
}

// addKeepers adds engines that keep parts of the prompt, those of the longest runs first.
func (s *shard) addKeepers(list *candidateList, w *wants, willDo func(*member) bool) {
	for i := len(w.keys) - 1; i >= 0; i-- {
		for m := range s.keepers[w.keys[i]] {
			if len(list.members) >= maxKeepers {
				return
			}
			if willDo(m) {
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

// keepers are the engines that are believed to keep runs of parts.
type keepers map[placement.Key]map[*member]struct{}

func (k keepers) add(key placement.Key, m *member) {
	if k[key] == nil {
		k[key] = make(map[*member]struct{}, 1)
	}
	k[key][m] = struct{}{}
}

func (k keepers) remove(key placement.Key, m *member) {
	delete(k[key], m)
	if len(k[key]) == 0 {
		delete(k, key)
	}
}

// keeps notes that the engine is believed to keep the runs. The shard's lock is held.
func (m *member) keeps(keys ...placement.Key) {
	m.kept.Add(keys...)
	for _, key := range keys {
		m.shard.keepers.add(key, m)
	}
}

// forget takes the member out of what the shard finds members by. The shard's lock is held.
func (s *shard) forget(m *member) {
	m.withdrawn = true // the roster may have it for a moment yet
	s.starts.count(&m.Upstream, -1)
	delete(s.active, m)
	delete(s.leased, m)
	m.kept.Clear()
	s.setAddress(m, "")
	if s.names[m.name] == m {
		delete(s.names, m.name)
	}
	if s.leases[m.lease] == m {
		delete(s.leases, m.lease)
	}
	delete(s.limitNews, m)
	s.roster.outdated = true
}
