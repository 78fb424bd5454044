package service

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// Faults are the faults in force; POST /faults replaces them all. The zero
// value is a healthy service.
type Faults struct {
	// StallMs stops all work for this long from now on, SlowMs lengthens each
	// run; both in milliseconds.
	StallMs int64 `json:"stall_ms,omitempty"`
	SlowMs  int64 `json:"slow_ms,omitempty"`
	// Cut breaks connections of calls; its Frames don't count here.
	Cut cut.Plan `json:"cut"`
	// Crossed is how many answers carry another request's id.
	Crossed int `json:"crossed,omitempty"`
	// Status replaces the status of answers; 0 is 200.
	Status int `json:"status,omitempty"`
	// Leaving refuses new work and says so in the load report.
	Leaving bool `json:"leaving,omitempty"`
}

type faultState struct {
	mu      sync.Mutex
	faults  Faults
	stalled time.Time
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// wait takes the time of a run, with a slow or stalled service.
func (s *faultState) wait(run time.Duration) {
	s.mu.Lock()
	slow := time.Duration(s.faults.SlowMs) * time.Millisecond
	stall := max(time.Until(s.stalled), 0)
	s.mu.Unlock()
	time.Sleep(stall + run + slow)
}

func (s *faultState) takeCrossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crossed <= 0 {
		return false
	}
	s.faults.Crossed--
	return true
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.cutter.Set(f.Cut)
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
	s.faults.stalled = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
}
