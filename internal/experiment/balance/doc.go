// Package balance measures how policies that choose an upstream affect the
// time to the first token and the use of prefix caches. Traffic is open-loop
// and seeded, engines are models with continuous batching and a prefix cache,
// and latency counts from the intended start of a request.
package balance
