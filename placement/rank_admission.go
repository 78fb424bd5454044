package placement

import (
	"math"
	"time"
)

// RankAdmission divides the capacity of a service among requests by rank, the most urgent first.
//
// It is meant for services whose upstreams all report limits while requests exceed the sum of
// the limits. Without it, capacity would go to whichever request arrives first, mostly of the
// most frequent kind. Requests in excess of the capacity are rejected at once. The zero value
// is ready for use. It isn't safe for concurrent use.
type RankAdmission struct {
	// arrivalRates holds the decayed rate of arriving requests per second, by rank, as of
	// updatedAt.
	arrivalRates [rankCount]float64
	updatedAt    time.Time
}

const (
	// rankCount is the number of distinct ranks; rank 0 is the most urgent.
	rankCount = 10
	// arrivalHalfLife is the half-life of a request's weight in the arrival rates.
	arrivalHalfLife = 2 * time.Second
)

// RecordArrival counts an arriving request.
func (r *RankAdmission) RecordArrival(rank int, now time.Time) {
	r.decay(now)
	r.arrivalRates[clampRank(rank)] += math.Ln2 / arrivalHalfLife.Seconds()
}

// Admits reports whether a request is admitted when supply, the capacity in requests per second,
// doesn't suffice for all. The more urgent ranks are served first. draw is a random number in
// [0, 1): if the supply that remains after the more urgent ranks suffices for only a fraction of
// the requests of this rank, the request is admitted if draw is below this fraction.
func (r *RankAdmission) Admits(rank int, supply, draw float64, now time.Time) bool {
	r.decay(now)
	rank = clampRank(rank)
	remaining := supply
	for _, rate := range r.arrivalRates[:rank] {
		remaining -= rate
	}
	return draw*r.arrivalRates[rank] < remaining
}

func (r *RankAdmission) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		weight := math.Exp2(-float64(elapsed) / float64(arrivalHalfLife))
		for i := range r.arrivalRates {
			r.arrivalRates[i] *= weight
		}
		r.updatedAt = now
	}
}

func clampRank(rank int) int { return min(max(0, rank), rankCount-1) }
