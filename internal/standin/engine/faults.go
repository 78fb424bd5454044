package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// Faults are the faults in force; POST /faults replaces them all. The zero
// value is a healthy engine.
type Faults struct {
	// StallMs stops all work for this long from now on, in milliseconds.
	StallMs int64 `json:"stall_ms,omitempty"`
	// Cut breaks connections of completions and resumed streams.
	Cut cut.Plan `json:"cut"`
	// DuplicateEvery sends each n-th frame twice.
	DuplicateEvery int `json:"duplicate_every,omitempty"`
	// ReorderEvery sends each n-th frame after its successor.
	ReorderEvery int `json:"reorder_every,omitempty"`
	// LateEvery sends each n-th frame LateBy frames later.
	LateEvery int `json:"late_every,omitempty"`
	LateBy    int `json:"late_by,omitempty"`
	// CrossEvery sends a frame of another request before each n-th frame.
	CrossEvery int `json:"cross_every,omitempty"`
	// LoseEvery leaves each n-th frame out, but not of a resumed stream.
	LoseEvery int `json:"lose_every,omitempty"`
	// Versions are the faults of versions, by "model@version".
	Versions map[string]VersionFault `json:"versions,omitempty"`
	// Leaving refuses new work and says so in the load report.
	Leaving bool `json:"leaving,omitempty"`
}

// VersionFault are the faults of one version.
type VersionFault struct {
	// ErrorRate is the part of requests, from 0 to 1, that end with status 500
	// after they began.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// Slow multiplies the times of prefill and tokens; 0 is 1.
	Slow float64 `json:"slow,omitempty"`
	// Bad marks the answers with BadMark.
	Bad bool `json:"bad,omitempty"`
}

type faultState struct {
	mu      sync.Mutex
	faults  Faults
	stalled time.Time
	random  *rand.Rand
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.stalled = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// waitStall waits until the engine isn't stalled.
func (s *faultState) waitStall() {
	for {
		s.mu.Lock()
		left := time.Until(s.stalled)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, stallPoll))
	}
}

// stallPoll is how soon the lifting of a stall is seen.
const stallPoll = 20 * time.Millisecond

// fails draws whether a request of the version ends with an error.
func (s *faultState) fails(versioned string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.faults.Versions[versioned].ErrorRate
	return rate > 0 && s.random.Float64() < rate
}

func (s *faultState) slow(versioned string) float64 {
	if f := s.get().Versions[versioned].Slow; f > 0 {
		return f
	}
	return 1
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.cutter.Set(f.Cut)
	e.faults.set(f)
	e.recordLoad()
}
