package balance

import (
	"cmp"
	"slices"
	"time"
)

// DefaultMaxLoad is the default of CapacityFilter.MaxLoad.
const DefaultMaxLoad = 2.0

// CapacityFilter drops upstreams with long queues. If it would drop all of
// them it drops none: the scorers then prefer the least loaded upstream. Refusing
// requests under overload is the task of the host's admission queue.
type CapacityFilter struct {
	// MaxLoad is the load, in multiples of the capacity, from which an upstream
	// is dropped; 0 means DefaultMaxLoad.
	MaxLoad float64
}

// Name implements Filter.
func (CapacityFilter) Name() string { return "capacity" }

// Filter implements Filter.
func (f CapacityFilter) Filter(_ *Request, list []*Upstream, _ time.Time) []*Upstream {
	limit := cmp.Or(f.MaxLoad, DefaultMaxLoad)
	full := func(u *Upstream) bool { return relativeLoad(u) >= limit }
	if !slices.ContainsFunc(list, func(u *Upstream) bool { return !full(u) }) {
		return list
	}
	return slices.DeleteFunc(list, full)
}
