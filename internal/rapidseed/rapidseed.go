// Package rapidseed gives the property tests of a package one seed, so that each
// run has the same verdict. Tests import it for that effect alone:
//
//	import _ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
//
// The flag -rapid.seed on the command line goes before it; 0 draws a new seed.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed has no meaning beyond being the same each time.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
