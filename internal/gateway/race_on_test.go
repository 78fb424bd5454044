//go:build race

package gateway

// raceEnabled is true if the race detector is enabled.
const raceEnabled = true
