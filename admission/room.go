package admission

import "time"

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// makeRoom drops a waiting entry in favour of a new one when the queue is
// full. A lower class that has more than its minimum share of the queue gives
// way first, else the account of the same class with the largest backlog for
// its weight. It returns false if the new entry is the one to refuse.
func (s *Scheduler) makeRoom(e *Entry) bool {
	victim := s.victim(e)
	if victim == nil {
		return false
	}
	s.dequeue(victim)
	s.settle(victim, &FullError{RetryAfter: s.drainTime()})
	return true
}

func (s *Scheduler) victim(e *Entry) *Entry {
	own := e.flow.class
	for rank := len(s.classes) - 1; rank > own.rank; rank-- {
		c := s.classes[rank]
		if float64(c.count) > c.minShare*float64(s.maxQueue) {
			return c.backlogs.min().tail()
		}
	}
	if own.count == 0 {
		return nil
	}
	largest := own.backlogs.min()
	backlog := (e.flow.work + e.estimate).Seconds() / e.flow.weight
	if largest == e.flow || largest.backlog() <= backlog {
		return nil
	}
	return largest.tail()
}

// drainTime is how long the present queue takes.
func (s *Scheduler) drainTime() time.Duration {
	if s.capacity == 0 {
		return maxRetryAfter
	}
	var work time.Duration
	for _, c := range s.classes {
		work += c.work
	}
	return clampRetry(work / time.Duration(s.capacity))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
