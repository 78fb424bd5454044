package plannedstop

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// requestTime estimates the time from the first attempt of a request to the end of its answer.
type requestTime struct {
	mu       sync.Mutex
	estimate admission.DurationEstimate
}

// usual returns the time in which nearly all requests end; 0 if it isn't known.
func (t *requestTime) usual() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate.UsualTime()
}

// ObserveRequest records the time of a request that was answered. kind names requests that take similar times.
func (s *Stop) ObserveRequest(kind string, took time.Duration) {
	t := s.requestTime(kind)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate.Add(took)
}

func (s *Stop) requestTime(kind string) *requestTime {
	if t, ok := s.requestTimes.Load(kind); ok {
		return t.(*requestTime)
	}
	t, _ := s.requestTimes.LoadOrStore(kind, new(requestTime))
	return t.(*requestTime)
}
