package admission

import "time"

// dispatch starts waiting entries while slots are free.
func (s *Scheduler) dispatch(now time.Duration) {
	for s.running < s.capacity && s.queued > 0 {
		c := s.nextClass()
		e := c.head()
		s.dequeue(e)
		if now > e.latestStart {
			s.refuseWaiting(e, s.unmeetableError(now, e, 0))
			continue
		}
		c.chargeStart(e.flow, e)
		s.start(now, e)
		s.startedOrRefused = append(s.startedOrRefused, e)
	}
}

// nextClass returns the class served next: the highest class with enough credit
// for its first entry, else the highest class with a waiting entry.
func (s *Scheduler) nextClass() *class {
	var highest *class
	for _, c := range s.classes {
		if c.waiting == 0 {
			continue
		}
		if c.minShare > 0 && c.credit >= c.head().estimate {
			return c
		}
		if highest == nil {
			highest = c
		}
	}
	return highest
}

// start assigns a slot to an entry. It credits each class with its minimum share
// of the entry's expected service time, and charges that time to the credit of
// the entry's own class.
func (s *Scheduler) start(now time.Duration, e *Entry) {
	e.state = Running
	e.startedAt = now
	s.running++
	s.runningWork += e.estimate
	s.byExpectedEnd.push(e)
	for _, c := range s.classes {
		c.credit += time.Duration(c.minShare * float64(e.estimate))
		c.credit = min(c.credit, s.maxCredit(c))
	}
	own := e.flow.class
	own.credit = max(0, own.credit-e.estimate)
}

// release frees the slot of a running entry.
func (s *Scheduler) release(e *Entry) {
	s.running--
	s.runningWork -= e.estimate
	s.byExpectedEnd.remove(e)
}

// maxCredit returns the limit of a class's credit: its minimum share of the
// capacity over creditWindow, but enough for at least one entry.
func (s *Scheduler) maxCredit(c *class) time.Duration {
	limit := time.Duration(c.minShare * float64(s.capacity) * float64(creditWindow))
	if c.waiting > 0 {
		limit = max(limit, c.head().estimate)
	}
	return max(limit, s.meanService)
}
