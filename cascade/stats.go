package cascade

import (
	"math"
	"time"
)

const (
	// ratingBuckets is the number of equal buckets that ratings are kept in,
	// so that a change of the target needs no new statistics.
	ratingBuckets = 40
	// sampleWindow is the number of ratings after which the oldest count for
	// about a third.
	sampleWindow = 300
	// statsHalfLife is the time in which statistics lose half of their weight.
	statsHalfLife = 30 * time.Minute
	// priorWeight is the weight, in ratings, of what is known of the wider
	// group.
	priorWeight = 8
	// latencyGain is the weight of a new measurement in a mean latency.
	latencyGain = 0.1
)

// histogram is a decayed count of ratings.
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
	h.scale(1 - 1.0/sampleWindow)
	h.buckets[bucketOf(rating)]++
	h.total++
}

func bucketOf(rating float64) int {
	return min(ratingBuckets-1, max(0, int(rating*ratingBuckets)))
}

// accepted returns the weight of the ratings that reach the target. Of the
// target's own bucket it counts the part above the target.
func (h *histogram) accepted(target float64) float64 {
	b := bucketOf(target)
	sum := float64(h.buckets[b]) * (float64(b+1) - target*ratingBuckets)
	for _, n := range h.buckets[b+1:] {
		sum += float64(n)
	}
	return sum
}

// probability estimates how often a rating reaches the target, drawn to the
// prior while there are few ratings.
func (h *histogram) probability(target, prior float64) float64 {
	return (h.accepted(target) + priorWeight*prior) / (h.total + priorWeight)
}

// stepStats is the record of one step.
type stepStats struct {
	first     histogram
	escalated histogram
	// latency is a mean in seconds; 0 without a measurement.
	latency float64
}

// groupStats is the record of one group of requests.
type groupStats struct {
	steps     []stepStats
	decayedAt time.Time
}

// decay lets old ratings lose weight.
func (g *groupStats) decay(now time.Time) {
	elapsed := now.Sub(g.decayedAt)
	if elapsed < statsHalfLife/16 {
		return
	}
	g.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(statsHalfLife))
	for i := range g.steps {
		g.steps[i].first.scale(factor)
		g.steps[i].escalated.scale(factor)
	}
}

// maxSteps bounds the steps of a cascade that are recorded.
const maxSteps = 8

func (g *groupStats) step(i int) *stepStats {
	if i < 0 || i >= maxSteps {
		return &stepStats{}
	}
	for len(g.steps) <= i {
		g.steps = append(g.steps, stepStats{})
	}
	return &g.steps[i]
}

func (g *groupStats) learn(s Sample) {
	step := g.step(s.Step)
	if s.Latency > 0 {
		step.observeLatency(s.Latency.Seconds())
	}
	if s.Rating < 0 || math.IsNaN(s.Rating) {
		return
	}
	if s.Escalated {
		step.escalated.add(s.Rating)
		return
	}
	step.first.add(s.Rating)
}

func (s *stepStats) observeLatency(seconds float64) {
	if s.latency == 0 {
		s.latency = seconds
		return
	}
	s.latency += latencyGain * (seconds - s.latency)
}
