package admission

import (
	"math"
	"time"
)

const (
	// recheckInterval is how often waiting entries are predicted anew.
	recheckInterval = 20 * time.Millisecond
	// never is later than any time that is met.
	never = time.Duration(math.MaxInt64)
	// creditWindow bounds a class's unused minimum share to what it has in
	// this time.
	creditWindow = time.Second
	// initialEstimate stands for the mean service time before any is known.
	initialEstimate = 100 * time.Millisecond
	// meanWeight is the weight of a new sample in the mean service time and
	// in the correction of estimates.
	meanWeight = 1.0 / 64
	// minCorrection and maxCorrection bound the correction of estimates.
	minCorrection = 0.25
	maxCorrection = 4
)

// Scheduler decides which entries run. It has no goroutines, locks or timers:
// time is an argument and never goes back. It isn't safe for concurrent use.
type Scheduler struct {
	maxQueue int
	capacity int
	// classes are in strict order; retired ones stand at the end until their
	// last entry leaves.
	classes []*class
	byName  map[string]*class

	// epoch is the time of the first call; other times count from it.
	epoch   time.Time
	started bool

	running int
	// runningWork is the sum of the running entries' estimates.
	runningWork time.Duration
	queued      int
	// expiry orders waiting entries by their latest start.
	expiry indexedHeap[*Entry]
	// ends orders running entries by their expected ends.
	ends      indexedHeap[*Entry]
	arrived   uint64
	recheckAt time.Duration
	// meanService is the decayed mean of actual service times.
	meanService time.Duration
	// correction is the decayed ratio of actual to estimated service times.
	correction float64

	settled []*Entry
	ordered []*Entry
}

// NewScheduler returns a scheduler; Options.Clock isn't used.
func NewScheduler(options Options) *Scheduler {
	options = options.withDefaults()
	s := &Scheduler{
		maxQueue:    options.MaxQueue,
		capacity:    max(0, options.Capacity),
		byName:      make(map[string]*class),
		meanService: initialEstimate,
		correction:  1,
		expiry: indexedHeap[*Entry]{
			less:  func(a, b *Entry) bool { return a.latestStart < b.latestStart },
			index: func(e *Entry) *int { return &e.heapIndex },
		},
		ends: indexedHeap[*Entry]{
			less:  func(a, b *Entry) bool { return a.expectedEnd() < b.expectedEnd() },
			index: func(e *Entry) *int { return &e.heapIndex },
		},
	}
	s.setClasses(options.Classes)
	return s
}

// Submit decides on a new entry: afterwards it runs, waits or is refused.
// Like each method below, it returns the waiting entries that the call made
// run or refused; the slice is valid until the next call.
func (s *Scheduler) Submit(at time.Time, e *Entry) []*Entry {
	now := s.begin(at)
	e.heapIndex = noIndex
	c, ok := s.byName[e.Ticket.Class]
	if !ok {
		s.refuse(e, ErrUnknownClass)
		return s.settled
	}
	e.estimate = s.estimate(e.Ticket)
	e.latestStart = s.latestStart(e)
	s.expire(now)
	e.flow = c.flowOf(e.Ticket)
	wait := s.predict(now, e.flow, e.estimate)
	if e.tooLate(now, wait) {
		s.refuse(e, s.unmeetable(now, e, wait))
		return s.settled
	}
	if s.running < s.capacity && s.queued == 0 {
		c.arrivals.add(now, e.estimate.Seconds())
		c.chargeAtOnce(e)
		s.run(now, e)
		return s.settled
	}
	if s.queued >= s.maxQueue && !s.makeRoom(e) {
		s.refuse(e, &FullError{RetryAfter: s.drainTime()})
		return s.settled
	}
	s.enqueue(now, e)
	s.dispatch(now)
	return s.settled
}

// Finish gives back the place of a running entry.
func (s *Scheduler) Finish(at time.Time, e *Entry) []*Entry {
	now := s.begin(at)
	if e.state != Running {
		return s.settled
	}
	e.state = Finished
	s.release(e)
	s.learn(now-e.startedAt, e.Ticket.Estimate)
	s.expire(now)
	s.dispatch(now)
	return s.settled
}

// Cancel withdraws an entry, running or waiting.
func (s *Scheduler) Cancel(at time.Time, e *Entry) []*Entry {
	now := s.begin(at)
	switch e.state {
	case Running:
		// A cancelled service time says nothing about the estimates.
		s.release(e)
	case Waiting:
		s.dequeue(e)
	default:
		return s.settled
	}
	e.state = Finished
	s.dispatch(now)
	return s.settled
}

// SetCapacity changes the number of concurrent entries. Running entries stay;
// waiting ones that can't be met any more are refused at once.
func (s *Scheduler) SetCapacity(at time.Time, capacity int) []*Entry {
	now := s.begin(at)
	s.capacity = max(0, capacity)
	s.expire(now)
	s.dispatch(now)
	s.recheck(now)
	return s.settled
}

// SetClasses changes the classes. Entries that wait in a class that is gone
// are served after all others.
func (s *Scheduler) SetClasses(at time.Time, classes []ClassOptions) []*Entry {
	now := s.begin(at)
	s.setClasses(classes)
	s.dispatch(now)
	return s.settled
}

// Advance lets time pass: waiting entries that can't be met are refused.
func (s *Scheduler) Advance(at time.Time) []*Entry {
	now := s.begin(at)
	s.expire(now)
	if s.queued > 0 && now >= s.recheckAt {
		s.recheck(now)
	}
	return s.settled
}

// Next returns when Advance should be called; ok is false if nothing waits.
func (s *Scheduler) Next() (at time.Time, ok bool) {
	if s.queued == 0 {
		return time.Time{}, false
	}
	next := s.recheckAt
	if first := s.expiry.min().latestStart; first < next {
		// One past the last moment, when it has become unmeetable.
		next = first + 1
	}
	return s.epoch.Add(next), true
}

// Stats describes a scheduler at one time.
type Stats struct {
	Capacity int
	Running  int
	Queued   int
}

// Stats returns the present numbers.
func (s *Scheduler) Stats() Stats {
	return Stats{Capacity: s.capacity, Running: s.running, Queued: s.queued}
}

// begin starts a call and gives its time since the epoch.
func (s *Scheduler) begin(at time.Time) time.Duration {
	if !s.started {
		s.epoch = at
		s.started = true
	}
	clear(s.settled)
	s.settled = s.settled[:0]
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
		if s.byName[c.name] != c && c.count > 0 {
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
	s.arrived++
	e.seq = s.arrived
	e.flow.class.arrivals.add(now, e.estimate.Seconds())
	e.flow.class.add(e)
	s.queued++
	s.expiry.push(e)
}

func (s *Scheduler) dequeue(e *Entry) {
	e.flow.class.drop(e)
	s.queued--
	s.expiry.remove(e)
}

// expire refuses the entries whose latest start has passed.
func (s *Scheduler) expire(now time.Duration) {
	for s.queued > 0 && s.expiry.min().latestStart < now {
		e := s.expiry.min()
		s.dequeue(e)
		s.settle(e, s.unmeetable(now, e, 0))
	}
}

// settle refuses an entry that waited.
func (s *Scheduler) settle(e *Entry, err error) {
	s.refuse(e, err)
	s.settled = append(s.settled, e)
}

func (s *Scheduler) refuse(e *Entry, err error) {
	e.state = Refused
	e.err = err
}
