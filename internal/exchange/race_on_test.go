//go:build race

package exchange

// raceEnabled reports whether the tests run under the race detector.
const raceEnabled = true
