package quota

import (
	"math"
	"sync"
	"time"
)

// defaultRetryAfter is the advice when the present slots can never do.
const defaultRetryAfter = time.Second

// Refusals up to a part of the requests and a number besides are put down to
// chance, not to a lack of slots.
const (
	toleratedRefusals = 0.02
	toleratedCount    = 2
)

// demandWeight is the weight of the last period in the decayed demand.
const demandWeight = 0.25

// jump is the factor between recent and decayed demand from which on the
// recent one counts.
const jump = 2

// term is a number of slots up to a time.
type term struct {
	slots int
	until time.Time
}

// bucket is an account's token bucket on this host. Its rate and depth follow
// the slots that the host may spend.
type bucket struct {
	account string
	// floor is the number of slots spent without a lease.
	floor float64

	mu    sync.Mutex
	limit Limit
	// own is the number of slots held by the row, as far as it is certain.
	own int
	// lent are slots that other hosts spend, loans slots of other hosts.
	lent, loans []term
	tokens      float64
	last        time.Time
	// asked sums what was asked since the last pass, refused what was refused.
	asked, refused float64
	// pressing says that something was refused since Run last looked.
	pressing bool
	// demand is the decayed rate of what is asked, in requests per second, and
	// recent its rate of the last second.
	demand float64
	recent recentRate

	// control is used by the background pass alone.
	control control
}

func newBucket(limit Limit, floor float64, now time.Time) *bucket {
	b := &bucket{account: limit.Account, last: now}
	b.setLimit(now, time.Time{}, limit, floor)
	return b
}

func (b *bucket) setLimit(now, leaseEnd time.Time, limit Limit, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, leaseEnd)
	limit.Burst = max(1, limit.Burst)
	b.limit = limit
	b.floor = 0
	if floor > 0 {
		b.floor = max(floor*Slots, float64(b.least()))
	}
}

// least is the smallest number of slots that lets one request through.
func (b *bucket) least() int {
	return int(math.Ceil(Slots / b.limit.Burst))
}

// take spends n if the slots have given that much. leaseEnd is the end of the
// host's lease.
func (b *bucket) take(now, leaseEnd time.Time, n float64) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, leaseEnd)
	b.asked += n
	b.recent.add(now, n)
	if b.tokens >= n {
		b.tokens -= n
		return true, 0
	}
	b.refused += n
	b.pressing = true
	return false, b.retryAfter(now, leaseEnd, n)
}

func (b *bucket) retryAfter(now, leaseEnd time.Time, n float64) time.Duration {
	slots := b.spendable(now, leaseEnd)
	rate := b.rate(slots)
	if rate <= 0 || n > b.depth(slots) {
		return defaultRetryAfter
	}
	return time.Duration((n - b.tokens) / rate * float64(time.Second))
}

func (b *bucket) rate(slots float64) float64  { return b.limit.Rate * slots / Slots }
func (b *bucket) depth(slots float64) float64 { return b.limit.Burst * slots / Slots }

// spendable is the number of slots that the host may spend at a time.
func (b *bucket) spendable(at, leaseEnd time.Time) float64 {
	slots := b.floor
	if at.Before(leaseEnd) {
		slots = float64(b.own - sum(b.lent, at))
	}
	return slots + float64(sum(b.loans, at))
}

func sum(terms []term, at time.Time) int {
	n := 0
	for _, t := range terms {
		if at.Before(t.until) {
			n += t.slots
		}
	}
	return n
}

// advance lets the bucket fill until now, in steps between the times at which
// slots end, so that no slot gives anything after its end.
func (b *bucket) advance(now, leaseEnd time.Time) {
	for b.last.Before(now) {
		next := b.nextEnd(now, leaseEnd)
		slots := b.spendable(b.last, leaseEnd)
		b.tokens += b.rate(slots) * next.Sub(b.last).Seconds()
		b.tokens = min(b.tokens, b.depth(slots))
		b.last = next
	}
	b.tokens = min(b.tokens, b.depth(b.spendable(b.last, leaseEnd)))
	b.lent = unexpired(b.lent, b.last)
	b.loans = unexpired(b.loans, b.last)
}

// nextEnd is the first end of a loan or of the lease after last, or now.
func (b *bucket) nextEnd(now, leaseEnd time.Time) time.Time {
	next := now
	if b.last.Before(leaseEnd) && leaseEnd.Before(next) {
		next = leaseEnd
	}
	for _, t := range b.loans {
		if b.last.Before(t.until) && t.until.Before(next) {
			next = t.until
		}
	}
	return next
}

func unexpired(terms []term, at time.Time) []term {
	kept := terms[:0]
	for _, t := range terms {
		if at.Before(t.until) {
			kept = append(kept, t)
		}
	}
	return kept
}

// hold changes the host's own slots, though not below those lent out, and
// returns the number held. Slots that no host ever held bring their depth.
func (b *bucket) hold(now, leaseEnd time.Time, slots, fresh int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, leaseEnd)
	b.own = max(slots, sum(b.lent, now))
	b.tokens += b.depth(float64(fresh))
	b.tokens = min(b.tokens, b.depth(b.spendable(now, leaseEnd)))
	return b.own
}

// forfeit drops all that the host held under a lease that it lost.
func (b *bucket) forfeit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own = 0
	b.lent = nil
	b.tokens = 0
	b.control = control{}
}

// needs is what a pass over the rows knows of an account's demand.
type needs struct {
	// slots is the demand in slots of the limit.
	slots float64
	// refused says that more than a few requests were refused.
	refused bool
	// least is the smallest number of slots that lets one request through.
	least int
	// own, lent and loans are the slots held, lent out and borrowed.
	own, lent, loans int
}

// measure tells the demand. A positive period ends a period of that length.
func (b *bucket) measure(now time.Time, period time.Duration) needs {
	b.mu.Lock()
	defer b.mu.Unlock()
	if period > 0 {
		b.demand += (b.asked/period.Seconds() - b.demand) * demandWeight
	}
	n := needs{
		slots:   b.inSlots(b.expected(now)),
		refused: b.isRefusing(),
		least:   b.least(),
		lent:    sum(b.lent, now),
		own:     b.own,
		loans:   sum(b.loans, now),
	}
	b.pressing = false
	if period > 0 {
		b.asked = 0
		b.refused = 0
	}
	return n
}

// expected is the demand to reckon with: the decayed rate, unless that of the
// last moments is so far off that chance doesn't explain it.
func (b *bucket) expected(now time.Time) float64 {
	recent := b.recent.rate(now)
	if recent > jump*b.demand || recent < b.demand/jump {
		return recent
	}
	return b.demand
}

// isRefusing reports whether more is refused than by chance.
func (b *bucket) isRefusing() bool {
	if b.own < b.least() {
		return b.refused > 0
	}
	return b.refused > toleratedRefusals*b.asked+toleratedCount
}

// inSlots converts requests per second.
func (b *bucket) inSlots(rate float64) float64 {
	return rate / b.limit.Rate * Slots
}
