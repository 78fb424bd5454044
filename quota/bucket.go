package quota

import (
	"math"
	"sync"
	"time"
)

// defaultRetryAfter is the time to wait that is returned for a request that the
// current slots can never allow.
const defaultRetryAfter = time.Second

// If the number of refused requests in a measurement period is at most
// toleratedRefusalRatio times the number of requests plus toleratedRefusals,
// the refusals are attributed to random variation, not to a lack of slots.
const (
	toleratedRefusalRatio = 0.02
	toleratedRefusals     = 2
)

// demandWeight is the weight of the last measurement period in the moving
// average of the demand.
const demandWeight = 0.25

// demandJumpFactor is the ratio of the higher to the lower of recent and
// average demand above which the recent demand is used. A smaller difference is
// attributed to random variation.
const demandJumpFactor = 2

// timedSlots holds a number of slots and the time at which they expire.
type timedSlots struct {
	slots int
	until time.Time
}

// bucket is an account's token bucket on this host. Its rate and depth are
// proportional to the slots that the host may use.
type bucket struct {
	account string
	// unleasedSlots is the number of slots that the host may use without a
	// lease.
	unleasedSlots float64

	mu    sync.Mutex
	limit Limit
	// ownSlots is the number of slots that the row certainly assigns to this
	// host, whatever the outcome of an unresolved commit.
	ownSlots int
	// lentSlots holds the slots that this host lent to other hosts,
	// borrowedSlots holds those that it borrowed from other hosts.
	lentSlots, borrowedSlots []timedSlots
	tokens                   float64
	filledAt                 time.Time
	// requested and refused count requests since the measurement period began.
	requested, refused float64
	// newlyRefused is true if requests were refused since the last call of
	// measureDemand, whether or not that call ended the measurement period.
	newlyRefused bool
	// demand is the moving average of the requested rate over the measurement
	// periods, in requests per second. recentDemand measures the requested rate
	// in the current and the previous window of rateWindow.
	demand       float64
	recentDemand recentRate

	// state is used only by the goroutine of Run.
	state reconcileState
}

func newBucket(limit Limit, unleasedShare float64, now time.Time) *bucket {
	b := &bucket{account: limit.Account, filledAt: now}
	b.setLimit(now, time.Time{}, limit, unleasedShare)
	return b
}

func (b *bucket) setLimit(now, leaseEnd time.Time, limit Limit, unleasedShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, leaseEnd)
	limit.Burst = max(1, limit.Burst)
	b.limit = limit
	b.unleasedSlots = 0
	if unleasedShare > 0 {
		b.unleasedSlots = max(unleasedShare*Slots, float64(b.minSlots()))
	}
}

// minSlots returns the smallest number of slots that allows one request.
func (b *bucket) minSlots() int {
	return int(math.Ceil(Slots / b.limit.Burst))
}

// take spends n tokens if the bucket has them; otherwise it returns the time to
// wait. leaseEnd is the end of the host's lease.
func (b *bucket) take(now, leaseEnd time.Time, n float64) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, leaseEnd)
	b.requested += n
	b.recentDemand.add(now, n)
	if b.tokens >= n {
		b.tokens -= n
		return true, 0
	}
	b.refused += n
	b.newlyRefused = true
	return false, b.retryAfter(now, leaseEnd, n)
}

func (b *bucket) retryAfter(now, leaseEnd time.Time, n float64) time.Duration {
	slots := b.usableSlots(now, leaseEnd)
	rate := b.rate(slots)
	if rate <= 0 || n > b.depth(slots) {
		return defaultRetryAfter
	}
	return time.Duration((n - b.tokens) / rate * float64(time.Second))
}

func (b *bucket) rate(slots float64) float64  { return b.limit.Rate * slots / Slots }
func (b *bucket) depth(slots float64) float64 { return b.limit.Burst * slots / Slots }

// usableSlots returns the number of slots that the host may use at a time.
func (b *bucket) usableSlots(at, leaseEnd time.Time) float64 {
	slots := b.unleasedSlots
	if at.Before(leaseEnd) {
		slots = float64(b.ownSlots - validSlots(b.lentSlots, at))
	}
	return slots + float64(validSlots(b.borrowedSlots, at))
}

func validSlots(timed []timedSlots, at time.Time) int {
	n := 0
	for _, t := range timed {
		if at.Before(t.until) {
			n += t.slots
		}
	}
	return n
}

// refill adds tokens up to now, in steps between the times at which slots
// expire, so that no slot yields tokens after it expired.
func (b *bucket) refill(now, leaseEnd time.Time) {
	for b.filledAt.Before(now) {
		next := b.nextExpiry(now, leaseEnd)
		slots := b.usableSlots(b.filledAt, leaseEnd)
		b.tokens += b.rate(slots) * next.Sub(b.filledAt).Seconds()
		b.tokens = min(b.tokens, b.depth(slots))
		b.filledAt = next
	}
	b.tokens = min(b.tokens, b.depth(b.usableSlots(b.filledAt, leaseEnd)))
	b.lentSlots = unexpired(b.lentSlots, b.filledAt)
	b.borrowedSlots = unexpired(b.borrowedSlots, b.filledAt)
}

// nextExpiry returns the first time after filledAt at which the lease or a
// borrowed loan expires, but at most now.
func (b *bucket) nextExpiry(now, leaseEnd time.Time) time.Time {
	next := now
	if b.filledAt.Before(leaseEnd) && leaseEnd.Before(next) {
		next = leaseEnd
	}
	for _, t := range b.borrowedSlots {
		if b.filledAt.Before(t.until) && t.until.Before(next) {
			next = t.until
		}
	}
	return next
}

func unexpired(timed []timedSlots, at time.Time) []timedSlots {
	kept := timed[:0]
	for _, t := range timed {
		if at.Before(t.until) {
			kept = append(kept, t)
		}
	}
	return kept
}

// setOwnSlots sets the number of the host's own slots, but not below the number
// lent out, and returns the number set. It adds the full depth of tokens for
// neverHeld slots, which no host has held before.
func (b *bucket) setOwnSlots(now, leaseEnd time.Time, slots, neverHeld int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, leaseEnd)
	b.ownSlots = max(slots, validSlots(b.lentSlots, now))
	b.tokens += b.depth(float64(neverHeld))
	b.tokens = min(b.tokens, b.depth(b.usableSlots(now, leaseEnd)))
	return b.ownSlots
}

// dropHoldings drops the host's own slots and all tokens after the host lost its
// lease.
func (b *bucket) dropHoldings() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownSlots = 0
	b.lentSlots = nil
	b.tokens = 0
	b.state = reconcileState{}
}

// demandStats holds an account's demand on this host and the slots that the host
// has to meet it.
type demandStats struct {
	// demandSlots is the number of slots whose rate equals the demand.
	demandSlots float64
	// refused is true if more requests were refused than tolerated.
	refused bool
	// minSlots is the smallest number of slots that allows one request.
	minSlots int
	// ownSlots, lentSlots and borrowedSlots are the numbers of slots held, lent
	// out and borrowed.
	ownSlots, lentSlots, borrowedSlots int
}

// measureDemand returns the demand. If period is positive, it is the length of
// the measurement period, which this call ends.
func (b *bucket) measureDemand(now time.Time, period time.Duration) demandStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	if period > 0 {
		b.demand += (b.requested/period.Seconds() - b.demand) * demandWeight
	}
	stats := demandStats{
		demandSlots:   b.slotsForRate(b.expectedDemand(now)),
		refused:       b.exceedsToleratedRefusals(),
		minSlots:      b.minSlots(),
		lentSlots:     validSlots(b.lentSlots, now),
		ownSlots:      b.ownSlots,
		borrowedSlots: validSlots(b.borrowedSlots, now),
	}
	b.newlyRefused = false
	if period > 0 {
		b.requested = 0
		b.refused = 0
	}
	return stats
}

// expectedDemand returns the expected demand in requests per second: the moving
// average, or the recent rate if the two differ by more than demandJumpFactor.
func (b *bucket) expectedDemand(now time.Time) float64 {
	recent := b.recentDemand.rate(now)
	if recent > demandJumpFactor*b.demand || recent < b.demand/demandJumpFactor {
		return recent
	}
	return b.demand
}

// exceedsToleratedRefusals reports whether more requests were refused than
// random variation explains.
func (b *bucket) exceedsToleratedRefusals() bool {
	if b.ownSlots < b.minSlots() {
		return b.refused > 0
	}
	return b.refused > toleratedRefusalRatio*b.requested+toleratedRefusals
}

// slotsForRate converts requests per second to slots.
func (b *bucket) slotsForRate(rate float64) float64 {
	return rate / b.limit.Rate * Slots
}
