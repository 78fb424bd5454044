//go:build race

package e2e

// buildFlags enables the race detector in the binary if the test has it.
var buildFlags = []string{"-race"}

// spareRoutes is the number of routes that a large document has more than the one before. With the
// race detector a host needs several times as long to decode them.
const spareRoutes = 250
