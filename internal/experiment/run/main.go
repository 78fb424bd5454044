// Command run prints the tables of an experiment in Markdown.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/quetzalweir/quetzalweir/internal/experiment/balance"
	"github.com/quetzalweir/quetzalweir/internal/experiment/cascade"
	"github.com/quetzalweir/quetzalweir/internal/experiment/rollout"
)

func main() {
	seeds := flag.Int("seeds", 0, "runs for each cell; 0 means the experiment's default")
	flag.Parse()
	if err := run(os.Stdout, flag.Arg(0), *seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(w io.Writer, name string, seeds int) error {
	switch name {
	case "balance":
		return balance.Run(w, balance.Options{Seeds: seeds})
	case "cascade":
		return cascade.Run(w, cascade.Options{Seeds: seeds})
	case "rollout":
		return rollout.Run(w, rollout.Options{Seeds: seeds})
	default:
		return fmt.Errorf("no experiment %q; there are balance, cascade and rollout", name)
	}
}
