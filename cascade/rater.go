package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// raterSampleWeight is the weight of a new outcome in the rater's moving
	// averages.
	raterSampleWeight = 0.1
	// raterHalfLife is the time in which the proportion of failures halves
	// without new outcomes, so that a rater that was down is tried again.
	raterHalfLife = 15 * time.Second
)

// raterState holds moving averages of the rater's latency and failures.
type raterState struct {
	mu      sync.Mutex
	latency time.Duration
	failure float64
	// lastOutcome is when failure was last updated.
	lastOutcome time.Time
}

func (r *raterState) observe(took time.Duration, ok bool, now time.Time) {
	failureValue := 1.0
	if ok {
		failureValue = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failure := r.failureAt(now)
	r.failure = failure + raterSampleWeight*(failureValue-failure)
	r.lastOutcome = now
	r.latency += time.Duration(raterSampleWeight * float64(took-r.latency))
}

// failureAt returns the proportion of failures, decayed to now.
func (r *raterState) failureAt(now time.Time) float64 {
	if r.lastOutcome.IsZero() {
		return 0
	}
	return r.failure * math.Exp2(-float64(now.Sub(r.lastOutcome))/float64(raterHalfLife))
}

func (r *raterState) stats(now time.Time) RaterStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RaterStats{Latency: r.latency, FailureRate: r.failureAt(now)}
}
