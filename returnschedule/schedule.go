package returnschedule

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// MaxReservations bounds the reservations in the table, at about 170 bytes each.
	MaxReservations = 4096
	// maxRemote bounds those of other hosts. A host receives at most 107 a second, and none remains
	// for longer than Horizon and retention, which makes 1,070. The rest of the table remains for
	// this host if another one sends wrong entries.
	maxRemote = MaxReservations / 2
	// maxNew bounds the reservations that TakeNew has yet to return: those of about two seconds of
	// messages.
	maxNew = 256
	// maxServices bounds the services with a timeline.
	maxServices = 64
	// sweepInterval is the time between two searches for expired entries; half of it if the table
	// is full. A search in a full table takes 0.3 ms.
	sweepInterval = 500 * time.Millisecond
	// usableFraction is the divisor of the remaining time that gives how long callers wait.
	usableFraction = 3
	// minWait is the shortest time to return. A caller that returns earlier finds the same queue.
	minWait = Interval
	// limitSpread is the part of the longest wait over which the times without a reservation are
	// spread. With 50 ms, half of the callers for whom a burst left no room returned within 50 ms.
	limitSpread = 0.25
	// shortestWait bounds the times without a reservation. Callers get them with two decimals of a
	// second, and 0 would mean an immediate repeat.
	shortestWait = 10 * time.Millisecond
)

// Request is a rejected request.
type Request struct {
	Service string
	Digest  quarantine.Digest
	// Rank is the operators' priority; 0 is the most urgent.
	Rank int
	// OverShare is set if the client account uses more than its share.
	OverShare bool
	// Work is the engine time that the request needs. Earliest is when the requests that wait now
	// are expected to be served. Remaining is the time until the deadline.
	Work, Earliest, Remaining time.Duration
}

// Outcome tells how the time of a rejected request was chosen.
type Outcome int

const (
	// Reserved means that the time is a new reservation.
	Reserved Outcome = iota
	// Repeated means that the time is that of a reservation made before: the request arrived
	// before its window.
	Repeated
	// NoRoom means that no interval in the caller's time has room, or that the table is full.
	NoRoom
	// Refused means that the request returned for a second reservation, or that callers were given
	// the time of its second reservation already twice.
	Refused
	// NoTime means that nothing remains until the deadline.
	NoTime
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return [...]string{"reserved", "repeated", "no-room", "refused-again", "no-time"}[o]
}

// Answer is the time that the caller of a rejected request is given.
type Answer struct {
	// After is the time until the caller should return; 0 with NoTime.
	After   time.Duration
	Outcome Outcome
	// Second is set if the reservation is the second one of the request.
	Second bool
}

// Schedule holds the reservations of a host. The zero value is ready for use.
type Schedule struct {
	table     map[Key][]reservation
	timelines map[string]*timeline
	// size is the number of reservations in the table, and remote the number of those of other
	// hosts.
	size, remote int
	// created holds the reservations that TakeNew has yet to return.
	created []Promise
	// last is the latest time that was passed. sweptAt is when expired entries were last removed.
	last, sweptAt time.Time
	// madeCount counts the reservations made, and expiredCount those of them that no request
	// redeemed at this host.
	madeCount, expiredCount uint64
}

// Len returns the number of reservations in the table.
func (s *Schedule) Len() int { return s.size }

// Expired returns the number of reservations of this host that no request redeemed here. Those that
// were redeemed at another host count too.
func (s *Schedule) Expired() uint64 { return s.expiredCount }

// SetCapacity sets the engine time that is available to the service's returning requests in a
// second.
func (s *Schedule) SetCapacity(service string, perSecond time.Duration, now time.Time) {
	if t := s.timeline(service, s.advance(now)); t != nil {
		t.capacity = max(0, perSecond) / intervalsPerSecond
	}
}

// Promise returns the time at which the caller of a rejected request should return, and makes a
// reservation if an interval has room. Without one, the time is the last part of what the caller can
// wait: until the end of the schedule, and for a third of the time until its deadline.
func (s *Schedule) Promise(r Request, now time.Time) Answer {
	now = s.advance(now)
	if r.Remaining < usableFraction*shortestWait {
		return Answer{Outcome: NoTime}
	}
	key := KeyOf(r.Service, r.Digest)
	limit := min(Horizon, r.Remaining/usableFraction)
	p := placing{work: max(0, r.Work), rank: r.Rank, behind: r.OverShare, from: max(minWait, r.Earliest), until: limit}
	if again := s.rejectedAgain(key, now); again != nil {
		if answer, chosen := s.answerAgain(key, again, &p, now); chosen {
			return answer
		}
	}
	return s.reserve(r.Service, key, p, now)
}

// reserve makes a reservation if an interval and the table have room.
func (s *Schedule) reserve(service string, key Key, p placing, now time.Time) Answer {
	t := s.timeline(service, now)
	if t == nil || !s.hasRoom(false, now) {
		return s.withoutReservation(key, p.until, NoRoom)
	}
	due, ok := t.place(p, now, s.spread(key))
	if !ok {
		return s.withoutReservation(key, p.until, NoRoom)
	}
	s.insert(key, reservation{due: due, early: min(EarlyWindow, due.Sub(now)/2), second: p.second, own: true, stated: 1})
	s.madeCount++
	if s.created = append(s.created, Promise{Key: key, Due: due, Second: p.second}); len(s.created) > maxNew {
		s.created = s.created[1:]
	}
	return Answer{After: due.Sub(now), Outcome: Reserved, Second: p.second}
}

// answerAgain returns the answer to a request that returned, or that arrived before its window, and
// was rejected again; or it adapts p for the request's second reservation and returns false.
func (s *Schedule) answerAgain(key Key, again *reservation, p *placing, now time.Time) (Answer, bool) {
	if again.returned != NoReturn {
		p.second, p.returned = true, again.returned == InWindow
		refused := again.second
		s.removeEnded(key, again.returnedAt)
		return s.withoutReservation(key, p.until, Refused), refused
	}
	again.earlyArrivals--
	switch ahead := again.due.Sub(now); {
	case ahead > p.until:
		// It is another caller, which can't wait as long as the one of the reservation.
		return Answer{}, false
	case ahead >= shortestWait && again.stated < maxStated:
		again.stated++
		return Answer{After: ahead, Outcome: Repeated, Second: again.second}, true
	case s.hasSecond(key, now):
		return s.withoutReservation(key, p.until, Refused), true
	}
	p.second, p.behind = true, true
	return Answer{}, false
}

// maxStated is how often callers are given the time of one reservation. A caller that repeats its
// request at once is given its time again. Further equal requests are probably of other callers or
// of one that obeys no time; if all were given the same time, they would return together.
const maxStated = 2

// rejectedAgain returns the reservation for which the rejected request returned, or before whose
// window it arrived; nil for a request that didn't return. Those that ended come first, the most
// recent one before the others. The result is valid until the table changes.
func (s *Schedule) rejectedAgain(key Key, now time.Time) *reservation {
	var found *reservation
	list := s.table[key]
	for i := range list {
		r := &list[i]
		if r.expired(now) || r.returned == NoReturn && r.earlyArrivals == 0 {
			continue
		}
		if found == nil || r.precedes(found) {
			found = r
		}
	}
	return found
}

// precedes reports whether a rejected request is attributed to r rather than to other.
func (r *reservation) precedes(other *reservation) bool {
	if ended, otherEnded := r.returned != NoReturn, other.returned != NoReturn; ended != otherEnded {
		return ended
	} else if ended {
		return r.returnedAt.After(other.returnedAt)
	}
	return r.stated < other.stated
}

// hasSecond reports whether there is a second reservation with the key.
func (s *Schedule) hasSecond(key Key, now time.Time) bool {
	return slices.ContainsFunc(s.table[key], func(r reservation) bool { return r.second && !r.expired(now) })
}

// removeEnded removes a reservation that ended at the time, since the request was rejected again.
func (s *Schedule) removeEnded(key Key, returnedAt time.Time) {
	index := slices.IndexFunc(s.table[key], func(r reservation) bool { return r.returned != NoReturn && r.returnedAt.Equal(returnedAt) })
	s.remove(key, index)
}

// withoutReservation returns a time for which nothing is reserved: the limit, less a part that
// differs between requests, so that those which were rejected at once don't return at once.
func (s *Schedule) withoutReservation(key Key, limit time.Duration, outcome Outcome) Answer {
	after := limit - time.Duration(s.spread(key)*limitSpread*float64(limit))
	return Answer{After: max(shortestWait, after), Outcome: outcome}
}

// Arrival tells how an arriving request relates to the reservations with its key.
type Arrival struct {
	Return Return
	// After is the time since the one for which the caller was told to return; negative before it.
	After time.Duration
	// Second is set if the reservation is the second one of the request. Remote is set if another
	// host made it.
	Second, Remote bool
}

// HasPrecedence reports whether the request goes before new requests of its priority.
func (a Arrival) HasPrecedence() bool { return a.Return == InWindow }

// Redeem returns how an arriving request relates to the reservations with its key. It ends the
// reservation to which the request is attributed, unless the request is early.
func (s *Schedule) Redeem(service string, digest quarantine.Digest, now time.Time) Arrival {
	now = s.advance(now)
	var chosen *reservation
	relation := NoReturn
	list := s.table[KeyOf(service, digest)]
	for i := range list {
		r := &list[i]
		if r.returned != NoReturn || r.expired(now) {
			continue
		}
		if rel := r.relation(now); chosen == nil || betterMatch(rel, r, relation, chosen) {
			chosen, relation = r, rel
		}
	}
	if chosen == nil {
		return Arrival{}
	}
	if relation == Early {
		chosen.earlyArrivals++
	} else {
		chosen.returned, chosen.returnedAt = relation, now
	}
	return Arrival{Return: relation, After: now.Sub(chosen.due), Second: chosen.second, Remote: !chosen.own}
}

// betterMatch reports whether an arriving request is attributed to r rather than to other: first to
// a reservation in whose window it arrived, then to one that it is late for, and then to one that
// the fewest callers returned for early; among equal ones to that with the earliest time.
func betterMatch(relation Return, r *reservation, otherRelation Return, other *reservation) bool {
	order := [...]int{InWindow: 0, Late: 1, Early: 2}
	if a, b := order[relation], order[otherRelation]; a != b {
		return a < b
	}
	if relation == Early && r.earlyArrivals+r.stated != other.earlyArrivals+other.stated {
		return r.earlyArrivals+r.stated < other.earlyArrivals+other.stated
	}
	return r.due.Before(other.due)
}

// Add records a reservation that another host made. It ignores one that is over, one after the end
// of the schedule, one that the table has already, and those beyond the bound for other hosts.
func (s *Schedule) Add(p Promise, now time.Time) {
	now = s.advance(now)
	ahead := p.Due.Sub(now)
	if ahead < -LateWindow || ahead > Horizon+Interval || p.Key >= 1<<KeyBits || s.has(p) || !s.hasRoom(true, now) {
		return
	}
	s.insert(p.Key, reservation{due: p.Due, early: EarlyWindow, second: p.Second, stated: 1})
}

// has reports whether the table has the reservation. A message that is sent again after its answer
// was lost, or by another hub, repeats reservations. Their times differ by the delays of the
// messages, so that those closer than an Interval count as the same.
func (s *Schedule) has(p Promise) bool {
	return slices.ContainsFunc(s.table[p.Key], func(r reservation) bool {
		return r.second == p.Second && r.due.Sub(p.Due).Abs() < Interval
	})
}

// TakeNew returns the reservations that this host made since the last call, oldest first. If there
// are more than can be sent to other hosts, the oldest ones are left out.
func (s *Schedule) TakeNew() []Promise {
	list := s.created
	s.created = nil
	return list
}

// advance records the time that was passed and returns the latest one.
func (s *Schedule) advance(now time.Time) time.Time {
	if now.After(s.last) {
		s.last = now
	}
	if s.last.Sub(s.sweptAt) >= sweepInterval {
		s.sweep(s.last)
	}
	return s.last
}

// sweep removes expired reservations and the timelines of services without reservations.
func (s *Schedule) sweep(now time.Time) {
	s.sweptAt = now
	for key := range s.table {
		for i := len(s.table[key]) - 1; i >= 0; i-- {
			if r := &s.table[key][i]; r.expired(now) {
				if r.own && r.returned == NoReturn {
					s.expiredCount++
				}
				s.remove(key, i)
			}
		}
	}
	for service, t := range s.timelines {
		if now.Sub(t.usedAt) > Horizon {
			delete(s.timelines, service)
		}
	}
}

// hasRoom reports whether the table has room for a reservation of this host or of another one.
func (s *Schedule) hasRoom(remote bool, now time.Time) bool {
	full := func() bool { return s.size >= MaxReservations || remote && s.remote >= maxRemote }
	if full() && now.Sub(s.sweptAt) >= sweepInterval/2 {
		s.sweep(now)
	}
	return !full()
}

func (s *Schedule) insert(key Key, r reservation) {
	if s.table == nil {
		s.table = make(map[Key][]reservation)
	}
	s.table[key] = append(s.table[key], r)
	s.count(r, 1)
}

func (s *Schedule) remove(key Key, index int) {
	list := s.table[key]
	s.count(list[index], -1)
	if list = append(list[:index], list[index+1:]...); len(list) == 0 {
		delete(s.table, key)
		return
	}
	s.table[key] = list
}

func (s *Schedule) count(r reservation, change int) {
	s.size += change
	if !r.own {
		s.remote += change
	}
}

// timeline returns the service's timeline, advanced to the time; nil if there are too many.
func (s *Schedule) timeline(service string, now time.Time) *timeline {
	t := s.timelines[service]
	if t == nil {
		if len(s.timelines) >= maxServices {
			return nil
		}
		if s.timelines == nil {
			s.timelines = make(map[string]*timeline)
		}
		t = &timeline{start: now}
		s.timelines[service] = t
	}
	t.advance(now)
	return t
}

// spread returns a fraction from 0 to 1 that differs between requests and between the reservations
// of equal ones.
func (s *Schedule) spread(key Key) float64 {
	// This is the output function of SplitMix64.
	x := uint64(key) + (s.madeCount+uint64(len(s.table)))*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
