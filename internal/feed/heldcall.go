package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errHoldShortened means that a held call was canceled to make one with a shorter hold.
var errHoldShortened = errors.New("feed: held call canceled because other hosts now rely on this one")

// heldCall holds the call in flight if the store may hold that call for longer than the calls of
// a relaying watcher. Otherwise call is nil.
type heldCall struct {
	mu     sync.Mutex
	call   *storeCall
	cancel context.CancelCauseFunc
}

// begin registers the call if the store may hold it for longer than the limit. It returns the
// call's context, and a function that must be called when the call has ended.
func (h *heldCall) begin(ctx context.Context, c *storeCall, limit time.Duration) (context.Context, func()) {
	if c.hold <= limit {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	h.set(c, cancel)
	return ctx, func() {
		h.set(nil, nil)
		cancel(context.Canceled)
	}
}

func (h *heldCall) set(c *storeCall, cancel context.CancelCauseFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.call, h.cancel = c, cancel
}

// pauseAfterChange waits before the next call, so that this call covers several further
// changes. ShortenHold ends the pause.
func (w *Watcher) pauseAfterChange(ctx context.Context) error {
	select {
	case <-w.holdShortened:
	default: // discard a signal from before the pause
	}
	timer := time.NewTimer(w.batchDelay())
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

// ShortenHold cancels the call in flight if the store may hold it for longer than a relaying
// watcher's calls and hasn't begun to answer. Otherwise hosts that begin to rely on this one
// would receive no update until that call ends.
func (w *Watcher) ShortenHold() {
	select {
	case w.holdShortened <- struct{}{}:
	default: // a signal is already pending
	}
	h := &w.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.call != nil && h.call.answeredAt.Load() == 0 {
		h.cancel(errHoldShortened)
	}
}
