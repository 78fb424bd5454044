// Package cascade measures cost at the quality target and latency of ways to
// run a cascade of a cheap and a dear model, on seeded requests whose true
// quality is known.
package cascade
