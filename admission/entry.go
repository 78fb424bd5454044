package admission

import "time"

// State is where an entry stands.
type State int

const (
	// Waiting is in the queue.
	Waiting State = iota
	// Running holds a place of the capacity.
	Running
	// Refused was answered without running.
	Refused
	// Finished gave its place back, or was cancelled.
	Finished
)

// Entry is a request in a Scheduler. The caller sets Ticket and leaves the
// rest to the Scheduler.
type Entry struct {
	Ticket Ticket

	state State
	// err is why the entry was refused.
	err error
	// estimate is the expected service time, corrected at submission.
	estimate time.Duration
	// latestStart is the last time, since the Scheduler's start, at which the
	// deadline can still be met.
	latestStart time.Duration
	// startedAt is when the entry began to run.
	startedAt time.Duration

	flow *flow
	// tag is the virtual start time as last predicted.
	tag float64
	// prev and next link the entries of one level of a flow.
	prev, next *Entry
	level      *level
	// seq numbers the waiting entries in order of arrival.
	seq uint64
	// heapIndex is the place in the expiry heap while the entry waits, and in
	// the heap of expected ends while it runs.
	heapIndex int
	// ready is closed when a waiting entry runs or is refused; used by Queue.
	ready chan struct{}
}

// State returns where the entry stands.
func (e *Entry) State() State { return e.state }

// Err returns why the entry was refused: *UnmeetableError, *FullError or
// ErrUnknownClass.
func (e *Entry) Err() error { return e.err }

// cost is the work charged to the account.
func (e *Entry) cost() float64 {
	if e.Ticket.Cost > 0 {
		return e.Ticket.Cost
	}
	return e.estimate.Seconds()
}

// expectedEnd is when a running entry is expected to give its place back.
func (e *Entry) expectedEnd() time.Duration { return e.startedAt + e.estimate }
