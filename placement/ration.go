package placement

import (
	"math"
	"time"
)

// Ration shares what a service takes among requests by their rank, the most urgent first.
//
// The load that it answers: all upstreams of a service name limits, and the requests are more
// than the limits' sum. Whoever comes first would take what is left, most of them the most
// frequent kind. What no upstream will take is turned away at once. The zero value has seen no
// request. It isn't safe for concurrent use.
type Ration struct {
	// arrivals are the decayed rates of requests by rank, a second, as of at.
	arrivals [ranks]float64
	at       time.Time
}

const (
	// ranks is the number of ranks that are told apart, 0 first.
	ranks = 10
	// rationHalfLife halves the weight of a request in the rates of arrivals.
	rationHalfLife = 2 * time.Second
)

// Note counts a request.
func (r *Ration) Note(rank int, now time.Time) {
	r.decay(now)
	r.arrivals[within(rank)] += math.Ln2 / rationHalfLife.Seconds()
}

// Admits says whether a request may take of a supply, in requests a second, that doesn't
// suffice for all. Draw is of [0, 1).
func (r *Ration) Admits(rank int, supply, draw float64, now time.Time) bool {
	r.decay(now)
	rank = within(rank)
	left := supply
	for _, rate := range r.arrivals[:rank] {
		left -= rate
	}
	return draw*r.arrivals[rank] < left
}

func (r *Ration) decay(now time.Time) {
	if since := now.Sub(r.at); since > 0 {
		weight := math.Exp2(-float64(since) / float64(rationHalfLife))
		for i := range r.arrivals {
			r.arrivals[i] *= weight
		}
		r.at = now
	}
}

func within(rank int) int { return min(max(0, rank), ranks-1) }
