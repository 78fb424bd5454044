package returnschedule

import (
	"math"
	"time"
)

// rateHalfLife is the time in which a sample of a Rate loses half of its weight. The capacity of a
// service changes within seconds if engines are lost.
const rateHalfLife = 2 * time.Second

// minRateAge is the shortest time over which a Rate is computed. The first requests of a host would
// otherwise count as a rate of any height.
const minRateAge = 500 * time.Millisecond

// Rate is a decayed rate of engine time. The zero value is ready for use.
type Rate struct {
	// sum is the decayed sum as of the time at. since is when the first sample was added.
	sum       float64
	at, since time.Time
}

// Add adds engine time.
func (r *Rate) Add(work time.Duration, now time.Time) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.decay(now)
	r.sum += float64(max(0, work))
}

// Remove takes back the engine time that was added at the time addedAt.
func (r *Rate) Remove(work time.Duration, addedAt, now time.Time) {
	r.decay(now)
	r.sum = max(0, r.sum-float64(max(0, work))*math.Exp2(-now.Sub(addedAt).Seconds()/rateHalfLife.Seconds()))
}

// PerSecond returns the engine time per second.
func (r *Rate) PerSecond(now time.Time) time.Duration {
	if r.since.IsZero() {
		return 0
	}
	r.decay(now)
	// In the time since the first sample, a constant rate of 1 has the sum 1 - 2^(-age / half-life),
	// multiplied by the mean lifetime of a sample.
	age := max(minRateAge, r.at.Sub(r.since))
	lifetime := rateHalfLife.Seconds() / math.Ln2
	weight := lifetime * (1 - math.Exp2(-age.Seconds()/rateHalfLife.Seconds()))
	return time.Duration(r.sum / weight)
}

func (r *Rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp2(-passed.Seconds() / rateHalfLife.Seconds())
		r.at = now
	}
}
