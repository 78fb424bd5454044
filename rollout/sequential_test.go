package rollout

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMeanTestIsAMartingale(t *testing.T) {
	tests := []struct {
		desc  string
		side  alternative
		limit float64
	}{
		{"above a low limit", above, 0.02},
		{"below a low limit", below, 0.02},
		{"above a middle limit", above, 0.6},
		{"below a middle limit", below, 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			test := newMeanTest(tt.side, tt.limit, binaryValues)
			for _, row := range test.logFactors { // if the mean is at the limit, the expected factor is 1
				mean := (1-tt.limit)*math.Exp(row[0]) + tt.limit*math.Exp(row[1])
				is.True(math.Abs(mean-1) < 1e-9)
			}
			is.Equal(test.logWealth([]uint64{0, 0}), 0.0)
		})
	}
}

// TestFalseStopsAndClearsAreRare tests versions whose error rate is exactly the
// limit, at which false stops and clears are most likely. The tests run after
// every answer, as in a Tracker.
func TestFalseStopsAndClearsAreRare(t *testing.T) {
	const runs, answers, limit = 1000, 600, 0.05
	is := is.New(t)
	c := newCriteria(VersionRule{MaxErrorRate: limit}, Confidence{})
	rnd := rand.New(rand.NewPCG(1, 1))
	stopped, cleared := 0, 0
	for range runs {
		wasStopped, wasCleared := stoppedOrCleared(&c, rnd, answers, limit)
		stopped += wasStopped
		cleared += wasCleared
	}
	t.Logf("of %d runs with an error rate at the limit: %d stopped, %d cleared", runs, stopped, cleared)
	is.True(stopped <= runs*2*DefaultFalseStop)
	is.True(cleared <= runs*2*DefaultFalseClear)
}

func stoppedOrCleared(c *criteria, rnd *rand.Rand, answers int, errorRate float64) (stopped, cleared int) {
	counters := &Counters{}
	for range answers {
		counters.Answers++
		if rnd.Float64() < errorRate {
			counters.Errors++
		}
		if _, _, bad := c.violatedLimit(counters, DefaultFalseStop); bad {
			stopped = 1
		}
		if c.satisfied(counters) {
			cleared = 1
		}
	}
	return stopped, cleared
}

func drawEvidence(t *rapid.T, host string) Evidence {
	number := func(name string) uint64 { return rapid.Uint64Range(0, 9).Draw(t, name) }
	e := Evidence{Host: host, Model: "m", Version: "2", Round: 5, Granted: number("granted")}
	e.Taken = number("taken")
	e.Total = Counters{Answers: number("answers"), Errors: number("errors")}
	e.Total.addRatings(rapid.IntRange(0, RatingBuckets-1).Draw(t, "bucket"), number("ratings"))
	e.mergeTransfer(Transfer{To: "x", Answers: number("given")})
	return e
}

func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEvidence(t, "h"), drawEvidence(t, "h"), drawEvidence(t, "h")
		left, right := a.clone(), c.clone()
		for _, other := range []*Evidence{&b, &c, &b} {
			left.merge(other)
		}
		for _, other := range []*Evidence{&a, &b} {
			right.merge(other)
		}
		if left.counterSum() != right.counterSum() || left.Total.MeanRating() != right.Total.MeanRating() {
			t.Fatalf("%+v and %+v differ", left, right)
		}
	})
}

func TestEvidenceJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	evidence := peersEvidence(1)
	data, err := json.Marshal(evidence)
	is.NoErr(err)
	t.Logf("%d bytes for the evidence of one host with one segment", len(data))
	var decoded []Evidence
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, evidence)
	var ratings Ratings
	is.True(ratings.UnmarshalJSON([]byte("[1]")) != nil)
	is.NoErr(ratings.UnmarshalJSON([]byte("[999,1]"))) // a bucket out of range is ignored
}
