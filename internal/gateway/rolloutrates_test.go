package gateway

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var rolloutSeeds = flag.Uint64("rollout.seeds", 2, "number of replays for each row of TestErrorRatesOfRollouts")

// Sound versions were completed late and slow ones were completed. At most one of 200 sound versions may be stopped,
// and at most one of 100 slow ones be completed where requests suffice to tell.
func TestErrorRatesOfRollouts(t *testing.T) {
	// conclusiveFrom is the number of requests a second from which on they suffice.
	const conclusiveFrom = 19
	part := func(fraction, factor float64) func(*rand.Rand) float64 {
		return func(rng *rand.Rand) float64 {
			if rng.Float64() < fraction {
				return factor
			}
			return 1
		}
	}
	versions := []struct {
		desc     string
		slowdown func(*rand.Rand) float64
		sound    bool
	}{
		{"sound", part(0, 1), true},
		{"a tenth 8 times", part(0.1, 8), false},
		{"a fifth 4 times", part(0.2, 4), false},
		{"a fifth 8 times", part(0.2, 8), false},
		{"all 2.4 times", part(1, 2.4), false},
	}
	for _, v := range versions {
		t.Run(v.desc, func(t *testing.T) {
			played, stopped, completed := 0, 0, 0
			for _, perSecond := range []int{2, 4, 8, 19, 30, 90} {
				states, late := playRollouts(t, perSecond, v.slowdown)
				t.Logf("%d requests a second: completed %d, of them late %d, stopped %d, neither %d", perSecond, states[RolloutCompleted], late, states[RolloutReverted], states[RolloutRunning])
				stopped += states[RolloutReverted]
				if perSecond >= conclusiveFrom {
					played += int(*rolloutSeeds)
					completed += states[RolloutCompleted]
				}
			}
			if v.sound && 200*stopped > 2*played {
				t.Errorf("%d sound versions were stopped", stopped)
			}
			if !v.sound && 100*completed > played {
				t.Errorf("%d of %d slow versions were completed", completed, played)
			}
		})
	}
}

// playRollouts plays a roll-out with each seed, and returns how many ended in each state and how many were completed
// late.
func playRollouts(t *testing.T, perSecond int, slowdown func(*rand.Rand) float64) (states map[RolloutState]int, late int) {
	states = make(map[RolloutState]int)
	for seed := range *rolloutSeeds {
		synctest.Test(t, func(t *testing.T) {
			p := newRolloutReplay(t, seed, perSecond, func(int) float64 { return 0 })
			p.slowdown = slowdown
			state, took := p.play(replayDuration + 10*time.Second)
			states[state]++
			if state == RolloutCompleted && took > replayDuration {
				late++
			}
		})
	}
	return states, late
}
