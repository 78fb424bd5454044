package admission

import (
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// policy decides which requests run. Each method returns the requests that it
// made run; refusals are marked on the request.
type policy interface {
	submit(now time.Duration, r *request) []*request
	finish(now time.Duration, r *request) []*request
	setCapacity(now time.Duration, n int) []*request
	// next is when advance is to be called.
	next() (time.Duration, bool)
	advance(now time.Duration) []*request
}

// candidate is a way of queueing under comparison.
type candidate struct {
	name string
	make func() policy
}

func candidates() []candidate {
	return []candidate{
		{"FIFO", func() policy { return &fixed{capacity: places, rank: sameRank} }},
		{"FIFO, callers leave", func() policy { return &fixed{capacity: places, rank: sameRank, leave: true} }},
		{"strict priority", func() policy { return &fixed{capacity: places, rank: classRank} }},
		{"strict priority, callers leave", func() policy { return &fixed{capacity: places, rank: classRank, leave: true} }},
		{"admission", func() policy { return newScheduled() }},
	}
}

func sameRank(*request) int    { return 0 }
func classRank(r *request) int { return r.class }

// fixed is a queue without admission, in order of rank and arrival.
type fixed struct {
	capacity, running int
	rank              func(*request) int
	// leave drops a waiting request when its deadline has passed.
	leave   bool
	waiting [3][]*request
}

func (f *fixed) submit(now time.Duration, r *request) []*request {
	rank := f.rank(r)
	f.waiting[rank] = append(f.waiting[rank], r)
	return f.start(now)
}

func (f *fixed) finish(now time.Duration, _ *request) []*request {
	f.running--
	return f.start(now)
}

func (f *fixed) setCapacity(now time.Duration, n int) []*request {
	f.capacity = n
	return f.start(now)
}

func (f *fixed) next() (time.Duration, bool)      { return 0, false }
func (f *fixed) advance(time.Duration) []*request { return nil }

func (f *fixed) start(now time.Duration) []*request {
	var started []*request
	for rank := range f.waiting {
		for f.running < f.capacity && len(f.waiting[rank]) > 0 {
			r := f.waiting[rank][0]
			f.waiting[rank] = f.waiting[rank][1:]
			if f.leave && now > r.deadline {
				continue
			}
			started = append(started, r)
			f.running++
		}
	}
	return started
}

// scheduled is the scheduler under test.
type scheduled struct {
	core    *admission.Scheduler
	entries map[*request]*admission.Entry
	owners  map[*admission.Entry]*request
}

// origin is the wall time of virtual time 0.
var origin = time.Unix(0, 0)

func newScheduled() *scheduled {
	var classes []admission.ClassOptions
	for _, l := range loads {
		classes = append(classes, admission.ClassOptions{Name: l.name, MinShare: l.minShare})
	}
	return &scheduled{
		core:    admission.NewScheduler(admission.Options{Capacity: places, Classes: classes, MaxQueue: 2048}),
		entries: make(map[*request]*admission.Entry),
		owners:  make(map[*admission.Entry]*request),
	}
}

func (s *scheduled) submit(now time.Duration, r *request) []*request {
	e := &admission.Entry{Ticket: admission.Ticket{
		Account:  r.account,
		Weight:   1,
		Class:    loads[r.class].name,
		Deadline: origin.Add(r.deadline),
		Estimate: r.estimate,
	}}
	s.entries[r] = e
	s.owners[e] = r
	stats := s.core.Stats()
	settled := s.core.Submit(origin.Add(now), e)
	started := s.settle(now, settled)
	switch e.State() {
	case admission.Running:
		started = append(started, r)
	case admission.Refused:
		s.refuse(now, r)
		r.freeAtRefusal = stats.Running < stats.Capacity && now+r.estimate <= r.deadline
	}
	return started
}

func (s *scheduled) finish(now time.Duration, r *request) []*request {
	e := s.entries[r]
	delete(s.entries, r)
	delete(s.owners, e)
	return s.settle(now, s.core.Finish(origin.Add(now), e))
}

func (s *scheduled) setCapacity(now time.Duration, n int) []*request {
	return s.settle(now, s.core.SetCapacity(origin.Add(now), n))
}

func (s *scheduled) next() (time.Duration, bool) {
	at, ok := s.core.Next()
	return at.Sub(origin), ok
}

func (s *scheduled) advance(now time.Duration) []*request {
	return s.settle(now, s.core.Advance(origin.Add(now)))
}

func (s *scheduled) settle(now time.Duration, settled []*admission.Entry) []*request {
	var started []*request
	for _, e := range settled {
		r := s.owners[e]
		if e.State() == admission.Running {
			started = append(started, r)
			continue
		}
		s.refuse(now, r)
	}
	return started
}

func (s *scheduled) refuse(now time.Duration, r *request) {
	r.refused = true
	r.refusedAt = now
}
