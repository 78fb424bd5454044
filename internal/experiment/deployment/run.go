package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// Run measures everything and prints it in Markdown.
func Run(ctx context.Context, w io.Writer, o Options) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	r := &report{Tables: simulate.NewTables(w), options: o.withDefaults()}
	capacity, err := measureCapacity(ctx)
	if err != nil {
		return err
	}
	r.Section("Capacity", fmt.Sprintf("%.0f answers/s of the usual mix (%d callers in turn, one run).", capacity, capacityCallers), machineLoad())
	if err := r.loads(ctx, capacity); err != nil {
		return err
	}
	if err := r.exposures(ctx); err != nil {
		return err
	}
	return r.Err()
}

func measureCapacity(ctx context.Context) (float64, error) {
	s, err := newSystem(ctx, product, nil, 0)
	if err != nil {
		return 0, err
	}
	capacity := s.capacity(ctx)
	return capacity, errors.Join(s.close(), ctx.Err())
}

type report struct {
	*simulate.Tables
	options Options
}

// loadFile holds the machine's load.
const loadFile = "/proc/loadavg"

// machineLoad tells the machine's load, under which latencies are to be read.
func machineLoad() string {
	data, err := os.ReadFile(loadFile)
	if err != nil {
		return "The machine's load is unknown."
	}
	return "The machine's load by now, over 1, 5 and 15 minutes: " + strings.TrimSpace(string(data))
}

func (r *report) loads(ctx context.Context, capacity float64) error {
	runs := make([][]loadRun, len(policies))
	for seed := range r.options.Seeds {
		for i, p := range policies {
			run, err := runLoads(ctx, r.options, p, capacity, seed)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", p.name, seed, err)
			}
			runs[i] = append(runs[i], run)
		}
	}
	r.classTable(runs)
	r.totalTable(runs)
	r.costTable(runs[0])
	r.bookTable(runs)
	return nil
}

// exposures runs the seeds of two cells at once: counts are measured, not
// latencies.
func (r *report) exposures(ctx context.Context) error {
	r.Section("A version of the small model turns bad in the middle of its roll-out",
		fmt.Sprintf("%d%% of the sessions, %d requests/s, %v good, then bad until all hosts stopped it or for %v.", exposureShare, exposureRate, goodTime, r.options.Horizon),
		machineLoad())
	r.Header(2, "fault", "condition", "answers while good", "answers after", "stopped on all hosts", "after, s", "hosts at the end", "in time %", "lost %")
	for pair := range slices.Chunk(exposureCells, 2) {
		results, err := r.runExposures(ctx, pair)
		if err != nil {
			return err
		}
		for i, c := range pair {
			r.exposureRow(c, results[i])
		}
	}
	return nil
}

// runExposures returns the runs of each cell.
func (r *report) runExposures(ctx context.Context, cells []exposureCell) ([][]exposed, error) {
	results := make([][]exposed, len(cells))
	var group errgroup.Group
	for i, c := range cells {
		results[i] = make([]exposed, r.options.Seeds)
		for seed := range results[i] {
			group.Go(func() (err error) {
				results[i][seed], err = c.run(ctx, r.options, seed)
				return err
			})
		}
	}
	return results, group.Wait()
}

func (r *report) exposureRow(c exposureCell, results []exposed) {
	stopped := 0
	for _, e := range results {
		if e.stopped {
			stopped++
		}
	}
	r.Row(c.fault.name, c.condition.name,
		over(results, func(e exposed) float64 { return e.before }),
		over(results, func(e exposed) float64 { return e.after }),
		fmt.Sprintf("%d/%d", stopped, len(results)),
		over(results, func(e exposed) float64 { return e.stoppedAfter.Seconds() }),
		over(results, func(e exposed) float64 { return float64(e.hosts) }),
		over(results, func(e exposed) float64 { return e.all.part(answered) }),
		over(results, func(e exposed) float64 { return e.all.part(lost) }))
}
