package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawTime returns a time as a multiple of the expected one; one in three is longer because of a queue.
func drawTime(rng *rand.Rand) float64 {
	ratio := 0.85 * math.Exp(0.3*rng.NormFloat64())
	if rng.IntN(3) == 0 {
		ratio *= 1 + 1.5*rng.ExpFloat64()
	}
	return ratio
}

// timedVersions draws answers of both versions, one in ten of the candidate, whose times are multiplied by what
// slowdown returns. Callers leave after patience.
type timedVersions struct {
	slowdown func(*rand.Rand) float64
	patience float64
}

// compare returns whether the candidate was ever found slower, or not slower, within the given number of its
// answers.
func (v timedVersions) compare(rng *rand.Rand, answers int) (slower, notSlower bool) {
	var baseline, candidate TimeCounts
	add := func(c *TimeCounts, ratio float64) {
		if ratio > v.patience {
			c.Unanswered[TimeBucket(v.patience)]++
			return
		}
		c.Answered[TimeBucket(ratio)]++
	}
	for range answers {
		for range 9 {
			add(&baseline, drawTime(rng))
		}
		add(&candidate, drawTime(rng)*v.slowdown(rng))
		c := CompareTimes(baseline, candidate)
		slower = slower || c.IsSlower(1e-3)
		notSlower = notSlower || c.IsNotSlower(0.05)
	}
	return slower, notSlower
}

// The error rates of both tests, each evaluated after every answer.
func TestErrorRatesOfTimeComparison(t *testing.T) {
	part := func(fraction, factor float64) func(*rand.Rand) float64 {
		return func(rng *rand.Rand) float64 {
			if rng.Float64() < fraction {
				return factor
			}
			return 1
		}
	}
	const runs, answers = 200, 120
	tests := []struct {
		desc               string
		versions           timedVersions
		minSlower, maxSlow int
		minPassed, maxPass int
	}{
		{"as fast", timedVersions{part(0, 1), math.Inf(1)}, 0, 2, 190, runs},
		{"as fast, impatient callers", timedVersions{part(0, 1), 2}, 0, 2, 190, runs},
		{"a fifth 8 times", timedVersions{part(0.2, 8), math.Inf(1)}, 195, runs, 0, 10},
		{"a fifth 8 times, impatient callers", timedVersions{part(0.2, 8), 4}, 190, runs, 0, 10},
		{"all 2.4 times", timedVersions{part(1, 2.4), math.Inf(1)}, 200, runs, 0, 10},
		{"no answers", timedVersions{part(1, 1e9), 4}, 200, runs, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			slower, passed := 0, 0
			for seed := range uint64(runs) {
				s, p := test.versions.compare(rand.New(rand.NewPCG(seed, 1)), answers)
				if s {
					slower++
				}
				if p {
					passed++
				}
			}
			t.Logf("of %d: slower %d, not slower %d", runs, slower, passed)
			is.True(slower >= test.minSlower && slower <= test.maxSlow)
			is.True(passed >= test.minPassed && passed <= test.maxPass)
		})
	}
}

// Counts that were sent to another host are the same there, and malformed ones are refused.
func TestTimeCountsAreEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c, got TimeCounts
		for b := range TimeBuckets {
			c.Answered[b] = rapid.IntRange(0, 1<<20).Draw(t, fmt.Sprint("answered ", b))
			c.Unanswered[b] = rapid.IntRange(0, 3).Draw(t, fmt.Sprint("unanswered ", b))
		}
		data, err := json.Marshal(c)
		if err != nil || json.Unmarshal(data, &got) != nil || got != c {
			t.Fatalf("%v is decoded as %v: %v", c, got, err)
		}
		cut := rapid.IntRange(0, len(data)-2).Draw(t, "length")
		_ = new(TimeCounts).UnmarshalText(data[1 : 1+cut])
	})
	is := is.New(t)
	for _, text := range []string{"", "!", "/w", "AQ", "AAAA"} {
		is.True(new(TimeCounts).UnmarshalText([]byte(text)) != nil)
	}
}
