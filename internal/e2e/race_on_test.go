//go:build race

package e2e

// buildFlags enables the race detector in the binary if the test has it.
var buildFlags = []string{"-race"}
