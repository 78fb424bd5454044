package rollout

import "time"

// Defaults of Pacing.
const (
	DefaultInitial        = 8
	DefaultGrowth         = 1
	DefaultInitialUnrated = 32
	DefaultUnratedGrowth  = 20
	DefaultObserveTimeout = 2 * time.Minute
)

// Pacing bounds how many answers may be under way without evidence, since
// answers that are already taken can't be called back when the version turns
// out bad. The bounds are for all hosts together; each host takes its part.
// Zero fields mean the defaults.
type Pacing struct {
	// Off switches pacing off.
	Off bool
	// Initial answers may be unobserved at first, and Growth more for each
	// observed one.
	Initial float64
	Growth  float64
	// InitialUnrated answers may be unrated at first, and UnratedGrowth more
	// for each rated one, where ratings count. At least one answer in
	// UnratedGrowth must be rated, or the version is held back.
	InitialUnrated float64
	UnratedGrowth  float64
	// ObserveTimeout is when an answer that was never observed stops counting
	// as under way.
	ObserveTimeout time.Duration
}

func (p Pacing) withDefaults() Pacing {
	if p.Initial == 0 {
		p.Initial = DefaultInitial
	}
	if p.Growth == 0 {
		p.Growth = DefaultGrowth
	}
	if p.InitialUnrated == 0 {
		p.InitialUnrated = DefaultInitialUnrated
	}
	if p.UnratedGrowth == 0 {
		p.UnratedGrowth = DefaultUnratedGrowth
	}
	if p.ObserveTimeout == 0 {
		p.ObserveTimeout = DefaultObserveTimeout
	}
	return p
}

// window returns one host's part of initial + growth*seen, at least 1.
func window(initial, growth float64, seen uint64, hosts int) int {
	all := initial + growth*float64(seen)
	return max(1, int(all/float64(hosts)))
}
