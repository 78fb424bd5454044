package notice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// brittleRetention is how long a service counts as brittle after the last answer that stated it.
	// Brittle upstreams state it in all answers.
	brittleRetention = 3 * time.Second
	// lowBrittleLoad and highBrittleLoad are the loads per slot below and above which more or fewer hosts
	// may have a request at a brittle upstream that has fewer slots than there are hosts.
	lowBrittleLoad  = 0.5
	highBrittleLoad = 0.75
	// targetBrittleLoad is the load per slot to which their number is reduced.
	targetBrittleLoad = 0.65
	// shareAdjustInterval is the time between two adjustments of their number; load data shows the result
	// of one by then. shareGrowth is the factor by which their number grows in this time.
	shareAdjustInterval = 300 * time.Millisecond
	shareGrowth         = 1.35
	// brittleMargin is the fraction of the permitted rejections that the hosts together may cause by
	// sending requests again after a rejection.
	brittleMargin = 0.5
	// minRejectionBackoff and maxRejectionBackoff bound the time for which a host sends no request to a
	// brittle upstream that rejected one.
	minRejectionBackoff = time.Second
	maxRejectionBackoff = 10 * time.Second
	// shareInterval is how often the hosts change that may use a brittle upstream, where it has fewer
	// slots than there are hosts.
	shareInterval = time.Second
)

// Brittle is what the upstreams of a service state about rejections: one that has to reject more than
// a number of requests in a second terminates. The hosts don't tell each other how many each upstream
// rejected, so each keeps to its share. The zero value is a service whose upstreams state nothing.
type Brittle struct {
	limit    int
	statedAt time.Time
}

// Record records the limit that an answer states; 0 if it states none.
func (b *Brittle) Record(limit int, now time.Time) {
	if limit > 0 {
		b.limit, b.statedAt = limit, now
	}
}

// Active reports whether the upstreams are brittle.
func (b *Brittle) Active(now time.Time) bool {
	return b.limit > 0 && now.Sub(b.statedAt) < brittleRetention
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
	// Load is the estimated number of requests of all hosts, running and waiting, Slots the number that
	// the upstream runs concurrently.
	Load  float64
	Slots int
	// Own is the number of requests of this host, Hosts the number of hosts; 0 if it is unknown.
	Own, Hosts int
	// Point is a number in [0, 1) that differs between hosts and upstreams.
	Point float64
}

// BrittleShare is a host's share of a brittle upstream. The hosts share the slots: each may have its part
// of them in flight, whatever the load, since load can rise faster than load data arrives. Where there are
// more hosts than slots, some of them at a time may have one request in flight. How many follows the load:
// a host that may send a request often has none, so that as many hosts as slots would leave most slots free.
// All hosts see about the same load, and so need no messages. The zero value is ready for use.
type BrittleShare struct {
	// hosts is the number of hosts that may have a request in flight, or 0 before the first call. adjustedAt
	// is when it was adjusted last.
	hosts      float64
	adjustedAt time.Duration
}

// Allows reports whether this host may send the upstream another request. sinceEpoch is the time by which
// the hosts that may change, where they are more than slots.
func (b *BrittleShare) Allows(u BrittleUse, sinceEpoch time.Duration) bool {
	if u.Hosts == 0 {
		return u.Own == 0
	}
	slots := float64(max(1, u.Slots))
	share := slots / float64(u.Hosts)
	if share < 1 {
		b.adjust(u.Load/slots, slots, float64(u.Hosts), sinceEpoch)
		share = b.hosts / float64(u.Hosts)
	}
	_, turn := math.Modf(u.Point + goldenRatio*math.Floor(float64(sinceEpoch)/float64(shareInterval)))
	return u.Own < int(share+turn)
}

// adjust adapts the number of hosts that may have a request in flight to the load per slot.
func (b *BrittleShare) adjust(load, slots, hosts float64, now time.Duration) {
	elapsed := now - b.adjustedAt
	switch {
	case b.hosts == 0 && load < lowBrittleLoad:
		b.hosts = hosts
	case b.hosts == 0:
		b.hosts = slots
	case elapsed < shareAdjustInterval:
		return
	case load < lowBrittleLoad:
		b.hosts *= math.Pow(shareGrowth, float64(elapsed)/float64(shareAdjustInterval))
	case load > highBrittleLoad:
		b.hosts *= targetBrittleLoad / load
	}
	b.hosts = min(max(b.hosts, slots), hosts)
	b.adjustedAt = now
}

// goldenRatio spreads the multiples of itself evenly over [0, 1), so that all hosts get their turns.
const goldenRatio = 0.6180339887498949

// RejectionBackoff returns the time for which a host sends no request to a brittle upstream that rejected
// one because it is full. It is drawn, since the upstream may reject requests of all hosts at the same
// time.
func (b *Brittle) RejectionBackoff(hosts int) time.Duration {
	perHost := brittleMargin * float64(b.limit) / float64(max(1, hosts))
	mean := min(max(time.Duration(float64(time.Second)/perHost), minRejectionBackoff), maxRejectionBackoff)
	return mean/2 + rand.N(mean)
}
