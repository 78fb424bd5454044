package history

import (
	"slices"
	"sync"
	"time"
)

// Recorder collects the events of a run. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a Recorder. Event times are relative to this call.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now()}
}

// Add records an event and sets its Seq and At. The time is read from the
// monotonic clock while the lock is held, so it never decreases as Seq grows.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Seq = uint64(len(r.events)) + 1
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events returns the events recorded so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
