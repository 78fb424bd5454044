package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// Faults configures the injected faults; POST /faults replaces them all. The
// zero value is an engine without faults.
type Faults struct {
	// StallMs pauses all work for this long from now on, in milliseconds.
	StallMs int64 `json:"stall_ms,omitempty"`
	// Cut closes connections of completions and resumed streams.
	Cut cut.Plan `json:"cut"`
	// DuplicateEvery sends every n-th frame twice.
	DuplicateEvery int `json:"duplicate_every,omitempty"`
	// ReorderEvery sends every n-th frame after its successor.
	ReorderEvery int `json:"reorder_every,omitempty"`
	// LateEvery delays every n-th frame by LateBy frames.
	LateEvery int `json:"late_every,omitempty"`
	LateBy    int `json:"late_by,omitempty"`
	// CrossEvery sends a frame of another request before every n-th frame.
	CrossEvery int `json:"cross_every,omitempty"`
	// LoseEvery drops every n-th frame, except in resumed streams.
	LoseEvery int `json:"lose_every,omitempty"`
	// Versions holds the faults of single versions, by "model@version".
	Versions map[string]VersionFault `json:"versions,omitempty"`
	// Leaving refuses new requests and sets Leaving in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingHeader sets the leaving header in all answers. The load report and the host list
	// don't contain it, and new requests are served.
	LeavingHeader bool `json:"leaving_header,omitempty"`
	// RejectRetryAfter refuses new requests with this value of Retry-After; empty means that
	// they are served.
	RejectRetryAfter string `json:"reject_retry_after,omitempty"`
}

// VersionFault configures the faults of one version.
type VersionFault struct {
	// ErrorRate is the fraction of requests, from 0 to 1, that fail with status
	// 500 after they have started.
	ErrorRate float64 `json:"error_rate,omitempty"`
	// Slow multiplies the times of prefill and of output tokens; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// Bad puts BadAnswerPrefix in front of each answer.
	Bad bool `json:"bad,omitempty"`
}

type faultState struct {
	mu           sync.Mutex
	faults       Faults
	stalledUntil time.Time
	random       *rand.Rand
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.stalledUntil = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// waitWhileStalled waits until the engine is no longer stalled.
func (s *faultState) waitWhileStalled() {
	for {
		s.mu.Lock()
		remaining := time.Until(s.stalledUntil)
		s.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(min(remaining, stallPollInterval))
	}
}

// stallPollInterval is how often waitWhileStalled checks whether SetFaults has
// ended the stall early.
const stallPollInterval = 20 * time.Millisecond

// drawFailure decides at random, by the version's ErrorRate, whether a request
// fails.
func (s *faultState) drawFailure(modelVersion string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.faults.Versions[modelVersion].ErrorRate
	return rate > 0 && s.random.Float64() < rate
}

func (s *faultState) slowdown(modelVersion string) float64 {
	if f := s.get().Versions[modelVersion].Slow; f > 0 {
		return f
	}
	return 1
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.cutter.Set(f.Cut)
	e.faults.set(f)
	e.recordLoad()
}
