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
	// count is the number of requests in the queue. services has what is read without mu, since
	// decisions are made under it.
	count    atomic.Int64
	services lazyValues[serviceHolds]

	// mu guards the fields below. It may be held while the lock of a shard of the fleet is taken, not
	// the other way round.
	mu    sync.Mutex
	queue *admission.HoldQueue
	held  map[*admission.Item]*heldRequest
	timer *time.Timer
	// timerAt is the time for which the timer is set; zero after it fired.
	timerAt time.Time
}

// serviceHolds is the state of a service's requests in the queue.
type serviceHolds struct {
	// held is the number of requests in the queue.
	held       atomic.Int64
	saturation atomic.Pointer[admission.SaturationState]
}

func newHolds(g *Gateway) *holds {
	s := &holds{
		fleet: g.fleet, stopping: &g.stopping, held: make(map[*admission.Item]*heldRequest),
		queue:    admission.NewHoldQueue(int(g.settings.MemoryBytes / maxHeldMemory)),
		services: lazyValues[serviceHolds]{make: func() *serviceHolds { return new(serviceHolds) }},
	}
	s.timer = time.AfterFunc(time.Hour, s.timerFired)
	s.timer.Stop()
	return s
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
	service, saturation := s.services.get(h.item.Service), s.queue.SaturationState(h.item.Service)
	service.saturation.Store(&saturation)
	s.deliver(decisions[1:])
	if decisions[0].Verdict == admission.Keep {
		service.held.Add(1)
		h.since, h.position = now, s.queue.Position(&h.item)
		s.held[&h.item] = h
		s.schedule(now)
	}
	return decisions[0]
}

// wake has the timer decide again on the requests in the queue, after an event that gives an engine of
// the request's service room. It doesn't wait, since the request's answer is delivered after it.
func (s *holds) wake(r *Request) {
	if s.count.Load() > 0 && r.Prompt.TokensIn > 0 && s.services.get(r.Service).held.Load() > 0 {
		s.timer.Reset(0)
	}
}

// wakeAll is wake for the requests of all services.
func (s *holds) wakeAll() {
	if s.count.Load() > 0 {
		s.timer.Reset(0)
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
	s.wakeAll()
	h.observe()
}

// leave removes a request whose caller left, perhaps just after the decision to send it.
func (s *holds) leave(h *heldRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(&h.item)
	s.queue.Started(&h.item)
	s.drop(&h.item)
	s.count.Store(int64(s.queue.Len()))
}

// endHolds sends or refuses the requests in the queue, when the host begins to stop.
func (s *holds) endHolds() {
	s.mu.Lock()
	s.queue.EndHolds(boottime.Now())
	s.mu.Unlock()
	s.wakeAll()
}

// saturation returns the fraction of the service's new requests that no engine could begin within
// their targets.
func (s *holds) saturation(service string) float64 {
	if state := s.services.get(service).saturation.Load(); state != nil {
		return state.At(boottime.Now())
	}
	return 0
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
		s.drop(d.Item)
	}
	s.count.Store(int64(s.queue.Len()))
}

// drop no longer counts the request of an item that left the queue. The caller holds the lock.
func (s *holds) drop(it *admission.Item) {
	if _, ok := s.held[it]; ok {
		delete(s.held, it)
		s.services.get(it.Service).held.Add(-1)
	}
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
	s.timer.Reset(next.Sub(now))
}

func (s *holds) timerFired() {
	s.mu.Lock()
	s.timerAt = time.Time{}
	s.mu.Unlock()
	s.advance()
}
