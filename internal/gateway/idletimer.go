package gateway

import (
	"context"
	"sync"
	"time"
)

// pauseFactor is multiplied by the permitted pause between two events to give the time after which
// a stream is continued at another upstream; nothing else detects an upstream that stopped
// responding for good. Overloaded engines make longer pauses than permitted, and giving up their
// streams sooner would add to the load.
const pauseFactor = 1.5

// idleTimer ends an attempt after the limit passed without data from the upstream, if mayGiveUp
// permits it. Otherwise it asks again after the same time, since retries may be permitted by then.
type idleTimer struct {
	mayGiveUp func() bool
	cancel    context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	limit time.Duration
	// waiting is set while data from the upstream is awaited; ended is set when the attempt was
	// ended by the timer.
	waiting bool
	ended   bool
}

// newIdleTimer returns a timer that isn't running.
func newIdleTimer(mayGiveUp func() bool, cancel context.CancelCauseFunc) *idleTimer {
	return &idleTimer{mayGiveUp: mayGiveUp, cancel: cancel}
}

// start waits for data from the upstream for at most limit.
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

// expire handles the end of the limit. The lock is released while mayGiveUp runs, which takes
// locks of its own.
func (t *idleTimer) expire() {
	t.mu.Lock()
	waiting := t.waiting
	t.mu.Unlock()
	if !waiting {
		return
	}
	agreed := t.mayGiveUp()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.waiting:
	case agreed:
		t.ended = true
		t.cancel(errResponseTimeout)
	default:
		t.timer.Reset(t.limit)
	}
}

// expired reports whether the timer ended the attempt.
func (t *idleTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// pauseLimit returns how long a stream may be without an event. Where pauses are usually long
// because all engines are overloaded, giving up streams would add to the load.
func (a *attempt) pauseLimit() time.Duration {
	pauses := a.gateway.pauses.get(a.request.responseTimeKey())
	permitted := a.request.Route.MaxPause
	if permitted <= 0 {
		permitted = defaultTarget
	}
	return max(time.Duration(pauseFactor*float64(permitted)), pauses.multiple(timeoutFactor))
}
