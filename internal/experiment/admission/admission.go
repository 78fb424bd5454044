// Package admission compares the admission scheduler with queues that admit
// every request, in virtual time with seeded workloads, and prints tables in
// Markdown.
package admission

import (
	"io"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// DefaultSeeds is the default of Options.Seeds.
const DefaultSeeds = 10

// Options are the settings of Run.
type Options struct {
	// Seeds is the number of runs for each scenario and policy; 0 means
	// DefaultSeeds.
	Seeds int
}

// Run measures all scenarios and prints their tables to w.
func Run(w io.Writer, options Options) error {
	seeds := options.Seeds
	if seeds <= 0 {
		seeds = DefaultSeeds
	}
	tables := simulate.NewTables(w)
	for _, s := range scenarios() {
		printScenario(tables, s, seeds)
	}
	return tables.Err()
}
