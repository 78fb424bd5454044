package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	// errHoldShortened means that a held call was canceled to make one with a shorter hold.
	errHoldShortened = errors.New("feed: held call canceled because other hosts now rely on this one")
	// errUpdateReceived means that a call was canceled, or not made, because another host sent an
	// update that makes it unnecessary.
	errUpdateReceived = errors.New("feed: another host sent an update")
)

// callInFlight holds the watcher's call in flight; call is nil if there is none.
type callInFlight struct {
	mu         sync.Mutex
	call       *storeCall
	cancelCall context.CancelCauseFunc
}

// begin registers the call. It returns the call's context, and a function that must be called when
// the call has ended.
func (f *callInFlight) begin(ctx context.Context, c *storeCall) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.set(c, cancel)
	return ctx, func() {
		f.set(nil, nil)
		cancel(context.Canceled)
	}
}

func (f *callInFlight) set(c *storeCall, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.call, f.cancelCall = c, cancel
}

// cancel cancels the call in flight with the cause.
func (f *callInFlight) cancel(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.call != nil {
		f.cancelCall(cause)
	}
}

// cancelUnanswered cancels the call in flight with the cause if the store may hold it for longer
// than the duration, and its answer hasn't begun to arrive.
func (f *callInFlight) cancelUnanswered(hold time.Duration, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.call != nil && f.call.hold > hold && f.call.answeredAt.Load() == 0 {
		f.cancelCall(cause)
	}
}

// receiving returns for how long the answer to the call in flight has been arriving, and how many bytes
// have arrived; 0 if none is.
func (w *Watcher) receiving() (since time.Duration, bytes uint64) {
	w.inFlight.mu.Lock()
	defer w.inFlight.mu.Unlock()
	c := w.inFlight.call
	if c == nil || c.answeredAt.Load() == 0 {
		return 0, 0
	}
	return w.sinceStart() - time.Duration(c.answeredAt.Load()), c.receivedBytes.Load()
}

// readsLongAnswer reports whether the answer to the call in flight takes so long that hosts which rely on
// this one should call the store themselves: the time until they notice, their own call and the rest of
// this one must not add up to more than ApplyTime. If the answer arrives slowly, that is expected from the
// sizes of the large rows before it has taken so long.
func (w *Watcher) readsLongAnswer() bool {
	since, bytes := w.receiving()
	limit := time.Duration(transferFraction * float64(w.options.ApplyTime))
	if since < slowAnswer || since >= limit {
		return since >= limit
	}
	expected := storeOverhead * float64(w.recent.largeRowBytes())
	return float64(bytes)*limit.Seconds()/since.Seconds() < expected
}

// pauseAfterChange waits before the next call until batchDelay has passed since the answer, so that
// the call covers several further changes. answeredAt is the time since the watcher's start.
// ShortenHold ends the pause.
func (w *Watcher) pauseAfterChange(ctx context.Context, answeredAt time.Duration) error {
	select {
	case <-w.holdShortened:
	default: // discard a signal from before the pause
	}
	timer := time.NewTimer(max(0, w.batchDelay()-(w.sinceStart()-answeredAt)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-w.holdShortened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pauseAfterFailure waits before the next call, or until another host sends an update that can be
// applied.
func (w *Watcher) pauseAfterFailure(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for !w.canAdvance() {
		select {
		case <-w.relayed.updated:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ShortenHold cancels the call in flight if the store may hold it for longer than a relaying
// watcher's calls and hasn't begun to answer. Otherwise hosts that begin to rely on this one
// would receive no update until that call ends.
func (w *Watcher) ShortenHold() {
	select {
	case w.holdShortened <- struct{}{}:
	default: // a signal is already pending
	}
	w.inFlight.cancelUnanswered(w.relayHold(), errHoldShortened)
}
