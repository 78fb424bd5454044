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
	// raterHalfLife is the time in which the failure rate halves if there are
	// no new outcomes. After the rater was down, the failure rate thus falls
	// below raterDownFailureRate, and the wait for a rating gets its full
	// timeout again.
	raterHalfLife = 15 * time.Second
)

// raterRecord holds the statistics of the rater, which rates answers: moving
// averages of its latency and of the proportion of ratings that failed.
type raterRecord struct {
	mu          sync.Mutex
	latency     time.Duration
	failureRate float64
	// lastOutcome is when failureRate was last updated.
	lastOutcome time.Time
}

func (r *raterRecord) observe(took time.Duration, ok bool, now time.Time) {
	sample := 1.0
	if ok {
		sample = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failureRate := r.failureRateAt(now)
	r.failureRate = failureRate + raterSampleWeight*(sample-failureRate)
	r.lastOutcome = now
	r.latency += time.Duration(raterSampleWeight * float64(took-r.latency))
}

// failureRateAt returns the failure rate, decayed to now.
func (r *raterRecord) failureRateAt(now time.Time) float64 {
	if r.lastOutcome.IsZero() {
		return 0
	}
	return r.failureRate * math.Exp2(-float64(now.Sub(r.lastOutcome))/float64(raterHalfLife))
}

func (r *raterRecord) stats(now time.Time) RaterStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RaterStats{Latency: r.latency, FailureRate: r.failureRateAt(now)}
}
