package notice

import (
	"math"
	"time"
)

const (
	// minTurn and maxTurn bound the time after which other hosts may use a brittle upstream that has fewer free slots than
	// there are hosts. turnSpans is that time as a multiple of the time for which requests of the former ones can be at
	// the upstream without being seen.
	minTurn   = time.Second
	maxTurn   = 16 * time.Second
	turnSpans = 4
	// fixedShareTurns is the number of mean times of a request in a turn from which on each host may have its share of the
	// slots in flight, whatever the load.
	fixedShareTurns = 8
	// reserveDeviations is the number of standard deviations of the requests at an upstream for which slots are kept
	// free, beyond those that brittleMargin covers.
	reserveDeviations = 2
	// rejectionShare is the fraction of the permitted rejections that the upstreams should make at most on average.
	// rejectionReserve is the fraction of the slots that is kept free when they make as many; more is in proportion.
	rejectionShare   = 0.125
	rejectionReserve = 0.25
	// maxReserve bounds the slots that are kept free, as a fraction of all.
	maxReserve = 0.5
)

// BrittleUse is the use of a brittle upstream.
type BrittleUse struct {
	// Others is the number of requests of other hosts, running and waiting, by data that is Age old. RunTime is
	// the mean time for which a request is at an upstream.
	Others       float64
	Age, RunTime time.Duration
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Own is the number of requests of this host in flight, Unseen the number of those that were sent within Age.
	// OwnTotal is the number of those of this host at all upstreams of the service.
	Own, Unseen, OwnTotal int
	// Hosts is the number of hosts; 0 if it is unknown.
	Hosts int
	// Point is a number in [0, 1) that differs between hosts and upstreams.
	Point float64
}

// Allows reports whether this host may send the upstream another request. sinceStart is the time since the start
// of the process, by which the hosts take turns where they are more than free slots.
//
// All hosts have about the same data. Each counts the requests that it sent since as its part of those that
// the data doesn't show yet, so that the sum in flight is bounded for any number of hosts, slots and duration.
func (b *Brittle) Allows(u *BrittleUse, turn *Turn, now time.Time, sinceStart time.Duration) bool {
	hosts, free := float64(u.Hosts), b.FreeSlots(u, now)
	if free <= 0 {
		return false
	}
	if u.Hosts == 0 {
		return u.Own == 0 && u.OwnTotal < int(max(1, b.window))
	}
	share := max(free/hosts, min(1, free*max(1, b.gain)/hosts))
	turnTime := u.turnTime()
	point := turn.point(u.Point, turnTime, sinceStart)
	if u.RunTime > 0 && turnTime >= fixedShareTurns*u.RunTime && u.Own < int(float64(u.Slots)/hosts+point) {
		return true // few requests of former turns are left
	}
	return u.Unseen < int(share+point)
}

// Turn is the present turn of a host at an upstream. The zero value is ready for use.
type Turn struct {
	number int
	since  time.Duration
}

// point returns a host's number in [0, 1) in its present turn, given that in its first one. The next turn begins once
// this one has lasted for the given time: if turns became longer at once, others would begin before their time.
func (t *Turn) point(first float64, turnTime, sinceStart time.Duration) float64 {
	if sinceStart-t.since >= turnTime {
		t.number, t.since = t.number+1, sinceStart
	}
	_, point := math.Modf(first + goldenRatio*float64(t.number))
	return point
}

// FreeSlots returns the number of requests that all hosts may send the upstream together, beyond those that the data
// shows; it can be negative.
func (b *Brittle) FreeSlots(u *BrittleUse, now time.Time) float64 {
	left := u.fractionLeft()
	free := u.unusedSlots(left)
	return free - b.reserve(u, left, free, now)
}

// reserve returns the number of free slots that the hosts leave unused, since the requests at the upstream differ by
// chance from what the data shows: other numbers have ended, and other numbers of hosts have their turn.
func (b *Brittle) reserve(u *BrittleUse, left, free float64, now time.Time) float64 {
	slots := float64(max(1, u.Slots))
	_, turns := math.Modf(max(0, free) / float64(max(1, u.Hosts)))
	deviation := math.Sqrt(min(u.Others, slots)*left*(1-left) + float64(u.Hosts)*turns*(1-turns))
	reserve := max(0, reserveDeviations*deviation-brittleMargin*float64(b.limit))
	reserve += slots * rejectionReserve * b.rejectionRate(now) / (rejectionShare * float64(b.limit))
	return min(reserve, slots*maxReserve)
}

// unusedSlots returns the number of slots that would be free without the requests that were sent within Age, given the
// fraction of the other hosts' requests that are left.
func (u *BrittleUse) unusedSlots(left float64) float64 {
	return float64(max(1, u.Slots)) - left*u.Others - float64(u.Own-u.Unseen)
}

// fractionLeft returns the fraction of the requests of other hosts that are still at the upstream. All are while their
// times are unknown.
func (u *BrittleUse) fractionLeft() float64 {
	if u.RunTime <= 0 {
		return 1
	}
	return math.Exp(-float64(u.Age) / float64(u.RunTime))
}

// turnTime returns the time after which other hosts may send requests.
func (u *BrittleUse) turnTime() time.Duration {
	unseen := u.Age
	if u.RunTime > 0 {
		unseen = min(unseen, u.RunTime)
	}
	return min(max(turnSpans*unseen, minTurn), maxTurn)
}

// goldenRatio spreads the multiples of itself evenly over [0, 1), so that all hosts get their turns.
const goldenRatio = 0.6180339887498949
