// Package runstate tracks whether a request may have had an effect on an
// upstream. The state never decreases, so an error response derived from it never
// understates what happened.
//
// The packages that send requests to upstreams raise the state, and hosts read it
// for error responses and bills. The state MayHaveRun leaves open whether the request
// ran.
package runstate

import "sync/atomic"

// State states how far a request may have progressed on any upstream.
type State uint32

const (
	// NotRun means that no byte of the request was passed to a connection.
	NotRun State = iota
	// MayHaveRun means that at least one byte of the request may have been
	// written to a connection, and that no response shows that the request ran.
	MayHaveRun
	// Ran means that an upstream responded to the request, in whole or in part,
	// and didn't refuse it.
	Ran
)

// String returns the wire form of the state, as used in headers and logs.
func (s State) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "ran"
	}
}

// Tracker holds the state of one request across all its attempts. The zero
// value is NotRun. It is safe for concurrent use.
type Tracker struct {
	state atomic.Uint32
}

// Raise raises the state to s. A lower state is ignored: an attempt that failed
// before its first byte doesn't undo the write of an earlier attempt.
func (t *Tracker) Raise(s State) {
	for {
		current := t.state.Load()
		if uint32(s) <= current {
			return
		}
		if t.state.CompareAndSwap(current, uint32(s)) {
			return
		}
	}
}

// State returns the highest state reached.
func (t *Tracker) State() State {
	return State(t.state.Load())
}
