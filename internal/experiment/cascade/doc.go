// Package cascade measures the cost at the quality target and the latency of
// strategies for a cascade of a cheap and an expensive model, on seeded
// requests whose true answer quality is known.
package cascade
