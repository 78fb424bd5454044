package fairshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The shares add up to the capacity unless all demands are met, no claim gets more than its demand,
// and a claim that gets less than its demand has at least as much for its weight as any other, so
// that it can gain only if one with less loses.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(label string) float64 { return math.Exp2(rapid.Float64Range(-20, 20).Draw(t, label)) }
		claims := make([]Claim, rapid.IntRange(0, 40).Draw(t, "claims"))
		for i := range claims {
			claims[i] = Claim{Demand: number("demand"), Weight: number("weight")}
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				claims[i].Demand = rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1)}).Draw(t, "odd")
			}
		}
		capacity := number("capacity") * float64(rapid.IntRange(0, 1).Draw(t, "some"))
		const tolerance = 1 + 1e-9
		shares, sum, demand := Divide(capacity, claims), 0.0, 0.0
		for i, c := range claims {
			sum += shares[i]
			if !c.valid() {
				if shares[i] != 0 {
					t.Fatalf("%v gets %g", c, shares[i])
				}
				continue
			}
			demand += c.Demand
			if shares[i] > c.Demand {
				t.Fatalf("%v gets %g", c, shares[i])
			}
			for j, o := range claims {
				if o.valid() && shares[i] < c.Demand && shares[i]/c.Weight*tolerance < shares[j]/o.Weight {
					t.Fatalf("%v gets %g, while %v gets %g", c, shares[i], o, shares[j])
				}
			}
		}
		if want := min(demand, capacity); sum > want*tolerance || sum*tolerance < want {
			t.Fatalf("shares add up to %g instead of %g", sum, want)
		}
	})
}
