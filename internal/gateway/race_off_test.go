//go:build !race

package gateway

// underRace is true if the race detector is enabled.
const underRace = false
