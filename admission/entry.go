package admission

import "time"

// State is the state of an entry.
type State int

const (
	// Waiting means that the entry is in the queue.
	Waiting State = iota
	// Running means that the entry holds a slot.
	Running
	// Refused means that the entry was refused without running.
	Refused
	// Finished means that the entry released its slot or was cancelled.
	Finished
)

// Entry is a request in a Scheduler. The caller sets Ticket; the Scheduler sets
// the other fields.
type Entry struct {
	Ticket Ticket

	state State
	// err is the reason for which the entry was refused.
	err error
	// estimate is the expected service time, corrected at submission.
	estimate time.Duration
	// latestStart is the latest time, since the Scheduler's epoch, at which the
	// entry can start and still meet its deadline.
	latestStart time.Duration
	// startedAt is when the entry started to run, since the Scheduler's epoch.
	startedAt time.Duration

	flow *flow
	// predictedStart is the virtual start time as last predicted by
	// inServiceOrder.
	predictedStart float64
	// prev and next link the entries of one level of a flow.
	prev, next *Entry
	level      *level
	// arrivalNumber numbers the waiting entries in order of arrival.
	arrivalNumber uint64
	// heapIndex is the index in the heap by latest start while the entry waits,
	// and in the heap by expected end while it runs.
	heapIndex int
	// ready is closed when a waiting entry starts or is refused; it is used only
	// by Queue.
	ready chan struct{}
}

// State returns the state of the entry.
func (e *Entry) State() State { return e.state }

// Err returns the reason for which the entry was refused: *UnmeetableError,
// *FullError or ErrUnknownClass. It returns nil if it wasn't refused.
func (e *Entry) Err() error { return e.err }

// cost returns the work that fair queueing charges to the account.
func (e *Entry) cost() float64 {
	if e.Ticket.Cost > 0 {
		return e.Ticket.Cost
	}
	return e.estimate.Seconds()
}

// expectedEnd returns when a running entry is expected to release its slot.
func (e *Entry) expectedEnd() time.Duration { return e.startedAt + e.estimate }
