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

// Pacing bounds the answers in flight, because answers in flight can't be
// recalled when the version turns out to be bad. The bounds are for all hosts
// together; each host uses an equal part of them. Zero fields mean the
// defaults.
type Pacing struct {
	// Off disables pacing.
	Off bool
	// Initial is the number of answers that may be in flight at first. Growth
	// is the number by which each good answer increases it.
	Initial float64
	Growth  float64
	// InitialUnrated is the number of answers that may be unrated at first.
	// UnratedGrowth is the number by which each rated answer increases it. Both
	// apply only to rules with a MinRating. If fewer than one answer in
	// UnratedGrowth is rated, the arrival of ratings limits the rate of
	// answers.
	InitialUnrated float64
	UnratedGrowth  float64
	// ObserveTimeout is the time after which an answer that was never observed
	// is no longer counted as in flight.
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

// hostPacingBound returns one host's part of the bound initial + growth*observed,
// at least 1.
func hostPacingBound(initial, growth float64, observed uint64, hosts int) int {
	bound := initial + growth*float64(observed)
	return max(1, int(bound/float64(hosts)))
}
