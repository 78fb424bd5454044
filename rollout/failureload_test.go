package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestFailureLoad(t *testing.T) {
	is := is.New(t)
	good, half := AnswerCounts{Total: 60}, AnswerCounts{Bad: 5, Total: 10}
	for _, test := range []struct {
		counts []AnswerCounts
		index  int
		ok     bool
	}{
		{nil, 0, false},
		{[]AnswerCounts{good, good, good}, 0, false},
		{[]AnswerCounts{good, good, half, half}, 2, true},
		{[]AnswerCounts{good, {}, {}, half}, 3, true}, // the lowest load that is known to fail
		{[]AnswerCounts{half, half, half}, 0, false},  // fails at any load
		{[]AnswerCounts{half, good, good}, 0, false},
		{[]AnswerCounts{good, good, {Bad: 1, Total: 60}}, 0, false},
	} {
		index, ok := FailureLoad(test.counts, 0.01)
		is.Equal(ok, test.ok)
		if ok {
			is.Equal(index, test.index)
		}
	}
}

// A version that fails as often at any load must hardly ever be limited, though the test is made after each answer.
func TestFailureLoadOfAVersionThatFailsAtAnyLoad(t *testing.T) {
	for _, rate := range []float64{0.005, 0.05, 0.2, 0.5} {
		limited := 0
		const plays = 200
		for seed := range uint64(plays) {
			rng := rand.New(rand.NewPCG(seed, 0))
			counts := make([]AnswerCounts, 16)
			for range 600 {
				c := &counts[min(15, max(0, int(5+3*rng.NormFloat64())))]
				c.Total++
				if rng.Float64() < rate {
					c.Bad++
				}
				if _, ok := FailureLoad(counts, 0.01); ok {
					limited++
					break
				}
			}
		}
		t.Logf("rate %v: %d of %d limited", rate, limited, plays)
		if limited > plays/50 {
			t.Errorf("rate %v: %d of %d were limited", rate, limited, plays)
		}
	}
}
