package notice

import (
	"math"
	"math/rand/v2"
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
	// rejectionMemory is the time constant of the mean rate of rejections.
	rejectionMemory = 2 * time.Second
	// rejectionGainFactor is the factor for the gain after a rejection while the upstreams make too many.
	rejectionGainFactor = 0.7
	// windowGrowth is the number of requests by which a host's window grows in the mean time of a request.
	windowGrowth = 0.6
)

// Brittle is what the upstreams of a service state about rejections: one that has to reject more than
// a number of requests in a second terminates. The hosts don't tell each other how many each upstream
// rejected, so that together they send no more than it has slots for: each may send a part of the requests
// for which it has free slots. The zero value is a service whose upstreams state nothing.
type Brittle struct {
	limit int
	// statedAt is the time of the last statement, answeredAt that of the last answer.
	statedAt, answeredAt time.Time
	// gain is the factor by which the hosts that may send a request exceed the free slots: a host that may
	// often has none, and with as many hosts as slots most slots would stay free at low load. It is 0 before the
	// first adjustment, which was made at adjustedAt.
	gain       float64
	adjustedAt time.Duration
	// rejections is the number of requests in a second that the mean upstream rejected as of rejectedAt, estimated
	// by those of this host.
	rejections float64
	rejectedAt time.Time
	// window is the number of requests that a host may have in flight while the number of hosts is unknown: it grows with
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

// AdjustGain adapts to the mean load per slot of the service's upstreams how many hosts may send them requests: at most
// all while an upstream's slots are free, and no more than before while they reject requests. slots is the mean
// number of slots, sinceStart the time since the start of the process.
func (b *Brittle) AdjustGain(load float64, hosts int, slots float64, now time.Time, sinceStart time.Duration) {
	most, elapsed := max(1, float64(hosts)/max(1, slots)), sinceStart-b.adjustedAt
	switch {
	case b.gain == 0 && load < lowBrittleLoad:
		b.gain = most
	case b.gain == 0:
		b.gain = 1
	case elapsed < gainInterval:
		return
	case load < lowBrittleLoad && b.rejectionRate(now) > rejectionShare*float64(b.limit):
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
	if b.rejections > rejectionShare*float64(b.limit) {
		b.gain *= rejectionGainFactor // at least 1 again with the next adjustment
	}
}

// rejectionRate returns the estimated rejections of an upstream in a second.
func (b *Brittle) rejectionRate(now time.Time) float64 {
	if b.rejections == 0 {
		return 0
	}
	return b.rejections * math.Exp(-now.Sub(b.rejectedAt).Seconds()/rejectionMemory.Seconds())
}

// RejectionBackoff returns the time for which a host sends no request to a brittle upstream that rejected
// one because it is full. It is drawn, since the upstream may reject requests of all hosts at the same
// time.
func (b *Brittle) RejectionBackoff(hosts int) time.Duration {
	perHost := brittleMargin * float64(b.limit) / float64(max(1, hosts))
	mean := min(max(time.Duration(float64(time.Second)/perHost), minRejectionBackoff), MaxBackoff)
	return mean/2 + rand.N(mean)
}
