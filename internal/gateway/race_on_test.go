//go:build race

package gateway

// underRace says that the race detector watches.
const underRace = true
