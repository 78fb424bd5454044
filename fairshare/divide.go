package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one account asks of a capacity. Demand has the unit of the capacity. Weight is
// relative to the weights of the other claims.
type Claim struct {
	Demand float64
	Weight float64
}

// valid reports whether the claim counts. Claims without a positive demand and weight get nothing.
func (c Claim) valid() bool {
	return c.Demand > 0 && c.Weight > 0 && !math.IsInf(c.Demand, 1) && !math.IsInf(c.Weight, 1)
}

// Divide returns the max-min fair share of each claim: no claim gets more than its demand, and a
// claim can gain only if one with less for its weight loses. The shares use up the capacity unless
// all demands are met.
func Divide(capacity float64, claims []Claim) []float64 {
	level := Level(capacity, claims)
	shares := make([]float64, len(claims))
	for i, c := range claims {
		if c.valid() {
			shares[i] = min(c.Demand, c.Weight*level)
		}
	}
	return shares
}

// Level returns the share for a weight of 1 of all claims that get less than their demand. It is
// infinite if the capacity meets all demands.
func Level(capacity float64, claims []Claim) float64 {
	ascending := make([]Claim, 0, len(claims))
	for _, c := range claims {
		if c.valid() {
			ascending = append(ascending, c)
		}
	}
	slices.SortFunc(ascending, func(a, b Claim) int { return cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight) })
	// Weights are added up from the end, since a difference of sums loses small weights.
	weights := make([]float64, len(ascending)+1)
	for i := len(ascending) - 1; i >= 0; i-- {
		weights[i] = weights[i+1] + ascending[i].Weight
	}
	remaining := max(0, capacity)
	for i, c := range ascending {
		if level := remaining / weights[i]; c.Demand/c.Weight > level {
			return level
		}
		remaining = max(0, remaining-c.Demand)
	}
	return math.Inf(1)
}
