package admission

import "time"

// dispatch runs waiting entries while places are free.
func (s *Scheduler) dispatch(now time.Duration) {
	for s.running < s.capacity && s.queued > 0 {
		c := s.pick()
		e := c.head()
		s.dequeue(e)
		if now > e.latestStart {
			s.settle(e, s.unmeetable(now, e, 0))
			continue
		}
		c.charge(e.flow, e)
		s.run(now, e)
		s.settled = append(s.settled, e)
	}
}

// pick returns the class served next: the highest that has credit for its
// first entry, else the highest that waits.
func (s *Scheduler) pick() *class {
	var highest *class
	for _, c := range s.classes {
		if c.count == 0 {
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

// run gives an entry a place and each class its share of the service time.
func (s *Scheduler) run(now time.Duration, e *Entry) {
	e.state = Running
	e.startedAt = now
	s.running++
	s.runningWork += e.estimate
	s.ends.push(e)
	for _, c := range s.classes {
		c.credit += time.Duration(c.minShare * float64(e.estimate))
		c.credit = min(c.credit, s.maxCredit(c))
	}
	own := e.flow.class
	own.credit = max(0, own.credit-e.estimate)
}

// release takes back the place of a running entry.
func (s *Scheduler) release(e *Entry) {
	s.running--
	s.runningWork -= e.estimate
	s.ends.remove(e)
}

// maxCredit lets a class with a share save up for at least one entry.
func (s *Scheduler) maxCredit(c *class) time.Duration {
	limit := time.Duration(c.minShare * float64(s.capacity) * float64(creditWindow))
	if c.count > 0 {
		limit = max(limit, c.head().estimate)
	}
	return max(limit, s.meanService)
}
