package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// run plays one seed of a scenario against a policy.
func run(s scenario, p policy, seed uint64) []*request {
	requests := arrivals(s, rand.New(rand.NewPCG(seed, 1)))
	var events eventQueue
	for _, r := range requests {
		events.add(r.arrival, eventArrival, r)
	}
	if s.lossUntil > 0 {
		events.add(s.lossFrom, eventLoss, nil)
		events.add(s.lossUntil, eventRecovery, nil)
	}
	for len(events) > 0 {
		if at, ok := p.next(); ok && at < events[0].at {
			events.start(at, p.advance(at))
			continue
		}
		e := heap.Pop(&events).(event)
		events.start(e.at, step(p, e))
	}
	return requests
}

func step(p policy, e event) []*request {
	switch e.kind {
	case eventArrival:
		return p.submit(e.at, e.request)
	case eventEnd:
		e.request.finished = e.at
		return p.finish(e.at, e.request)
	case eventLoss:
		return p.setCapacity(e.at, places*2/3)
	default:
		return p.setCapacity(e.at, places)
	}
}

type eventKind int

const (
	eventArrival eventKind = iota
	eventEnd
	eventLoss
	eventRecovery
)

type event struct {
	at time.Duration

	kind    eventKind
	request *request
}

// eventQueue implements heap.Interface, by time and then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].kind < q[j].kind
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *eventQueue) add(at time.Duration, kind eventKind, r *request) {
	heap.Push(q, event{at: at, kind: kind, request: r})
}

func (q *eventQueue) start(now time.Duration, started []*request) {
	for _, r := range started {
		q.add(now+r.service, eventEnd, r)
	}
}
