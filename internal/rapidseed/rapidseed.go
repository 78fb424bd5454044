// Package rapidseed sets a fixed seed for the property tests of a package, so that
// every run has the same result. Tests import it for this side effect only:
//
//	import _ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
//
// The flag -rapid.seed on the command line overrides it; 0 selects a random seed.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is arbitrary, but must be the same in each run.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
