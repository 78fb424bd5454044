// Package admission decides which requests run now, which wait, and which are
// refused at once.
//
// A Queue guards a number of concurrent requests. Classes go in strict order,
// each with a minimum share of capacity; within a class, start-time fair
// queueing divides capacity between client accounts by weight. A request that
// can't meet its deadline is refused as soon as that is known, on arrival or
// while it waits, never held until the deadline has passed.
//
// Scheduler is the decision itself: a state machine without goroutines, locks
// or timers, driven by explicit time. Queue adds the waiting. RetryBudget
// bounds retries to a part of first attempts.
//
// The entry host has a Queue before its upstreams. A Queue knows only what it
// admitted itself: it promises nothing about other hosts' load, and it doesn't
// stop work that has begun.
package admission
