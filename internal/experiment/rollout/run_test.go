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
	is.Equal(run(s, full.build, 3), run(s, full.build, 3))
}

func TestExposureStaysWithinTheBudget(t *testing.T) {
	tests := []struct {
		desc string
		cut  int
		c    contender
	}{
		{"connected", 0, full},
		{"all cut", 7, full},
		{"nothing shared", 0, bare},
		{"granted", 0, grants},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := usualSetting(badVersions[3])
			s.cut = tt.cut
			s.ratedShare = 0 // nothing stops or clears it
			s.exchange = 5 * time.Second
			is.New(t).True(run(s, tt.c.build, 1).exposed <= budget)
		})
	}
}

// A version like the old one is hardly ever stopped, one that fails half of its requests
// soon and always.
func TestComparisonDecides(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 17))
	alike, worse := 0, 0
	for range 200 {
		if (versions{0.02, 0.02, 0.18}).compare(rng).stopped > 0 {
			alike++
		}
		if c := (versions{0.02, 0.5, 0.18}).compare(rng); c.stopped > 0 && c.stopped <= 60 && c.cleared == 0 {
			worse++
		}
	}
	is.True(alike <= 2)
	is.Equal(worse, 200)
}
