package notice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// brittleRetention is how long a service counts as brittle after the last answer that stated it, if
	// others have come since. Brittle upstreams state it in all answers.
	brittleRetention = 3 * time.Second
	// lowBrittleLoad and highBrittleLoad are the loads per slot, averaged over a service, below and above which
	// the gain grows and shrinks (Brittle.gain).
	lowBrittleLoad  = 0.5
	highBrittleLoad = 0.75
	// targetBrittleLoad is the load per slot for which the gain is reduced.
	targetBrittleLoad = 0.65
	// gainInterval is the time between two adjustments of the gain; load data shows the result of one by then.
	// gainGrowth is the factor by which it grows in this time.
	gainInterval = 300 * time.Millisecond
	gainGrowth   = 1.35
	// brittleMargin is the fraction of the permitted rejections that the hosts together may cause by
	// sending requests again after a rejection.
	brittleMargin = 0.5
	// minRejectionBackoff is the minimum mean time for which a host sends no request to a brittle upstream that
	// rejected one.
	minRejectionBackoff = time.Second
	// minTurn and maxTurn bound the time after which other hosts may use a brittle upstream that has fewer free places than
	// there are hosts. turnSpans is that time as a multiple of the time for which requests of the former ones can be at
	// the upstream without being seen.
	minTurn   = time.Second
	maxTurn   = 16 * time.Second
	turnSpans = 4
	// reserveDeviations is the number of standard deviations of the requests at an upstream for which places are kept
	// free, beyond those that brittleMargin covers.
	reserveDeviations = 2
	// rejectionShare is the fraction of the permitted rejections that the upstreams may make on average before the
	// hosts keep more places free, cautionShare the fraction of the slots that is kept free at that rate, and maxCaution the
	// largest fraction. rejectionMemory is the time constant of the average.
	rejectionShare  = 0.125
	cautionShare    = 0.25
	maxCaution      = 0.5
	rejectionMemory = 2 * time.Second
	// windowGrowth is the number of requests by which a host's window grows in the mean time of a request.
	windowGrowth = 0.75
)

// Brittle is what the upstreams of a service state about rejections: one that has to reject more than
// a number of requests in a second terminates. The hosts don't tell each other how many each upstream
// rejected, so that together they send no more than it has places for: each may send a part of the requests
// for which it has free slots. The zero value is a service whose upstreams state nothing.
type Brittle struct {
	limit int
	// statedAt is the time of the last statement, answeredAt that of the last answer.
	statedAt, answeredAt time.Time
	// gain is the factor by which the hosts that may send a request exceed the free places: a host that may
	// often has none, and with as many hosts as places most places would stay free at low load. It is 0 before the
	// first adjustment, which was made at adjustedAt.
	gain       float64
	adjustedAt time.Duration
	// rejections is the number of requests in a second that the mean upstream rejected as of rejectedAt, estimated
	// by those of this host.
	rejections float64
	rejectedAt time.Time
	// window is the number of requests that a host which doesn't know the number of hosts may have in flight: it grows with
	// the answers, and a rejection halves it.
	window float64
}

// Record records the limit that an answer states; 0 if it states none.
func (b *Brittle) Record(limit int, now time.Time) {
	b.answeredAt = now
	if limit > 0 {
		b.limit, b.statedAt = limit, now
		b.window += windowGrowth / max(1, b.window)
	}
}

// Active reports whether the upstreams are brittle. Without any answer they stay so: a host that may send none
// gets none.
func (b *Brittle) Active(now time.Time) bool {
	return b.limit > 0 && (now.Sub(b.statedAt) < brittleRetention || !b.answeredAt.After(b.statedAt))
}

// Limit returns the number of rejections in a second that the upstreams bear by their last statement; 0 if
// they made none.
func (b *Brittle) Limit() int { return b.limit }

// Age returns the time since the last statement; 0 if there is none.
func (b *Brittle) Age(now time.Time) time.Duration {
	if b.limit == 0 {
		return 0
	}
	return now.Sub(b.statedAt)
}

// Rejections counts the requests of this host that a brittle upstream rejected recently because it is full.
// The zero value is ready for use.
type Rejections struct{ times []time.Time }

// rejectionSpan is the time in which an upstream's limit bounds its rejections.
const rejectionSpan = time.Second

// Record records a rejection.
func (r *Rejections) Record(now time.Time) {
	r.times = append(slices.DeleteFunc(r.times, func(at time.Time) bool { return now.Sub(at) >= rejectionSpan }), now)
}

// Count returns the number of rejections within the last second.
func (r *Rejections) Count(now time.Time) int {
	n := 0
	for _, at := range r.times {
		if now.Sub(at) < rejectionSpan {
			n++
		}
	}
	return n
}

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

// AdjustGain adapts to the mean load per slot of the service's upstreams how many hosts may send them requests: at most
// all while an upstream's slots are free. slots is the mean number of slots, sinceStart the time since the start of the
// process.
func (b *Brittle) AdjustGain(load float64, hosts int, slots float64, sinceStart time.Duration) {
	most, elapsed := max(1, float64(hosts)/max(1, slots)), sinceStart-b.adjustedAt
	switch {
	case b.gain == 0 && load < lowBrittleLoad:
		b.gain = most
	case b.gain == 0:
		b.gain = 1
	case elapsed < gainInterval:
		return
	case load < lowBrittleLoad:
		b.gain *= math.Pow(gainGrowth, float64(elapsed)/float64(gainInterval))
	case load > highBrittleLoad:
		b.gain *= targetBrittleLoad / load
	}
	b.gain = min(max(b.gain, 1), most)
	b.adjustedAt = sinceStart
}

// RecordRejection records that one of the service's upstreams rejected a request of this host because it is full.
func (b *Brittle) RecordRejection(hosts, upstreams int, now time.Time) {
	b.rejections = b.rejectionRate(now) + float64(max(1, hosts))/float64(max(1, upstreams))/rejectionMemory.Seconds()
	b.rejectedAt = now
	b.window = max(1, b.window/2)
}

// rejectionRate returns the estimated rejections of an upstream in a second.
func (b *Brittle) rejectionRate(now time.Time) float64 {
	return b.rejections * math.Exp(-now.Sub(b.rejectedAt).Seconds()/rejectionMemory.Seconds())
}

// Allows reports whether this host may send the upstream another request. sinceStart is the time since the start
// of the process, by which the hosts take turns where they are more than free places.
//
// All hosts have about the same data. Each counts the requests that it sent since as its part of those that
// the data doesn't show yet, so that the sum in flight is bounded for any number of hosts, slots and duration.
func (b *Brittle) Allows(u *BrittleUse, now time.Time, sinceStart time.Duration) bool {
	hosts, free := float64(u.Hosts), b.FreePlaces(u, now)
	if free <= 0 {
		return false
	}
	if u.Hosts == 0 {
		return u.Own == 0 && u.OwnTotal < int(max(1, b.window))
	}
	share := max(free/hosts, min(1, free*max(1, b.gain)/hosts))
	_, turn := math.Modf(u.Point + goldenRatio*math.Floor(float64(sinceStart)/float64(u.turnTime())))
	return u.Unseen < int(share+turn)
}

// FreePlaces returns the number of requests that all hosts may send the upstream together, beyond those that the data
// shows; it can be negative.
func (b *Brittle) FreePlaces(u *BrittleUse, now time.Time) float64 {
	free := u.freeSlots()
	return free - b.reserve(u, free, now)
}

// reserve returns the number of free slots that the hosts leave unused, since the requests at the upstream differ by
// chance from what the data shows: other numbers have ended, and other numbers of hosts have their turn.
func (b *Brittle) reserve(u *BrittleUse, free float64, now time.Time) float64 {
	slots, left := float64(max(1, u.Slots)), u.fractionLeft()
	_, turns := math.Modf(max(0, free) / float64(max(1, u.Hosts)))
	deviation := math.Sqrt(min(u.Others, slots)*left*(1-left) + float64(u.Hosts)*turns*(1-turns))
	reserve := max(0, reserveDeviations*deviation-brittleMargin*float64(b.limit))
	caution := cautionShare * b.rejectionRate(now) / (rejectionShare * float64(b.limit))
	return min(reserve+slots*caution, slots*maxCaution)
}

// freeSlots returns the number of slots that would be free without the requests that were sent within Age.
func (u *BrittleUse) freeSlots() float64 {
	return float64(max(1, u.Slots)) - u.fractionLeft()*u.Others - float64(u.Own-u.Unseen)
}

// fractionLeft returns the fraction of the requests of other hosts that are still at the upstream. All are while their
// times are unknown.
func (u *BrittleUse) fractionLeft() float64 {
	if u.RunTime <= 0 {
		return 1
	}
	return math.Exp(-float64(u.Age) / float64(u.RunTime))
}

// turnTime returns the time after which other hosts may send requests. It is a power of two in seconds, so that it
// seldom changes with the age of the data.
func (u *BrittleUse) turnTime() time.Duration {
	unseen := u.Age
	if u.RunTime > 0 {
		unseen = min(unseen, u.RunTime)
	}
	turn := minTurn
	for turn < min(turnSpans*unseen, maxTurn) {
		turn *= 2
	}
	return turn
}

// RunTimes estimates the mean time for which requests are at upstreams. Requests in flight count with the time that they
// have taken so far: those that last long end last. The zero value is ready for use.
type RunTimes struct {
	// ended is the decayed number of requests that ended with an answer, and took the decayed sum of the times of
	// all that ended, in seconds.
	ended, took float64
	// inFlight is the number of requests in flight, started the sum of their start times, in seconds since the start of
	// the process.
	inFlight int
	started  float64
}

// runTimeDecay is the factor by which older requests count less with each one that ends.
const runTimeDecay = 0.98

// Start records that a request is sent.
func (r *RunTimes) Start(at time.Duration) {
	r.inFlight++
	r.started += at.Seconds()
}

// End records the end of a request that was sent at the given time. answered is set unless it was cut off.
func (r *RunTimes) End(startedAt, now time.Duration, answered bool) {
	r.inFlight--
	r.started -= startedAt.Seconds()
	if answered {
		r.ended, r.took = r.ended*runTimeDecay+1, r.took*runTimeDecay
	}
	r.took += (now - startedAt).Seconds()
}

// InFlight returns the number of requests in flight.
func (r *RunTimes) InFlight() int { return r.inFlight }

// Mean returns the mean time; 0 if no request was sent.
func (r *RunTimes) Mean(now time.Duration) time.Duration {
	inFlight := float64(r.inFlight)*now.Seconds() - r.started
	return time.Duration((r.took + inFlight) / max(1, r.ended) * float64(time.Second))
}

// goldenRatio spreads the multiples of itself evenly over [0, 1), so that all hosts get their turns.
const goldenRatio = 0.6180339887498949

// RejectionBackoff returns the time for which a host sends no request to a brittle upstream that rejected
// one because it is full. It is drawn, since the upstream may reject requests of all hosts at the same
// time.
func (b *Brittle) RejectionBackoff(hosts int) time.Duration {
	perHost := brittleMargin * float64(b.limit) / float64(max(1, hosts))
	mean := min(max(time.Duration(float64(time.Second)/perHost), minRejectionBackoff), MaxBackoff)
	return mean/2 + rand.N(mean)
}
