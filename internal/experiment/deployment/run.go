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

// Run runs the experiment and prints all tables in Markdown.
func Run(ctx context.Context, w io.Writer, o Options) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	r := &report{Tables: simulate.NewTables(w), options: o.withDefaults()}
	capacity, err := runCapacity(ctx)
	if err != nil {
		return err
	}
	r.Section("Capacity", fmt.Sprintf("%.0f answers/s of the usual mix (%d callers in turn, one run).", capacity, capacityCallers), loadAverageNote())
	if err := r.measureLoads(ctx, capacity); err != nil {
		return err
	}
	if err := r.measureExposures(ctx); err != nil {
		return err
	}
	return r.Err()
}

func runCapacity(ctx context.Context) (float64, error) {
	s, err := newSystem(ctx, product, nil, 0)
	if err != nil {
		return 0, err
	}
	capacity := s.measureCapacity(ctx)
	return capacity, errors.Join(s.close(), ctx.Err())
}

type report struct {
	*simulate.Tables
	options Options
}

// loadAverageFile holds the load average of the machine.
const loadAverageFile = "/proc/loadavg"

// loadAverageNote returns a paragraph with the machine's load average, without
// which the measured latencies can't be interpreted.
func loadAverageNote() string {
	data, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return "The machine's load is unknown."
	}
	return "The machine's load by now, over 1, 5 and 15 minutes: " + strings.TrimSpace(string(data))
}

func (r *report) measureLoads(ctx context.Context, capacity float64) error {
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
	r.printClassTable(runs)
	r.printTotalTable(runs)
	r.printCostTable(runs[0])
	r.printBillingTable(runs)
	return nil
}

// measureExposures runs all seeds of two cells concurrently, which is possible
// because it measures counts rather than latencies.
func (r *report) measureExposures(ctx context.Context) error {
	r.Section("A version of the small model turns bad in the middle of its roll-out",
		fmt.Sprintf("%d%% of the sessions, %d requests/s, %v good, then bad until all hosts stopped it or for %v.", exposureShare, exposureRate, goodDuration, r.options.Horizon),
		loadAverageNote())
	r.Header(2, "fault", "condition", "answers while good", "answers after", "stopped on all hosts", "after, s", "hosts at the end", "in time %", "lost %")
	for batch := range slices.Chunk(exposureCells, 2) {
		results, err := r.runExposures(ctx, batch)
		if err != nil {
			return err
		}
		for i, c := range batch {
			r.printExposureRow(c, results[i])
		}
	}
	return nil
}

// runExposures returns the results of each cell by seed.
func (r *report) runExposures(ctx context.Context, cells []exposureCell) ([][]exposureResult, error) {
	results := make([][]exposureResult, len(cells))
	var group errgroup.Group
	for i, c := range cells {
		results[i] = make([]exposureResult, r.options.Seeds)
		for seed := range results[i] {
			group.Go(func() (err error) {
				results[i][seed], err = c.run(ctx, r.options, seed)
				return err
			})
		}
	}
	return results, group.Wait()
}

func (r *report) printExposureRow(c exposureCell, results []exposureResult) {
	stopped := 0
	for _, e := range results {
		if e.stopped {
			stopped++
		}
	}
	r.Row(c.fault.name, c.condition.name,
		meanAndRange(results, func(e exposureResult) float64 { return e.before }),
		meanAndRange(results, func(e exposureResult) float64 { return e.after }),
		fmt.Sprintf("%d/%d", stopped, len(results)),
		meanAndRange(results, func(e exposureResult) float64 { return e.stoppedAfter.Seconds() }),
		meanAndRange(results, func(e exposureResult) float64 { return float64(e.stoppedHostCount) }),
		meanAndRange(results, func(e exposureResult) float64 { return e.outcomes.percent(inTime) }),
		meanAndRange(results, func(e exposureResult) float64 { return e.outcomes.percent(lost) }))
}
