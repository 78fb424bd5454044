package gateway

import (
	"context"
	"sync"
	"time"
)

// pausePatience times the permitted pause between two events a stream waits for the next
// one before it goes on at another upstream. An upstream that fell silent for good is seen by
// nothing else. Engines that are behind make longer pauses than permitted; giving their
// streams up sooner adds to the load.
const pausePatience = 1.5

// silence ends an attempt when nothing came of it for too long, if giveUp agrees. If that
// doesn't, it is asked again after as long: repeats may be permitted later.
type silence struct {
	giveUp func() bool
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	limit time.Duration
	// waiting says that the upstream's next word is waited for, ended that it was for too
	// long.
	waiting bool
	ended   bool
}

// newSilence returns a silence that isn't waited for yet.
func newSilence(giveUp func() bool, cancel context.CancelCauseFunc) *silence {
	return &silence{giveUp: giveUp, cancel: cancel}
}

// wait begins to wait for the upstream's next word, for the limit at most.
func (s *silence) wait(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.waiting = limit, true
	if s.timer == nil {
		s.timer = time.AfterFunc(limit, s.lapse)
		return
	}
	s.timer.Reset(limit)
}

// heard ends the wait.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	s.timer.Stop()
}

// lapse takes in that the limit is over. The lock isn't held while giveUp decides, which
// takes locks of its own.
func (s *silence) lapse() {
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	if !waiting {
		return
	}
	agreed := s.giveUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.waiting:
	case agreed:
		s.ended = true
		s.cancel(errSilent)
	default:
		s.timer.Reset(s.limit)
	}
}

// lasted says whether the attempt was ended for its silence.
func (s *silence) lasted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// pauseLimit is how long a stream may stay without an event. Where pauses are usually long,
// since all engines are behind, giving streams up would add to the load.
func (a *attempt) pauseLimit() time.Duration {
	usual := a.gateway.pauses.of(a.request.usualKey())
	permitted := a.request.Route.MaxPause
	if permitted <= 0 {
		permitted = targetless
	}
	return max(time.Duration(pausePatience*float64(permitted)), usual.times(patienceFactor))
}
