package admission

import (
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// policy decides which requests run. Each method except nextEvent returns the
// requests that it started; a refused request is marked as such.
type policy interface {
	submit(now time.Duration, r *request) []*request
	finish(now time.Duration, r *request) []*request
	setCapacity(now time.Duration, n int) []*request
	// nextEvent returns the time at which advance must be called, if any.
	nextEvent() (time.Duration, bool)
	advance(now time.Duration) []*request
}

// namedPolicy is a compared policy with its name in the tables.
type namedPolicy struct {
	name string
	make func() policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"FIFO", func() policy { return &rankedQueue{capacity: slotCount, rank: sameRank} }},
		{"FIFO, callers leave", func() policy { return &rankedQueue{capacity: slotCount, rank: sameRank, dropExpired: true} }},
		{"strict priority", func() policy { return &rankedQueue{capacity: slotCount, rank: classRank} }},
		{"strict priority, callers leave", func() policy { return &rankedQueue{capacity: slotCount, rank: classRank, dropExpired: true} }},
		{"admission", func() policy { return newSchedulerPolicy() }},
	}
}

func sameRank(*request) int    { return 0 }
func classRank(r *request) int { return r.class }

// rankedQueue admits every request and starts them in order of rank, then of
// arrival.
type rankedQueue struct {
	capacity, running int
	rank              func(*request) int
	// dropExpired drops requests whose deadline passed while they waited.
	dropExpired bool
	waiting     [3][]*request
}

func (q *rankedQueue) submit(now time.Duration, r *request) []*request {
	rank := q.rank(r)
	q.waiting[rank] = append(q.waiting[rank], r)
	return q.start(now)
}

func (q *rankedQueue) finish(now time.Duration, _ *request) []*request {
	q.running--
	return q.start(now)
}

func (q *rankedQueue) setCapacity(now time.Duration, n int) []*request {
	q.capacity = n
	return q.start(now)
}

func (q *rankedQueue) nextEvent() (time.Duration, bool) { return 0, false }
func (q *rankedQueue) advance(time.Duration) []*request { return nil }

func (q *rankedQueue) start(now time.Duration) []*request {
	var started []*request
	for rank := range q.waiting {
		for q.running < q.capacity && len(q.waiting[rank]) > 0 {
			r := q.waiting[rank][0]
			q.waiting[rank] = q.waiting[rank][1:]
			if q.dropExpired && now > r.deadline {
				continue
			}
			started = append(started, r)
			q.running++
		}
	}
	return started
}

// schedulerPolicy runs the admission scheduler.
type schedulerPolicy struct {
	scheduler *admission.Scheduler
	entries   map[*request]*admission.Entry
	requests  map[*admission.Entry]*request
}

// origin is the time that the scheduler gets for virtual time 0.
var origin = time.Unix(0, 0)

func newSchedulerPolicy() *schedulerPolicy {
	var classes []admission.ClassOptions
	for _, l := range loads {
		classes = append(classes, admission.ClassOptions{Name: l.name, MinShare: l.minShare})
	}
	return &schedulerPolicy{
		scheduler: admission.NewScheduler(admission.Options{Capacity: slotCount, Classes: classes, MaxQueue: 2048}),
		entries:   make(map[*request]*admission.Entry),
		requests:  make(map[*admission.Entry]*request),
	}
}

func (s *schedulerPolicy) submit(now time.Duration, r *request) []*request {
	e := &admission.Entry{Ticket: admission.Ticket{
		Account:  r.account,
		Weight:   1,
		Class:    loads[r.class].name,
		Deadline: origin.Add(r.deadline),
		Estimate: r.estimate,
	}}
	s.entries[r] = e
	s.requests[e] = r
	stats := s.scheduler.Stats()
	decided := s.scheduler.Submit(origin.Add(now), e)
	started := s.applyDecisions(now, decided)
	switch e.State() {
	case admission.Running:
		started = append(started, r)
	case admission.Refused:
		s.markRefused(now, r)
		r.hadFreeSlot = stats.Running < stats.Capacity && now+r.estimate <= r.deadline
	}
	return started
}

func (s *schedulerPolicy) finish(now time.Duration, r *request) []*request {
	e := s.entries[r]
	delete(s.entries, r)
	delete(s.requests, e)
	return s.applyDecisions(now, s.scheduler.Finish(origin.Add(now), e))
}

func (s *schedulerPolicy) setCapacity(now time.Duration, n int) []*request {
	return s.applyDecisions(now, s.scheduler.SetCapacity(origin.Add(now), n))
}

func (s *schedulerPolicy) nextEvent() (time.Duration, bool) {
	at, ok := s.scheduler.Next()
	return at.Sub(origin), ok
}

func (s *schedulerPolicy) advance(now time.Duration) []*request {
	return s.applyDecisions(now, s.scheduler.Advance(origin.Add(now)))
}

func (s *schedulerPolicy) applyDecisions(now time.Duration, decided []*admission.Entry) []*request {
	var started []*request
	for _, e := range decided {
		r := s.requests[e]
		if e.State() == admission.Running {
			started = append(started, r)
			continue
		}
		s.markRefused(now, r)
	}
	return started
}

func (s *schedulerPolicy) markRefused(now time.Duration, r *request) {
	r.refused = true
	r.refusedAt = now
}
