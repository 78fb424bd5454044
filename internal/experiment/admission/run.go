package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// run simulates a scenario with one seed under a policy and returns all its
// requests.
func run(s scenario, p policy, seed uint64) []*request {
	requests := arrivals(s, rand.New(rand.NewPCG(seed, 1)))
	var events eventQueue
	for _, r := range requests {
		events.schedule(r.arrival, eventArrival, r)
	}
	if s.lossUntil > 0 {
		events.schedule(s.lossFrom, eventLoss, nil)
		events.schedule(s.lossUntil, eventRecovery, nil)
	}
	for len(events) > 0 {
		if at, ok := p.nextEvent(); ok && at < events[0].at {
			events.scheduleEnds(at, p.advance(at))
			continue
		}
		e := heap.Pop(&events).(event)
		events.scheduleEnds(e.at, handle(p, e))
	}
	return requests
}

func handle(p policy, e event) []*request {
	switch e.kind {
	case eventArrival:
		return p.submit(e.at, e.request)
	case eventEnd:
		e.request.finished = e.at
		return p.finish(e.at, e.request)
	case eventLoss:
		return p.setCapacity(e.at, slotCount*2/3)
	default:
		return p.setCapacity(e.at, slotCount)
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

// eventQueue implements heap.Interface, ordered by time and then by kind.
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

func (q *eventQueue) schedule(at time.Duration, kind eventKind, r *request) {
	heap.Push(q, event{at: at, kind: kind, request: r})
}

func (q *eventQueue) scheduleEnds(now time.Duration, started []*request) {
	for _, r := range started {
		q.schedule(now+r.service, eventEnd, r)
	}
}
