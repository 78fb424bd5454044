package rollout

import (
	"cmp"
	"time"
)

// Defaults of Pacing.
const (
	DefaultInitial        = 8
	DefaultGrowth         = 1
	DefaultInitialUnrated = 32
	DefaultUnratedGrowth  = 6
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
	p.Initial = cmp.Or(p.Initial, DefaultInitial)
	p.Growth = cmp.Or(p.Growth, DefaultGrowth)
	p.InitialUnrated = cmp.Or(p.InitialUnrated, DefaultInitialUnrated)
	p.UnratedGrowth = cmp.Or(p.UnratedGrowth, DefaultUnratedGrowth)
	p.ObserveTimeout = cmp.Or(p.ObserveTimeout, DefaultObserveTimeout)
	return p
}

// window returns one host's part of initial + growth*seen, at least 1.
func window(initial, growth float64, seen uint64, hosts int) int {
	all := initial + growth*float64(seen)
	return max(1, int(all/float64(hosts)))
}
