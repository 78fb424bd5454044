package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// maxHeldMemory is the part of the host's memory that the bodies of held requests may use, as a
// divisor.
const maxHeldMemory = 32

// holds keeps requests in a queue of package admission. A timer that runs only while requests are
// kept makes the decisions for all of them, so that the goroutines of the requests needn't wake.
type holds struct {
	fleet *Fleet
	// stopping reports whether a planned stop is under way, in which no request is kept.
	stopping *atomic.Bool
	// count is the number of requests in the queue.
	count atomic.Int64

	// mu guards the fields below. It may be held while the lock of a shard of the fleet is taken, not
	// the other way round.
	mu    sync.Mutex
	queue *admission.HoldQueue
	held  map[*admission.Item]*heldRequest
	timer *time.Timer
	// timerAt is the time for which the timer is set; zero after it fired.
	timerAt time.Time
}

func newHolds(g *Gateway) *holds {
	return &holds{
		fleet: g.fleet, stopping: &g.stopping, held: make(map[*admission.Item]*heldRequest),
		queue: admission.NewHoldQueue(int(g.settings.MemoryBytes / maxHeldMemory)),
	}
}

// offer decides on a new request and puts it into the queue if it is to be kept.
func (s *holds) offer(h *heldRequest, e admission.Estimate) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if s.stopping.Load() {
		h.item.HeldBefore = h.item.Target // it may not be kept
	}
	decisions := s.queue.Offer(&h.item, e, now)
	s.deliver(decisions[1:])
	if decisions[0].Verdict == admission.Keep {
		h.since, h.position = now, s.queue.Position(&h.item)
		s.held[&h.item] = h
		s.schedule(now)
	}
	return decisions[0]
}

// wake decides again on the requests in the queue, after an event that gives an engine room.
func (s *holds) wake() {
	if s.count.Load() > 0 {
		s.advance()
	}
}

// started states that the engine of a held request is chosen, or that the request won't be sent, and
// then logs the decision. Further calls have no effect. h may be nil.
func (s *holds) started(h *heldRequest) {
	if h == nil || h.isStarted {
		return
	}
	h.isStarted = true
	s.mu.Lock()
	s.queue.Started(&h.item)
	s.mu.Unlock()
	s.wake()
	h.observe()
}

// leave removes a request whose caller left, perhaps just after the decision to send it.
func (s *holds) leave(h *heldRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(&h.item)
	s.queue.Started(&h.item)
	delete(s.held, &h.item)
	s.count.Store(int64(s.queue.Len()))
}

// endHolds sends or refuses the requests in the queue, when the host begins to stop.
func (s *holds) endHolds() {
	s.mu.Lock()
	s.queue.EndHolds(boottime.Now())
	s.mu.Unlock()
	s.wake()
}

// saturation returns the fraction of the service's new requests that no engine could begin within
// their targets.
func (s *holds) saturation(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Saturation(service, boottime.Now())
}

// advance decides again on the requests that are due, and sets the timer.
func (s *holds) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.deliver(s.queue.Advance(now, func(it *admission.Item) admission.Estimate {
		h := s.held[it]
		var e startEstimate
		e, h.wide = s.fleet.expectedStartBefore(h.crit, it.Deadline)
		return e.Estimate
	}))
	s.schedule(now)
}

// deliver passes decisions on to the requests, which leave the queue. The caller holds the lock.
func (s *holds) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		s.held[d.Item].decision <- d // the channel has room for the only decision
		delete(s.held, d.Item)
	}
	s.count.Store(int64(s.queue.Len()))
}

// schedule sets the timer for the next call of advance if requests are kept. The caller holds the
// lock.
func (s *holds) schedule(now time.Time) {
	s.count.Store(int64(s.queue.Len()))
	next, ok := s.queue.Next(now)
	if !ok || s.timerAt.After(now) && !next.Before(s.timerAt) {
		return // a later time would postpone the decisions with each call
	}
	s.timerAt = next
	if s.timer == nil {
		s.timer = time.AfterFunc(next.Sub(now), s.timerFired)
		return
	}
	s.timer.Reset(next.Sub(now))
}

func (s *holds) timerFired() {
	s.mu.Lock()
	s.timerAt = time.Time{}
	s.mu.Unlock()
	s.advance()
}
