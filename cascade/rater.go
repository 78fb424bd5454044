package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// raterGain is the weight of a new outcome in the rater's statistics.
	raterGain = 0.1
	// raterHalfLife is the time in which the failure share halves without new
	// outcomes, so that a rater that was down is tried again.
	raterHalfLife = 15 * time.Second
)

// raterState follows the rater's latency and failures.
type raterState struct {
	mu      sync.Mutex
	latency time.Duration
	failure float64
	// outcomeAt is when failure was last changed.
	outcomeAt time.Time
}

func (r *raterState) observe(took time.Duration, ok bool, now time.Time) {
	failed := 1.0
	if ok {
		failed = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failure := r.failureAt(now)
	r.failure = failure + raterGain*(failed-failure)
	r.outcomeAt = now
	r.latency += time.Duration(raterGain * float64(took-r.latency))
}

// failureAt returns the failure share decayed to now.
func (r *raterState) failureAt(now time.Time) float64 {
	if r.outcomeAt.IsZero() {
		return 0
	}
	return r.failure * math.Exp2(-float64(now.Sub(r.outcomeAt))/float64(raterHalfLife))
}

func (r *raterState) stats(now time.Time) RaterStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RaterStats{Latency: r.latency, Failure: r.failureAt(now)}
}
