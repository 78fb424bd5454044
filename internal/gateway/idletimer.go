package gateway

import (
	"sync"
	"time"
)

// pauseFactor is a multiple of the permitted pause between two events: a stream that receives no
// event for that long is resumed at another upstream. Nothing else detects an upstream that stopped
// responding for good. The factor is above 1 because overloaded engines exceed the permitted pause,
// and giving up their streams sooner would add to the load.
const pauseFactor = 1.5

// idleTimer ends an attempt when no data was received from the upstream within a limit, if reserve returns a successor. If it
// returns nil, the timer waits for the limit again and then repeats the call, since there may be one by then.
type idleTimer struct {
	reserve func() *successor

	// deciding is held while the timer decides whether to end the attempt.
	deciding sync.Mutex

	mu    sync.Mutex
	timer *time.Timer
	limit time.Duration
	// waiting is set while the attempt waits for data from the upstream; ended is set when the
	// timer ended the attempt.
	waiting bool
	ended   bool
	// waitBegan is when the present wait began. endedAfter is how long the wait had lasted when the timer ended the attempt, and
	// endedLimit its limit.
	waitBegan              time.Time
	endedAfter, endedLimit time.Duration
}

// newIdleTimer returns a timer that isn't running.
func newIdleTimer(reserve func() *successor) *idleTimer { return &idleTimer{reserve: reserve} }

// start starts the timer: the attempt waits for data from the upstream for at most limit.
func (t *idleTimer) start(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.waiting, t.waitBegan = limit, true, time.Now()
	if t.timer == nil {
		t.timer = time.AfterFunc(limit, t.expire)
		return
	}
	t.timer.Reset(limit)
}

// stop stops the timer and waits for a decision that is being made, which doesn't end the attempt any more.
func (t *idleTimer) stop() {
	t.mu.Lock()
	t.waiting = false
	t.timer.Stop()
	t.mu.Unlock()
	// A decision in progress holds this lock.
	t.deciding.Lock()
	defer t.deciding.Unlock()
}

// expire ends the attempt if it still waits for data after the limit and a successor is reserved. If there is none, expire
// restarts the timer. It releases the lock while reserve runs, which takes other locks.
func (t *idleTimer) expire() {
	t.deciding.Lock()
	defer t.deciding.Unlock()
	if !t.isDue() {
		return
	}
	next := t.reserve()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case next == nil && t.waiting:
		t.timer.Reset(t.limit)
	case next == nil:
	case !t.waiting:
		next.release()
	default:
		t.endedAfter, t.endedLimit = time.Since(t.waitBegan), t.limit
		t.ended = next.replaceRun(errResponseTimeout)
	}
}

// isDue reports whether the present wait has lasted for its limit. On a busy host, expire may begin to run for an earlier wait
// only after the present one began.
func (t *idleTimer) isDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting && time.Since(t.waitBegan) >= t.limit
}

// expired reports whether the timer ended the attempt.
func (t *idleTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// endedWait returns how long the wait that the timer ended had lasted, and its limit; ok is false if the timer ended none.
func (t *idleTimer) endedWait() (waited, limit time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endedAfter, t.endedLimit, t.ended
}

// pauseLimit returns how long the stream may send no event before it is given up. The limit is
// higher where long pauses are usual because all engines are overloaded, since giving up streams
// would add to the load.
func (a *attempt) pauseLimit() time.Duration {
	pauses := a.gateway.streamPauses.get(a.request.responseTimeKey())
	permitted := a.request.Route.MaxPause
	if permitted <= 0 {
		permitted = defaultTarget
	}
	return max(time.Duration(pauseFactor*float64(permitted)), pauses.scaledMean(timeoutFactor))
}
