package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	s := usualSetting(badVersions[0])
	is.Equal(run(s, sharedPaced.build, 3), run(s, sharedPaced.build, 3))
}

func TestExposureStaysWithinTheBudget(t *testing.T) {
	tests := []struct {
		desc        string
		partitioned int
		c           namedPolicy
	}{
		{"connected", 0, sharedPaced},
		{"all cut", 7, sharedPaced},
		{"nothing shared", 0, unsharedUnpaced},
		{"granted", 0, sharedGranted},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := usualSetting(badVersions[3])
			s.partitioned = tt.partitioned
			s.ratedShare = 0 // nothing stops or clears it
			s.exchangeInterval = 5 * time.Second
			is.New(t).True(run(s, tt.c.build, 1).answers <= budget)
		})
	}
}

// A new version as good as the old one is almost never stopped; one that fails half of its
// requests is always stopped within 60 answers.
func TestComparisonDecides(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 17))
	falseStops, promptStops := 0, 0
	for range 200 {
		if (versionPair{0.02, 0.02, 0.18}).compare(rng).stoppedAfter > 0 {
			falseStops++
		}
		if c := (versionPair{0.02, 0.5, 0.18}).compare(rng); c.stoppedAfter > 0 && c.stoppedAfter <= 60 && c.clearedAfter == 0 {
			promptStops++
		}
	}
	is.True(falseStops <= 2)
	is.Equal(promptStops, 200)
}
