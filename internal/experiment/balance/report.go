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
	// Seeds is the number of runs for each table row; 0 means DefaultSeeds.
	Seeds int
}

// ratePerEngine is the request rate per engine outside the peak, in requests/s.
const ratePerEngine = 3.6

func settingFor(engines int) setting {
	return setting{engineCount: engines, hostCount: 7, rate: ratePerEngine * float64(engines)}
}

// Run runs the experiment and prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	r := &report{Tables: simulate.NewTables(w), seedCount: options.Seeds}
	r.startTable("18 engines, a third of the load")
	lightLoad := settingFor(18)
	lightLoad.rate /= 3
	for _, c := range append(append([]namedPolicy{}, baselines...), fullChain) {
		r.printRow(lightLoad, c)
	}
	for _, engines := range []int{18, 12, 3} {
		r.startTable(fmt.Sprintf("%d engines, all healthy", engines))
		for _, c := range append(append([]namedPolicy{}, baselines...), fullChain) {
			r.printRow(settingFor(engines), c)
		}
	}
	r.startTable("18 engines, parts of the chain")
	for _, c := range chainVariants {
		r.printRow(settingFor(18), c)
	}
	r.faults()
	r.cacheEvents()
	return r.Err()
}

type report struct {
	*simulate.Tables
	seedCount int
}

func (r *report) startTable(title string) {
	r.Section(title, "First token in milliseconds, mean over seeds (least to most).")
	r.Header(1, "policy", "p50", "p95", "p99", "prefix blocks from cache", "failed")
}

func (r *report) faults() {
	for _, f := range []struct {
		name  string
		fault fault
	}{
		{"four times slower", slowed},
		{"reporting no load", reportsNoLoad},
		{"failing every request at once", failing},
	} {
		r.startTable("18 engines, one " + f.name)
		s := settingFor(18)
		s.fault = f.fault
		for _, c := range append(append([]namedPolicy{}, baselines...), chainVariants[0], fullChain) {
			r.printRow(s, c)
		}
	}
}

func (r *report) cacheEvents() {
	r.startTable("18 engines, default chain, cache events")
	for _, e := range []struct {
		name   string
		events events
	}{
		{"none", events{}},
		{"at once", events{enabled: true}},
		{"5 s late", events{enabled: true, delay: 5 * time.Second}},
		{"5 s late, one in five lost", events{enabled: true, delay: 5 * time.Second, lossRate: 0.2}},
	} {
		s := settingFor(18)
		s.events = e.events
		c := fullChain
		c.name = e.name
		r.printRow(s, c)
	}
}

// printRow runs a setting under a policy with all seeds and prints the row.
func (r *report) printRow(s setting, c namedPolicy) {
	results := simulate.RunSeeds(r.seedCount, func(seed int) result { return run(s, c, seed) })
	row := []string{c.name}
	for _, quantile := range []float64{50, 95, 99} {
		row = append(row, simulate.FormatRange(simulate.Values(results, func(r result) float64 {
			return float64(r.firstToken.ValueAtQuantile(quantile)) / 1000
		})))
	}
	hits := simulate.Values(results, func(r result) float64 { return float64(r.cached) / float64(r.blockCount) })
	failed := simulate.Values(results, func(r result) float64 { return float64(r.failed) / float64(r.requestCount) })
	row = append(row,
		fmt.Sprintf("%.0f%%", 100*simulate.Summarize(hits).Mean),
		fmt.Sprintf("%.2f%%", 100*simulate.Summarize(failed).Mean))
	r.Row(row...)
}
