// Package placement decides which of several model engines is to read a prompt, by the
// time that passes until its first event.
//
// An engine reads one prompt after the other, the more urgent first, and keeps what it
// read while it has memory. So the time is the work ahead of the prompt, the reading of
// what the engine doesn't keep, and the way there: one measure for load, for affinity and
// for availability zones. What models take for a token isn't told; Rates learns it from
// answers. What engines keep isn't told either; Kept remembers what they were sent.
//
// The load patterns that it answers: prompts that share long parts (each part is read by
// few engines, so that the rest of their time is for what is new), a popular part (its
// requests spread once waiting for the one engine costs more than reading again), long
// prompts among short ones (work is counted in time, not in requests), a crash or a
// roll-out that leaves engines which keep nothing, and hosts that choose at the same
// moment (they prefer the same engine for the same part without talking).
//
// Nothing here reads a clock, a setting or a connection. Values are safe for one goroutine
// at a time, Rates for several.
package placement
