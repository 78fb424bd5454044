package service

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// Faults configures the injected faults; POST /faults replaces them all. The
// zero value is a service without faults.
type Faults struct {
	// StallMs pauses all runs for this long from now on, SlowMs is added to the
	// duration of each run; both are in milliseconds.
	StallMs int64 `json:"stall_ms,omitempty"`
	SlowMs  int64 `json:"slow_ms,omitempty"`
	// Cut closes connections of requests. Its field Frames is ignored.
	Cut cut.Plan `json:"cut"`
	// Crossed is how many of the next responses have the ID of another request.
	Crossed int `json:"crossed,omitempty"`
	// Status is the HTTP status of responses; 0 means 200.
	Status int `json:"status,omitempty"`
	// Leaving refuses new requests and sets Leaving in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingHeader sets the leaving header in all answers. The load report and the host list
	// don't contain it, and new requests are served.
	LeavingHeader bool `json:"leaving_header,omitempty"`
	// RejectRetryAfter refuses new requests with this value of Retry-After; empty means that
	// they are served.
	RejectRetryAfter string `json:"reject_retry_after,omitempty"`
}

type faultState struct {
	mu           sync.Mutex
	faults       Faults
	stalledUntil time.Time
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// simulateRun sleeps for the duration of a run, the rest of a stall and SlowMs.
func (s *faultState) simulateRun(run time.Duration) {
	s.mu.Lock()
	slow := time.Duration(s.faults.SlowMs) * time.Millisecond
	stall := max(time.Until(s.stalledUntil), 0)
	s.mu.Unlock()
	time.Sleep(stall + run + slow)
}

func (s *faultState) consumeCrossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crossed <= 0 {
		return false
	}
	s.faults.Crossed--
	return true
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) {
	s.cutter.Set(f.Cut)
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
	s.faults.stalledUntil = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
}
