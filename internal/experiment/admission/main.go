// Command admission measures the admission scheduler against queues without
// admission, in virtual time with seeded workloads, and prints tables in
// Markdown.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	seeds := flag.Int("seeds", 10, "seeds for each cell")
	flag.Parse()
	if *seeds < 1 {
		fmt.Fprintln(os.Stderr, "seeds must be at least 1")
		os.Exit(2)
	}
	for _, s := range scenarios() {
		printScenario(os.Stdout, s, *seeds)
	}
}
