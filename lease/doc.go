// Package lease implements leases on names: each name has at most one holder at
// a time. Leases are rows in the platform's table, and their safety doesn't
// depend on synchronized clocks.
//
// A holder measures the TTL from before it sends a write of the row, and stops using
// the lease a safety margin before the end of the TTL. A contender measures the whole
// TTL from after it first read that write. The lease has therefore lapsed before
// another host can acquire the name. A holder that was paused for longer than its lease
// finds the lease lapsed when it resumes. Each order that it sent before carries a
// lower fencing number than the orders of all later holders. Orders handles receivers
// that don't check fencing numbers. docs/design/0009-leases-and-fencing.md describes
// the design and its limits.
//
// The entry host acquires leases for orders to engines and for maintenance.
// Receivers that ignore fencing numbers can still execute a late order; the
// lease only lets the next holder replace that order by its own.
package lease
