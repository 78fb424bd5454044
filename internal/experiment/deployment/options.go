package deployment

import "time"

// Defaults of Options.
const (
	DefaultSeeds    = 3
	DefaultCellTime = 2 * time.Second
	DefaultHorizon  = 10 * time.Second
)

// Options are the settings of Run.
type Options struct {
	// Seeds is the number of runs for each cell; 0 means DefaultSeeds.
	Seeds int
	// CellTime is the period in which the requests of a load cell start; 0
	// means DefaultCellTime.
	CellTime time.Duration
	// Horizon is the longest time to wait until all hosts have stopped a bad
	// version; 0 means DefaultHorizon.
	Horizon time.Duration
}

func (o Options) withDefaults() Options {
	if o.Seeds <= 0 {
		o.Seeds = DefaultSeeds
	}
	if o.CellTime <= 0 {
		o.CellTime = DefaultCellTime
	}
	if o.Horizon <= 0 {
		o.Horizon = DefaultHorizon
	}
	return o
}
