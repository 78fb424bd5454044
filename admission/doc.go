// Package admission decides which requests run now, which wait, and which are
// refused immediately.
//
// A Queue limits the number of concurrent requests. Priority classes are served
// in strict order, each with a minimum share of the capacity; within a class,
// start-time fair queueing divides the capacity between client accounts by
// weight. A request that can't meet its deadline is refused as soon as that is
// predicted, on arrival or while it waits, rather than when the deadline has
// passed.
//
// Scheduler implements the decisions as a state machine without goroutines,
// locks or timers; the caller passes the time. Queue adds blocking callers and a
// timer. RetryBudget limits retries to a ratio of first attempts.
//
// HoldQueue decides for hosts that share upstreams without dividing their slots:
// by the expected time to the first event it sends a request, keeps it for a part
// of its target, or rejects it.
//
// On the entry host, requests pass a Queue before they are sent to upstreams. A
// Queue counts only the requests that it admitted itself, so it can't limit the
// load from other hosts. It doesn't cancel running requests.
package admission
