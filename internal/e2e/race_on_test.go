//go:build race

package e2e

// buildFlags builds the processes with the race detector, as the test is.
var buildFlags = []string{"-race"}
