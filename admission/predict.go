package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// estimate is the expected service time of a ticket.
func (s *Scheduler) estimate(t Ticket) time.Duration {
	if t.Estimate <= 0 {
		return s.meanService
	}
	return time.Duration(float64(t.Estimate) * s.correction)
}

// latestStart is the last moment at which the deadline can be met.
func (s *Scheduler) latestStart(e *Entry) time.Duration {
	if e.Ticket.Deadline.IsZero() {
		return never
	}
	return e.Ticket.Deadline.Sub(s.epoch) - e.estimate
}

// learn corrects the estimates by an actual service time.
func (s *Scheduler) learn(actual, estimate time.Duration) {
	s.meanService += time.Duration(meanWeight * float64(actual-s.meanService))
	if estimate <= 0 {
		return
	}
	ratio := float64(actual) / float64(estimate)
	ratio = min(max(ratio, minCorrection), maxCorrection)
	s.correction += meanWeight * (ratio - s.correction)
}

// workAhead is the service time of the class that fair queueing puts before a
// new entry of the flow: the flow's own work, and in the same proportion that
// of the other flows.
func (s *Scheduler) workAhead(f *flow) time.Duration {
	c := f.class
	if f.count == 0 {
		return 0
	}
	fair := time.Duration(float64(f.work) * c.weight / f.weight)
	return min(fair, c.work)
}

// outlook is what a class can expect of the capacity at one time.
type outlook struct {
	// higher is the waiting work of higher classes.
	higher time.Duration
	// slots is the capacity left beside the higher classes' coming work and
	// the lower classes' minimum shares.
	slots float64
	// shareSlots is the class's minimum share of the capacity.
	shareSlots float64
	// credit is the unused minimum share.
	credit time.Duration
	// firstFree is the expected time until a place becomes free.
	firstFree time.Duration
}

func (s *Scheduler) outlook(now time.Duration, c *class) outlook {
	o := outlook{
		slots:      float64(s.capacity),
		shareSlots: c.minShare * float64(s.capacity),
		credit:     c.credit,
		firstFree:  s.untilFirstFree(now),
	}
	for _, other := range s.classes {
		switch {
		case other.rank < c.rank:
			o.higher += other.work
			o.slots -= other.arrivals.read(now)
		case other.rank > c.rank && other.count > 0:
			o.slots -= other.minShare * float64(s.capacity)
		}
	}
	return o
}

// wait is the expected wait of an entry with the given work of its own class
// ahead. It is the shorter of two ways: in strict order, after the higher
// classes; or by the class's minimum share. It returns never if neither comes
// to an end.
func (o outlook) wait(ahead, estimate time.Duration) time.Duration {
	strict := divide(o.higher+ahead, o.slots)
	share := divide(max(0, ahead+estimate-o.credit), o.shareSlots)
	wait := min(strict, share)
	if wait == never {
		return never
	}
	return wait + o.firstFree
}

// predict is the expected wait of a new entry.
func (s *Scheduler) predict(now time.Duration, f *flow, estimate time.Duration) time.Duration {
	if s.running < s.capacity && s.queued == 0 {
		return 0
	}
	return s.outlook(now, f.class).wait(s.workAhead(f), estimate)
}

// untilFirstFree is the expected time until a place becomes free: until the
// first expected end, but no more than with ends spread evenly, since several
// running entries may each end early.
func (s *Scheduler) untilFirstFree(now time.Duration) time.Duration {
	if s.running < s.capacity || s.running == 0 {
		return 0
	}
	first := max(0, s.ends.min().expectedEnd()-now)
	spread := s.runningWork / time.Duration(s.running) / time.Duration(s.running)
	return min(first, spread)
}

func divide(work time.Duration, slots float64) time.Duration {
	if slots <= 0 {
		return never
	}
	wait := float64(work) / slots
	if wait >= math.MaxInt64/4 {
		return never
	}
	return time.Duration(wait)
}

// tooLate reports whether the deadline is missed after a wait.
func (e *Entry) tooLate(now, wait time.Duration) bool {
	if e.latestStart == never {
		return false
	}
	return wait == never || now+wait > e.latestStart
}

// unmeetable is the refusal of an entry with a predicted wait.
func (s *Scheduler) unmeetable(now time.Duration, e *Entry, wait time.Duration) error {
	allowed := e.Ticket.Deadline.Sub(s.epoch) - now
	if wait == never {
		return &UnmeetableError{RetryAfter: maxRetryAfter}
	}
	if s.running < s.capacity && s.queued == 0 && e.estimate > allowed {
		return &UnmeetableError{}
	}
	return &UnmeetableError{RetryAfter: clampRetry(wait + e.estimate - allowed)}
}

// recheck predicts each waiting entry anew, in the order of service, and
// refuses those that can't be met. An entry that is refused no longer delays
// those after it.
func (s *Scheduler) recheck(now time.Duration) {
	s.recheckAt = now + recheckInterval
	for _, c := range s.classes {
		if c.count == 0 {
			continue
		}
		var ahead time.Duration
		o := s.outlook(now, c)
		for _, e := range s.inOrder(c) {
			wait := o.wait(ahead, e.estimate)
			if e.tooLate(now, wait) {
				s.dequeue(e)
				s.settle(e, s.unmeetable(now, e, wait))
				continue
			}
			ahead += e.estimate
		}
	}
	clear(s.ordered[:cap(s.ordered)])
}

// inOrder lists a class's entries in the order of service. The slice is valid
// until the next call.
func (s *Scheduler) inOrder(c *class) []*Entry {
	s.ordered = s.ordered[:0]
	for _, f := range c.serve.items {
		tag := f.start
		for _, l := range f.levels {
			for e := l.first; e != nil; e = e.next {
				e.tag = tag
				tag += e.cost() / f.weight
				s.ordered = append(s.ordered, e)
			}
		}
	}
	slices.SortFunc(s.ordered, func(a, b *Entry) int {
		switch {
		case a.tag < b.tag:
			return -1
		case a.tag > b.tag:
			return 1
		}
		return cmp.Compare(a.seq, b.seq)
	})
	return s.ordered
}
