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
	// Seeds is the number of runs a cell; 0 means DefaultSeeds.
	Seeds int
}

var usualRater = rater{latency: 300 * time.Millisecond}

var settings = []struct {
	name string
	setting
}{
	{"The rater answers in 0.3 s", setting{rater: usualRater, onFailure: manifest.Escalate}},
	{"The cheap model becomes worse halfway", setting{rater: usualRater, onFailure: manifest.Escalate, worseAfter: 0.5}},
	{"The rater is slow (median 3 s, timeout 1.5 s), failure escalates", setting{rater: rater{latency: 3 * time.Second}, onFailure: manifest.Escalate}},
	{"The rater is slow, failure accepts", setting{rater: rater{latency: 3 * time.Second}, onFailure: manifest.Accept}},
	{"The rater is down, failure escalates", setting{rater: rater{latency: time.Second, down: true}, onFailure: manifest.Escalate}},
	{"The rater is down, failure accepts", setting{rater: rater{latency: time.Second, down: true}, onFailure: manifest.Accept}},
	{"The rater goes down halfway, failure escalates", setting{rater: usualRater, onFailure: manifest.Escalate, raterDownAfter: 0.5}},
	{"The rater goes down halfway, failure accepts", setting{rater: usualRater, onFailure: manifest.Accept, raterDownAfter: 0.5}},
	{"The rater rates 0.15 too high", setting{rater: rater{latency: usualRater.latency, bias: 0.15}, onFailure: manifest.Escalate}},
	{"The rater rates 0.15 too low", setting{rater: rater{latency: usualRater.latency, bias: -0.15}, onFailure: manifest.Escalate}},
}

// Run prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	for _, s := range settings {
		if err := table(w, s.name, s.setting, options.Seeds); err != nil {
			return err
		}
	}
	return nil
}

func table(w io.Writer, name string, s setting, seeds int) error {
	_, err := fmt.Fprintf(w, "\n### %s\n\n"+
		"| way | cost of always best | least to most | reach the target | mean quality | seconds, mean | late | ratings a request |\n"+
		"|---|---:|---:|---:|---:|---:|---:|---:|\n", name)
	if err != nil {
		return err
	}
	best := simulate.Seeds(seeds, func(seed int) result { return run(s, fixedAt(len(prices)-1, false), seed) })
	for _, c := range contenders {
		results := simulate.Seeds(seeds, func(seed int) result { return run(s, c.build, seed) })
		if err := row(w, c.name, results, best); err != nil {
			return err
		}
	}
	return nil
}

// row prints the means of a way; costs are relative to always the best model
// on the same requests.
func row(w io.Writer, name string, results, best []result) error {
	var costs []float64
	var sum result
	for i, r := range results {
		costs = append(costs, 100*r.cost/best[i].cost)
		sum.target += r.target
		sum.quality += r.quality
		sum.seconds += r.seconds
		sum.late += r.late
		sum.ratings += r.ratings
	}
	mean := sum.mean(float64(len(results)))
	cost := simulate.Summarize(costs)
	_, err := fmt.Fprintf(w, "| %s | %.1f%% | %.1f to %.1f | %.1f%% | %.3f | %.2f | %.2f%% | %.2f |\n", name,
		cost.Mean, cost.Least, cost.Worst, 100*mean.target, mean.quality, mean.seconds, 100*mean.late, mean.ratings)
	return err
}
