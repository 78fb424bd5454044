// Package lease implements leases on names: each name has at most one holder at
// a time. Leases are rows in the platform's table, and their safety doesn't
// depend on synchronized clocks.
//
// A holder measures its lease from before it sent the renewal, and a contender
// measures from after it read the row and waits longer. A holder that was paused
// finds its lease lapsed when it resumes. Everything that it sent before carries
// a lower fencing number than that of any later holder. Orders handles receivers
// that don't check fencing numbers. docs/design/0009-leases-and-fencing.md
// describes the design and its limits.
//
// The entry host takes leases for orders to engines and for maintenance.
// Receivers that ignore fencing numbers can still execute a late order; the
// lease only lets the next holder override it.
package lease
