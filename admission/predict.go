package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// estimate returns the expected service time of a ticket.
func (s *Scheduler) estimate(t Ticket) time.Duration {
	if t.Estimate <= 0 {
		return s.meanService
	}
	return time.Duration(float64(t.Estimate) * s.correction)
}

// latestStart returns the latest time at which an entry can start and still meet
// its deadline.
func (s *Scheduler) latestStart(e *Entry) time.Duration {
	if e.Ticket.Deadline.IsZero() {
		return unbounded
	}
	return e.Ticket.Deadline.Sub(s.epoch) - e.estimate
}

// updateEstimates updates the mean service time and the correction of estimates
// with an actual service time.
func (s *Scheduler) updateEstimates(actual, estimate time.Duration) {
	s.meanService += time.Duration(sampleWeight * float64(actual-s.meanService))
	if estimate <= 0 {
		return
	}
	ratio := float64(actual) / float64(estimate)
	ratio = min(max(ratio, minCorrection), maxCorrection)
	s.correction += sampleWeight * (ratio - s.correction)
}

// workAhead returns the expected service time of the entries of the flow's class
// that fair queueing serves before a new entry of the flow: the flow's own waiting
// work, and that of the other flows in proportion to their weights.
func (s *Scheduler) workAhead(f *flow) time.Duration {
	c := f.class
	if f.waiting == 0 {
		return 0
	}
	fairWork := time.Duration(float64(f.waitingWork) * c.backloggedWeight / f.weight)
	return min(fairWork, c.waitingWork)
}

// forecast holds the quantities from which the waits of a class's entries are
// predicted at one time.
type forecast struct {
	// higherWork is the waiting work of higher classes.
	higherWork time.Duration
	// slots is the part of the capacity, in slots, that is left for the class
	// after the expected arrivals of higher classes and the minimum shares of
	// lower classes.
	slots float64
	// minShareSlots is the class's minimum share of the capacity, in slots.
	minShareSlots float64
	// credit is the unused service time from the minimum share.
	credit time.Duration
	// untilSlotFree is the expected time until a slot becomes free.
	untilSlotFree time.Duration
}

func (s *Scheduler) forecast(now time.Duration, c *class) forecast {
	result := forecast{
		slots:         float64(s.capacity),
		minShareSlots: c.minShare * float64(s.capacity),
		credit:        c.credit,
		untilSlotFree: s.untilSlotFree(now),
	}
	for _, other := range s.classes {
		switch {
		case other.rank < c.rank:
			result.higherWork += other.waitingWork
			result.slots -= other.arrivalRate.valueAt(now)
		case other.rank > c.rank && other.waiting > 0:
			result.slots -= other.minShare * float64(s.capacity)
		}
	}
	return result
}

// wait returns the expected wait of an entry, given the expected service time of
// the entries of its class that are served before it. It is the shorter of two
// waits: the wait in strict order, after all higher classes, and the wait if the
// class gets only its minimum share. It is unbounded if both are.
func (f forecast) wait(workAhead, estimate time.Duration) time.Duration {
	inStrictOrder := timeToServe(f.higherWork+workAhead, f.slots)
	byMinShare := timeToServe(max(0, workAhead+estimate-f.credit), f.minShareSlots)
	wait := min(inStrictOrder, byMinShare)
	if wait == unbounded {
		return unbounded
	}
	return wait + f.untilSlotFree
}

// predictWait returns the expected wait of a new entry.
func (s *Scheduler) predictWait(now time.Duration, f *flow, estimate time.Duration) time.Duration {
	if s.running < s.capacity && s.queued == 0 {
		return 0
	}
	return s.forecast(now, f.class).wait(s.workAhead(f), estimate)
}

// untilSlotFree returns the expected time until a slot becomes free: the time until
// the first expected end of a running entry, but at most the interval at which the
// running entries would end if their ends were evenly spread, since any of them
// may end early.
func (s *Scheduler) untilSlotFree(now time.Duration) time.Duration {
	if s.running < s.capacity || s.running == 0 {
		return 0
	}
	untilFirstEnd := max(0, s.byExpectedEnd.min().expectedEnd()-now)
	evenlySpread := s.runningWork / time.Duration(s.running) / time.Duration(s.running)
	return min(untilFirstEnd, evenlySpread)
}

func timeToServe(work time.Duration, slots float64) time.Duration {
	if slots <= 0 {
		return unbounded
	}
	wait := float64(work) / slots
	if wait >= math.MaxInt64/4 {
		return unbounded
	}
	return time.Duration(wait)
}

// missesDeadline reports whether the entry misses its deadline if it starts after
// wait.
func (e *Entry) missesDeadline(now, wait time.Duration) bool {
	if e.latestStart == unbounded {
		return false
	}
	return wait == unbounded || now+wait > e.latestStart
}

// unmeetableError returns the error for refusing an entry whose predicted wait is
// wait.
func (s *Scheduler) unmeetableError(now time.Duration, e *Entry, wait time.Duration) error {
	untilDeadline := e.Ticket.Deadline.Sub(s.epoch) - now
	if wait == unbounded {
		return &UnmeetableError{RetryAfter: maxRetryAfter}
	}
	if s.running < s.capacity && s.queued == 0 && e.estimate > untilDeadline {
		return &UnmeetableError{}
	}
	return &UnmeetableError{RetryAfter: clampRetryAfter(wait + e.estimate - untilDeadline)}
}

// recheck predicts the wait of each waiting entry again, in service order, and
// refuses those that can't meet their deadlines. A refused entry no longer
// delays those after it.
func (s *Scheduler) recheck(now time.Duration) {
	s.recheckAt = now + recheckInterval
	for _, c := range s.classes {
		if c.waiting == 0 {
			continue
		}
		var workAhead time.Duration
		classForecast := s.forecast(now, c)
		for _, e := range s.inServiceOrder(c) {
			wait := classForecast.wait(workAhead, e.estimate)
			if e.missesDeadline(now, wait) {
				s.dequeue(e)
				s.refuseWaiting(e, s.unmeetableError(now, e, wait))
				continue
			}
			workAhead += e.estimate
		}
	}
	clear(s.serviceOrder[:cap(s.serviceOrder)])
}

// inServiceOrder returns a class's waiting entries in service order. The slice is
// valid until the next call.
func (s *Scheduler) inServiceOrder(c *class) []*Entry {
	s.serviceOrder = s.serviceOrder[:0]
	for _, f := range c.startOrder.items {
		predictedStart := f.virtualStart
		for _, l := range f.levels {
			for e := l.first; e != nil; e = e.next {
				e.predictedStart = predictedStart
				predictedStart += e.cost() / f.weight
				s.serviceOrder = append(s.serviceOrder, e)
			}
		}
	}
	slices.SortFunc(s.serviceOrder, func(a, b *Entry) int {
		switch {
		case a.predictedStart < b.predictedStart:
			return -1
		case a.predictedStart > b.predictedStart:
			return 1
		}
		return cmp.Compare(a.arrivalNumber, b.arrivalNumber)
	})
	return s.serviceOrder
}
