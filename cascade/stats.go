package cascade

import (
	"math"
	"time"
)

const (
	// ratingBuckets is the number of equal buckets of the rating histograms.
	// With a histogram, statistics stay valid when the target changes.
	ratingBuckets = 40
	// ratingWindow is the number of later ratings after which a rating's weight
	// has decayed to about a third.
	ratingWindow = 300
	// statsHalfLife is the time in which the weight of a rating halves if no
	// later ones arrive.
	statsHalfLife = 30 * time.Minute
	// priorWeight is the weight of the estimate from the next wider group, in
	// ratings.
	priorWeight = 8
	// latencySampleWeight is the weight of a new measurement in the moving
	// average of the latency.
	latencySampleWeight = 0.1
)

// histogram holds decayed counts of ratings.
type histogram struct {
	buckets [ratingBuckets]float32
	total   float64
}

func (h *histogram) scale(factor float64) {
	for i := range h.buckets {
		h.buckets[i] *= float32(factor)
	}
	h.total *= factor
}

func (h *histogram) add(rating float64) {
	h.scale(1 - 1.0/ratingWindow)
	h.buckets[bucketOf(rating)]++
	h.total++
}

func bucketOf(rating float64) int {
	return min(ratingBuckets-1, max(0, int(rating*ratingBuckets)))
}

// acceptedWeight returns the weight of the ratings that reach the target. Of the
// bucket that contains the target, it counts the part above the target.
func (h *histogram) acceptedWeight(target float64) float64 {
	b := bucketOf(target)
	sum := float64(h.buckets[b]) * (float64(b+1) - target*ratingBuckets)
	for _, n := range h.buckets[b+1:] {
		sum += float64(n)
	}
	return sum
}

// probability estimates the probability that a rating reaches the target. The
// prior probability has the weight of priorWeight ratings.
func (h *histogram) probability(target, prior float64) float64 {
	return (h.acceptedWeight(target) + priorWeight*prior) / (h.total + priorWeight)
}

// stepRecord holds the statistics of one step. startedRatings counts the
// ratings of answers to requests that started at the step. escalatedRatings
// counts those of answers to requests that were escalated to the step.
type stepRecord struct {
	startedRatings   histogram
	escalatedRatings histogram
	// latency is the moving average of the time to the complete answer, in
	// seconds. It is 0 if not measured.
	latency float64
}

// groupRecord holds the statistics of one group of requests.
type groupRecord struct {
	steps     []stepRecord
	decayedAt time.Time
}

// decay reduces the weight of the ratings by the time since the last decay.
func (r *groupRecord) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	if elapsed < statsHalfLife/16 {
		return
	}
	r.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(statsHalfLife))
	for i := range r.steps {
		r.steps[i].startedRatings.scale(factor)
		r.steps[i].escalatedRatings.scale(factor)
	}
}

// maxSteps is the maximum number of steps of a cascade that are recorded.
const maxSteps = 8

func (r *groupRecord) stepAt(i int) *stepRecord {
	if i < 0 || i >= maxSteps {
		return &stepRecord{}
	}
	for len(r.steps) <= i {
		r.steps = append(r.steps, stepRecord{})
	}
	return &r.steps[i]
}

func (r *groupRecord) record(s Sample) {
	step := r.stepAt(s.Step)
	if s.Latency > 0 {
		step.observeLatency(s.Latency.Seconds())
	}
	if s.Rating < 0 || math.IsNaN(s.Rating) {
		return
	}
	if s.Escalated {
		step.escalatedRatings.add(s.Rating)
		return
	}
	step.startedRatings.add(s.Rating)
}

func (s *stepRecord) observeLatency(seconds float64) {
	if s.latency == 0 {
		s.latency = seconds
		return
	}
	s.latency += latencySampleWeight * (seconds - s.latency)
}
