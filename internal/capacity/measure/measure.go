package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
)

// Command is what reruns all measurements.
const Command = "quetzalweir capacity --measure"

// ErrMeasure means that a measurement failed.
var ErrMeasure = errors.New("measure")

// run collects the slopes.
type run struct {
	ctx   context.Context
	quick bool
	list  []capacity.Slope
}

// group is measurements that share what they set up.
type group struct {
	name string
	f    func(*run) error
}

// The idle host comes first, so that its heap is that of nothing else.
var groups = []group{
	{"idle host", (*run).idleHost},
	{"platform", (*run).platform},
	{"upstreams", (*run).upstreams},
	{"peers", (*run).peers},
	{"membership", (*run).membership},
	{"manifest", (*run).manifest},
	{"quotas", (*run).quotas},
	{"evidence", (*run).evidence},
	{"bills", (*run).bills},
	{"claims", (*run).claims},
	{"sessions", (*run).sessions},
	{"admission", (*run).admission},
	{"requests", (*run).requests},
}

// Options say what is measured.
type Options struct {
	// Quick measures with few repetitions, for tests of the measurements.
	Quick bool
	// Revision is stated in the result.
	Revision string
	// Progress is told the name of each group of measurements; nil is none.
	Progress func(name string)
}

// Run measures all slopes.
func Run(ctx context.Context, o Options) (*capacity.Slopes, error) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	r := &run{ctx: ctx, quick: o.Quick}
	slopes := &capacity.Slopes{
		Date:       time.Now().UTC().Format(time.RFC3339),
		Machine:    machine(),
		Go:         runtime.Version(),
		Revision:   o.Revision,
		LoadBefore: loadAverage(),
	}
	for _, g := range groups {
		if o.Progress != nil {
			o.Progress(g.name)
		}
		if err := g.f(r); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrMeasure, g.name, err)
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMeasure, err)
		}
	}
	slopes.LoadAfter = loadAverage()
	slopes.List = r.list
	return slopes, nil
}

// times returns n, or few for a quick run.
func (r *run) times(n int) int {
	if r.quick {
		return max(1, n/50)
	}
	return n
}

// line adds a slope fitted to points.
func (r *run) line(id capacity.ID, unit, varied, note string, points ...capacity.Point) {
	base, rise, deviation := capacity.Fit(points)
	r.list = append(r.list, capacity.Slope{
		ID:        id,
		Unit:      unit,
		Varied:    varied,
		Base:      base,
		Rise:      rise,
		Points:    points,
		Deviation: deviation,
		Command:   Command,
		Note:      note,
	})
}

// constant adds a slope that was measured at one point.
func (r *run) constant(id capacity.ID, unit, note string, value float64) {
	r.line(id, unit, "", note, capacity.Point{Y: value})
}

// The units.
const (
	unitBytes = "B"
	unitCPU   = "µs"
	unitCalls = "calls"
	unitRate  = "B/s"
)

// cpuPer returns the processor time of one call of f in microseconds: the
// median of several runs of n calls, so that a run that others disturbed
// doesn't count.
func (r *run) cpuPer(n int, f func() error) (float64, error) {
	const runs = 5
	n = r.times(n)
	var costs []float64
	for range runs {
		runtime.GC()
		before := processorTime()
		for range n {
			if err := f(); err != nil {
				return 0, err
			}
		}
		costs = append(costs, (processorTime()-before).Seconds()*1e6/float64(n))
	}
	slices.Sort(costs)
	return costs[runs/2], nil
}

// heapOf returns how much the heap grew by what f returns.
func heapOf(f func() any) float64 {
	before := heap()
	kept := f()
	grown := heap() - before
	runtime.KeepAlive(kept)
	return grown
}

// heap is the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapAndStacks counts the stacks in use as well.
func heapAndStacks() float64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// loadAverage is the first number of /proc/loadavg, 0 where there is none.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	if _, err := fmt.Sscan(string(bytes.TrimSpace(data)), &load); err != nil {
		return 0
	}
	return load
}

// machine describes the processor without naming the host.
func machine() string {
	return fmt.Sprintf("%s/%s, %d threads", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}
