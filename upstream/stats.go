package upstream

import "sync/atomic"

// EngineStats counts what an EngineClient met since it was made.
type EngineStats struct {
	// Duplicates are frames that arrived again; they were dropped.
	Duplicates uint64
	// Reordered are frames that arrived early and were put in order.
	Reordered uint64
	// Crossed are frames of another request, or without a readable id; they
	// were dropped.
	Crossed uint64
	// Resumes are attempts to resume a stream.
	Resumes uint64
	// Incomplete are streams that ended without their end mark.
	Incomplete uint64
	// Cancels are the cancellations that were sent, CancelsSkipped those that
	// were over MaxCancels.
	Cancels        uint64
	CancelsSkipped uint64
}

type engineCounters struct {
	duplicates, reordered, crossed atomic.Uint64
	resumes, incomplete            atomic.Uint64
	cancels, cancelsSkipped        atomic.Uint64
}

// Stats returns the counters.
func (e *EngineClient) Stats() EngineStats {
	c := &e.counters
	return EngineStats{
		Duplicates:     c.duplicates.Load(),
		Reordered:      c.reordered.Load(),
		Crossed:        c.crossed.Load(),
		Resumes:        c.resumes.Load(),
		Incomplete:     c.incomplete.Load(),
		Cancels:        c.cancels.Load(),
		CancelsSkipped: c.cancelsSkipped.Load(),
	}
}
