package gateway

import (
	"context"
	"sync"
	"time"
)

// pauseFactor times the permitted pause between two events a stream waits for the next
// one before it goes on at another upstream: nothing else detects one that fell silent for
// good. Engines that are behind make longer pauses than permitted; giving their streams up
// sooner adds to the load.
const pauseFactor = 1.5

// idleTimer ends an attempt when nothing came of it for too long, if giveUp agrees. If that
// doesn't, it is asked again after as long: repeats may be permitted later.
type idleTimer struct {
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

// newIdleTimer returns one that isn't waited for yet.
func newIdleTimer(giveUp func() bool, cancel context.CancelCauseFunc) *idleTimer {
	return &idleTimer{giveUp: giveUp, cancel: cancel}
}

// start begins to wait for the upstream's next word, for the limit at most.
func (t *idleTimer) start(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.waiting = limit, true
	if t.timer == nil {
		t.timer = time.AfterFunc(limit, t.expire)
		return
	}
	t.timer.Reset(limit)
}

// stop ends the wait.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	t.timer.Stop()
}

// expire takes in that the limit is over. The lock isn't held while giveUp decides, which
// takes locks of its own.
func (t *idleTimer) expire() {
	t.mu.Lock()
	waiting := t.waiting
	t.mu.Unlock()
	if !waiting {
		return
	}
	agreed := t.giveUp()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.waiting:
	case agreed:
		t.ended = true
		t.cancel(errSilent)
	default:
		t.timer.Reset(t.limit)
	}
}

// expired says whether the attempt was ended for its silence.
func (t *idleTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// pauseLimit is how long a stream may stay without an event. Where pauses are usually long,
// since all engines are behind, giving streams up would add to the load.
func (a *attempt) pauseLimit() time.Duration {
	usual := a.gateway.pauses.of(a.request.timesKey())
	permitted := a.request.Route.MaxPause
	if permitted <= 0 {
		permitted = targetless
	}
	return max(time.Duration(pauseFactor*float64(permitted)), usual.times(timeoutFactor))
}
