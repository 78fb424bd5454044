package admission

import (
	"math"
	"time"
)

const (
	// recheckInterval is the interval at which the waits of waiting entries are
	// predicted again.
	recheckInterval = 20 * time.Millisecond
	// unbounded stands for an infinite wait, and for the latest start of an
	// entry without a deadline.
	unbounded = time.Duration(math.MaxInt64)
	// creditWindow is the time over which a class can accumulate the unused part
	// of its minimum share.
	creditWindow = time.Second
	// initialEstimate is the mean service time assumed before the first sample.
	initialEstimate = 100 * time.Millisecond
	// sampleWeight is the weight of a new sample in the mean service time and
	// in the correction of estimates.
	sampleWeight = 1.0 / 64
	// minCorrection and maxCorrection bound each sample of the ratio of actual to
	// estimated service time.
	minCorrection = 0.25
	maxCorrection = 4
)

// Scheduler decides which entries run. It has no goroutines, locks or timers:
// the caller passes the time, which must not decrease. It isn't safe for
// concurrent use.
type Scheduler struct {
	maxQueue int
	capacity int
	// classes are in strict order, the highest first. Removed ones with waiting
	// entries stay at the end, until a later call of SetClasses finds them
	// empty.
	classes []*class
	byName  map[string]*class

	// epoch is the time of the first call. Times are stored as durations since
	// epoch.
	epoch   time.Time
	started bool

	running int
	// runningWork is the sum of the running entries' estimates.
	runningWork time.Duration
	queued      int
	// byLatestStart orders waiting entries by their latest start.
	byLatestStart indexedHeap[*Entry]
	// byExpectedEnd orders running entries by their expected end.
	byExpectedEnd indexedHeap[*Entry]
	lastArrival   uint64
	recheckAt     time.Duration
	// meanService is the decayed mean of actual service times.
	meanService time.Duration
	// correction is the decayed ratio of actual to estimated service times.
	correction float64

	// The slices below are reused by each call: startedOrRefused holds the
	// entries that waited and that the call started or refused, serviceOrder
	// holds the result of inServiceOrder.

	startedOrRefused []*Entry
	serviceOrder     []*Entry
}

// NewScheduler returns an empty Scheduler; it doesn't use Options.Clock.
func NewScheduler(options Options) *Scheduler {
	options = options.withDefaults()
	s := &Scheduler{
		maxQueue:    options.MaxQueue,
		capacity:    max(0, options.Capacity),
		byName:      make(map[string]*class),
		meanService: initialEstimate,
		correction:  1,
		byLatestStart: indexedHeap[*Entry]{
			less:  func(a, b *Entry) bool { return a.latestStart < b.latestStart },
			index: func(e *Entry) *int { return &e.heapIndex },
		},
		byExpectedEnd: indexedHeap[*Entry]{
			less:  func(a, b *Entry) bool { return a.expectedEnd() < b.expectedEnd() },
			index: func(e *Entry) *int { return &e.heapIndex },
		},
	}
	s.setClasses(options.Classes)
	return s
}

// Submit starts, queues or refuses a new entry. Like each method below, it
// returns the waiting entries that the call started or refused; the slice is
// valid until the next call.
func (s *Scheduler) Submit(at time.Time, e *Entry) []*Entry {
	now := s.startCall(at)
	e.heapIndex = notInHeap
	c, ok := s.byName[e.Ticket.Class]
	if !ok {
		s.refuse(e, ErrUnknownClass)
		return s.startedOrRefused
	}
	e.estimate = s.estimate(e.Ticket)
	e.latestStart = s.latestStart(e)
	s.refuseExpired(now)
	e.flow = c.ensureFlow(e.Ticket)
	wait := s.predictWait(now, e.flow, e.estimate)
	if e.missesDeadline(now, wait) {
		s.refuse(e, s.unmeetableError(now, e, wait))
		return s.startedOrRefused
	}
	if s.running < s.capacity && s.queued == 0 {
		c.arrivalRate.add(now, e.estimate.Seconds())
		c.chargeImmediateStart(e)
		s.start(now, e)
		return s.startedOrRefused
	}
	if s.queued >= s.maxQueue && !s.evictFor(e) {
		s.refuse(e, &FullError{RetryAfter: s.drainTime()})
		return s.startedOrRefused
	}
	s.enqueue(now, e)
	s.dispatch(now)
	return s.startedOrRefused
}

// Finish releases the slot of a running entry.
func (s *Scheduler) Finish(at time.Time, e *Entry) []*Entry {
	now := s.startCall(at)
	if e.state != Running {
		return s.startedOrRefused
	}
	e.state = Finished
	s.release(e)
	s.updateEstimates(now-e.startedAt, e.Ticket.Estimate)
	s.refuseExpired(now)
	s.dispatch(now)
	return s.startedOrRefused
}

// Cancel removes a running or waiting entry.
func (s *Scheduler) Cancel(at time.Time, e *Entry) []*Entry {
	now := s.startCall(at)
	switch e.state {
	case Running:
		// The service time is incomplete, so estimates aren't updated.
		s.release(e)
	case Waiting:
		s.dequeue(e)
	default:
		return s.startedOrRefused
	}
	e.state = Finished
	s.dispatch(now)
	return s.startedOrRefused
}

// SetCapacity changes the maximum number of running entries. Running entries
// continue; waiting ones that can no longer meet their deadlines are refused.
func (s *Scheduler) SetCapacity(at time.Time, capacity int) []*Entry {
	now := s.startCall(at)
	s.capacity = max(0, capacity)
	s.refuseExpired(now)
	s.dispatch(now)
	s.recheck(now)
	return s.startedOrRefused
}

// SetClasses replaces the classes. Entries that wait in a removed class are
// served after all others.
func (s *Scheduler) SetClasses(at time.Time, classes []ClassOptions) []*Entry {
	now := s.startCall(at)
	s.setClasses(classes)
	s.dispatch(now)
	return s.startedOrRefused
}

// Advance refuses the waiting entries that can't meet their deadlines, as of the
// given time.
func (s *Scheduler) Advance(at time.Time) []*Entry {
	now := s.startCall(at)
	s.refuseExpired(now)
	if s.queued > 0 && now >= s.recheckAt {
		s.recheck(now)
	}
	return s.startedOrRefused
}

// Next returns when Advance should be called; ok is false if nothing waits.
func (s *Scheduler) Next() (at time.Time, ok bool) {
	if s.queued == 0 {
		return time.Time{}, false
	}
	next := s.recheckAt
	if first := s.byLatestStart.min().latestStart; first < next {
		// The entry expires once its latest start has passed.
		next = first + 1
	}
	return s.epoch.Add(next), true
}

// Stats holds the number of slots and the numbers of running and waiting
// entries at one time.
type Stats struct {
	Capacity int
	Running  int
	Queued   int
}

// Stats returns the current number of slots and the current numbers of running
// and waiting entries.
func (s *Scheduler) Stats() Stats {
	return Stats{Capacity: s.capacity, Running: s.running, Queued: s.queued}
}

// startCall begins a method call: it clears the entries that the last call
// returned, and returns the time since the epoch.
func (s *Scheduler) startCall(at time.Time) time.Duration {
	if !s.started {
		s.epoch = at
		s.started = true
	}
	clear(s.startedOrRefused)
	s.startedOrRefused = s.startedOrRefused[:0]
	return at.Sub(s.epoch)
}

func (s *Scheduler) setClasses(classes []ClassOptions) {
	old := s.byName
	s.byName = make(map[string]*class, len(classes))
	ordered := make([]*class, 0, len(classes))
	for _, options := range classes {
		c, ok := old[options.Name]
		if !ok {
			c = newClass(options, 0)
		}
		c.minShare = options.MinShare
		s.byName[options.Name] = c
		ordered = append(ordered, c)
	}
	for _, c := range s.classes {
		if s.byName[c.name] != c && c.waiting > 0 {
			c.minShare = 0
			ordered = append(ordered, c)
		}
	}
	for rank, c := range ordered {
		c.rank = rank
	}
	s.classes = ordered
}

func (s *Scheduler) enqueue(now time.Duration, e *Entry) {
	if s.queued == 0 {
		s.recheckAt = now + recheckInterval
	}
	e.state = Waiting
	s.lastArrival++
	e.arrivalNumber = s.lastArrival
	e.flow.class.arrivalRate.add(now, e.estimate.Seconds())
	e.flow.class.add(e)
	s.queued++
	s.byLatestStart.push(e)
}

func (s *Scheduler) dequeue(e *Entry) {
	e.flow.class.remove(e)
	s.queued--
	s.byLatestStart.remove(e)
}

// refuseExpired refuses the waiting entries whose latest start has passed.
func (s *Scheduler) refuseExpired(now time.Duration) {
	for s.queued > 0 && s.byLatestStart.min().latestStart < now {
		e := s.byLatestStart.min()
		s.dequeue(e)
		s.refuseWaiting(e, s.unmeetableError(now, e, 0))
	}
}

// refuseWaiting refuses a waiting entry and adds it to startedOrRefused, which
// the current method call returns.
func (s *Scheduler) refuseWaiting(e *Entry, err error) {
	s.refuse(e, err)
	s.startedOrRefused = append(s.startedOrRefused, e)
}

func (s *Scheduler) refuse(e *Entry, err error) {
	e.state = Refused
	e.err = err
}
