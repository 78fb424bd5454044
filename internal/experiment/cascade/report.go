package cascade

import (
	"fmt"
	"io"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// DefaultSeeds is the default of Options.Seeds.
const DefaultSeeds = 5

// Options are the settings of the experiment.
type Options struct {
	// Seeds is the number of runs for each table row; 0 means DefaultSeeds.
	Seeds int
}

var usualRater = rater{latency: 300 * time.Millisecond}

var settings = []struct {
	name string
	setting
}{
	{"The rater answers in 0.3 s", setting{rater: usualRater, onFailure: manifest.Escalate}},
	{"The cheap model becomes worse halfway", setting{rater: usualRater, onFailure: manifest.Escalate, degradesAfter: 0.5}},
	{"The rater is slow (median 3 s, timeout 1.5 s), failure escalates", setting{rater: rater{latency: 3 * time.Second}, onFailure: manifest.Escalate}},
	{"The rater is slow, failure accepts", setting{rater: rater{latency: 3 * time.Second}, onFailure: manifest.Accept}},
	{"The rater is down, failure escalates", setting{rater: rater{latency: time.Second, down: true}, onFailure: manifest.Escalate}},
	{"The rater is down, failure accepts", setting{rater: rater{latency: time.Second, down: true}, onFailure: manifest.Accept}},
	{"The rater goes down halfway, failure escalates", setting{rater: usualRater, onFailure: manifest.Escalate, raterFailsAfter: 0.5}},
	{"The rater goes down halfway, failure accepts", setting{rater: usualRater, onFailure: manifest.Accept, raterFailsAfter: 0.5}},
	{"The rater rates 0.15 too high", setting{rater: rater{latency: usualRater.latency, bias: 0.15}, onFailure: manifest.Escalate}},
	{"The rater rates 0.15 too low", setting{rater: rater{latency: usualRater.latency, bias: -0.15}, onFailure: manifest.Escalate}},
}

// Run runs the experiment and prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	tables := simulate.NewTables(w)
	for _, s := range settings {
		printTable(tables, s.name, s.setting, options.Seeds)
	}
	return tables.Err()
}

func printTable(t *simulate.Tables, name string, s setting, seeds int) {
	t.Section(name)
	t.Header(1, "way", "cost of always best", "least to most", "reach the target", "mean quality",
		"seconds, mean", "late", "ratings a request")
	best := simulate.RunSeeds(seeds, func(seed int) result { return run(s, startAt(len(prices)-1, false), seed) })
	for _, c := range strategies {
		results := simulate.RunSeeds(seeds, func(seed int) result { return run(s, c.build, seed) })
		t.Row(formatRow(c.name, results, best)...)
	}
}

// formatRow formats the means of a strategy. Costs are relative to those of
// always using the best model for the same requests.
func formatRow(name string, results, best []result) []string {
	var costs []float64
	for i, r := range results {
		costs = append(costs, 100*r.cost/best[i].cost)
	}
	mean := func(value func(result) float64) float64 {
		return simulate.Summarize(simulate.Values(results, value)).Mean
	}
	cost := simulate.Summarize(costs)
	return []string{
		name,
		fmt.Sprintf("%.1f%%", cost.Mean),
		fmt.Sprintf("%.1f to %.1f", cost.Min, cost.Max),
		fmt.Sprintf("%.1f%%", 100*mean(func(r result) float64 { return r.atTarget })),
		fmt.Sprintf("%.3f", mean(func(r result) float64 { return r.quality })),
		fmt.Sprintf("%.2f", mean(func(r result) float64 { return r.latency })),
		fmt.Sprintf("%.2f%%", 100*mean(func(r result) float64 { return r.late })),
		fmt.Sprintf("%.2f", mean(func(r result) float64 { return r.ratings })),
	}
}
