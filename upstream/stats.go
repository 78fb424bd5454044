package upstream

import "sync/atomic"

// EngineStats holds the counters of an EngineClient since its creation.
type EngineStats struct {
	// Duplicates counts frames received more than once; the copies are dropped.
	Duplicates uint64
	// Reordered counts frames received out of order and buffered.
	Reordered uint64
	// Foreign counts frames that were dropped because their id is unreadable or
	// belongs to another request.
	Foreign uint64
	// Resumes counts attempts to resume a stream.
	Resumes uint64
	// Incomplete counts streams that failed before all frames up to the end marker
	// were delivered. Streams that the caller closed earlier aren't counted.
	Incomplete uint64
	// Cancels counts the cancellations that were sent, and CancelsSkipped those that
	// were not sent because MaxCancels others were in flight.
	Cancels        uint64
	CancelsSkipped uint64
}

type engineCounters struct {
	duplicates, reordered, foreign atomic.Uint64
	resumes, incomplete            atomic.Uint64
	cancels, cancelsSkipped        atomic.Uint64
}

// Stats returns the current values of the counters.
func (e *EngineClient) Stats() EngineStats {
	c := &e.counters
	return EngineStats{
		Duplicates:     c.duplicates.Load(),
		Reordered:      c.reordered.Load(),
		Foreign:        c.foreign.Load(),
		Resumes:        c.resumes.Load(),
		Incomplete:     c.incomplete.Load(),
		Cancels:        c.cancels.Load(),
		CancelsSkipped: c.cancelsSkipped.Load(),
	}
}
