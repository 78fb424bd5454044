// Package lease gives a name to one holder at a time, by rows in the
// platform's table, without trusting the clocks of two hosts to agree.
//
// A holder counts its time from before it sent the renewal, a contender counts
// from after it saw the row, and the contender waits longer. A holder that was
// paused finds its lease lapsed when it wakes. Whatever it sent before carries
// a fencing number lower than that of every later holder. Type Orders says how
// receivers that don't check fencing numbers are treated.
// docs/design/0009-leases-and-fencing.md gives the reasons and the limits.
//
// The entry host takes leases for orders to engines and for maintenance.
// Receivers that ignore fencing numbers can still carry out a late order; the
// lease only lets the next holder override it.
package lease
