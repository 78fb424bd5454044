// Package balance measures how policies that choose an upstream affect the time
// to the first token and the hit rate of prefix caches. Traffic is open-loop
// and seeded, engines are simulated with continuous batching and a prefix
// cache, and latency is measured from the intended start of a request.
package balance
