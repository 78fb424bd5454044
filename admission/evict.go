package admission

import "time"

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// evictFor refuses a waiting entry in favour of the new entry e when the queue is
// full. Of the classes below that of e, it chooses the lowest one that has more
// than its minimum share of the queue, and if there is none, the class of e. In
// that class it refuses the last entry of the account with the largest weighted
// backlog. It returns false if e is the entry to refuse.
func (s *Scheduler) evictFor(e *Entry) bool {
	evicted := s.evictionCandidate(e)
	if evicted == nil {
		return false
	}
	s.dequeue(evicted)
	s.refuseWaiting(evicted, &FullError{RetryAfter: s.drainTime()})
	return true
}

func (s *Scheduler) evictionCandidate(e *Entry) *Entry {
	own := e.flow.class
	for rank := len(s.classes) - 1; rank > own.rank; rank-- {
		c := s.classes[rank]
		if float64(c.waiting) > c.minShare*float64(s.maxQueue) {
			return c.backlogOrder.min().tail()
		}
	}
	if own.waiting == 0 {
		return nil
	}
	largest := own.backlogOrder.min()
	backlog := (e.flow.waitingWork + e.estimate).Seconds() / e.flow.weight
	if largest == e.flow || largest.weightedBacklog() <= backlog {
		return nil
	}
	return largest.tail()
}

// drainTime returns the time in which the current queue is expected to drain, as
// a retry-after within its bounds.
func (s *Scheduler) drainTime() time.Duration {
	if s.capacity == 0 {
		return maxRetryAfter
	}
	var work time.Duration
	for _, c := range s.classes {
		work += c.waitingWork
	}
	return clampRetryAfter(work / time.Duration(s.capacity))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
