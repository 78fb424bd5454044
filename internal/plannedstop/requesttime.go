package plannedstop

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// RequestTime estimates the time from the first attempt of a request to the end of its answer. It is safe for concurrent
// use.
type RequestTime struct {
	mu       sync.Mutex
	estimate admission.DurationEstimate
}

// Add adds the time of a request that was answered.
func (t *RequestTime) Add(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate.Add(took)
}

// Usual returns the time in which nearly all requests end; 0 if it isn't known.
func (t *RequestTime) Usual() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate.UsualTime()
}
