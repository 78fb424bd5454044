package balance

import (
	"fmt"
	"io"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// DefaultSeeds is the default of Options.Seeds.
const DefaultSeeds = 5

// Options are the settings of the experiment.
type Options struct {
	// Seeds is the number of runs a cell; 0 means DefaultSeeds.
	Seeds int
}

// perEngine is the rate for each engine outside the peak, in requests/s.
const perEngine = 3.6

func settingOf(engines int) setting {
	return setting{engines: engines, hosts: 7, rate: perEngine * float64(engines)}
}

// Run prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	r := &report{Tables: simulate.NewTables(w), seeds: options.Seeds}
	r.head("18 engines, a third of the load")
	light := settingOf(18)
	light.rate /= 3
	for _, c := range append(append([]contender{}, baselines...), chain) {
		r.cell(light, c)
	}
	for _, engines := range []int{18, 12, 3} {
		r.head(fmt.Sprintf("%d engines, all healthy", engines))
		for _, c := range append(append([]contender{}, baselines...), chain) {
			r.cell(settingOf(engines), c)
		}
	}
	r.head("18 engines, parts of the chain")
	for _, c := range variants {
		r.cell(settingOf(18), c)
	}
	r.faults()
	r.cacheEvents()
	return r.Err()
}

type report struct {
	*simulate.Tables
	seeds int
}

func (r *report) head(title string) {
	r.Section(title, "First token in milliseconds, mean over seeds (least to most).")
	r.Header(1, "policy", "p50", "p95", "p99", "prefix blocks from cache", "failed")
}

func (r *report) faults() {
	for _, f := range []struct {
		name  string
		fault fault
	}{
		{"four times slower", slow},
		{"reporting no load", lying},
		{"failing every request at once", failing},
	} {
		r.head("18 engines, one " + f.name)
		s := settingOf(18)
		s.fault = f.fault
		for _, c := range append(append([]contender{}, baselines...), variants[0], chain) {
			r.cell(s, c)
		}
	}
}

func (r *report) cacheEvents() {
	r.head("18 engines, default chain, cache events")
	for _, e := range []struct {
		name   string
		events events
	}{
		{"none", events{}},
		{"at once", events{enabled: true}},
		{"5 s late", events{enabled: true, delay: 5 * time.Second}},
		{"5 s late, one in five lost", events{enabled: true, delay: 5 * time.Second, loss: 0.2}},
	} {
		s := settingOf(18)
		s.events = e.events
		c := chain
		c.name = e.name
		r.cell(s, c)
	}
}

// cell runs one cell and prints its row.
func (r *report) cell(s setting, c contender) {
	results := simulate.RunSeeds(r.seeds, func(seed int) result { return run(s, c, seed) })
	row := []string{c.name}
	for _, quantile := range []float64{50, 95, 99} {
		row = append(row, simulate.FormatRange(simulate.Values(results, func(r result) float64 {
			return float64(r.firstToken.ValueAtQuantile(quantile)) / 1000
		})))
	}
	hits := simulate.Values(results, func(r result) float64 { return float64(r.cached) / float64(r.blocks) })
	failed := simulate.Values(results, func(r result) float64 { return float64(r.failed) / float64(r.requests) })
	row = append(row,
		fmt.Sprintf("%.0f%%", 100*simulate.Summarize(hits).Mean),
		fmt.Sprintf("%.2f%%", 100*simulate.Summarize(failed).Mean))
	r.Row(row...)
}
