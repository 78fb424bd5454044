package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errHurried means that a held call was given up for one with a shorter hold.
var errHurried = errors.New("feed: others rely on this host now")

// heldCall is the call under way that the store may hold for long.
type heldCall struct {
	mu     sync.Mutex
	call   *storeCall
	cancel context.CancelCauseFunc
}

// begin notes a call that the store may hold for longer than the limit. It returns the
// call's context and what ends it.
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

// pauseAfterChange gathers further changes before the next call. Hurry ends the pause.
func (w *Watcher) pauseAfterChange(ctx context.Context) error {
	select {
	case <-w.hurried:
	default: // no signal from before the pause
	}
	timer := time.NewTimer(w.gather())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-w.hurried:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Hurry gives up the call that the store holds, if it may hold it for longer than one
// that others rely on and hasn't begun to answer: other hosts begin to rely on this one,
// and would hear nothing until the call is over.
func (w *Watcher) Hurry() {
	select {
	case w.hurried <- struct{}{}:
	default: // a signal is waiting already
	}
	h := &w.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.call != nil && h.call.answeredAt.Load() == 0 {
		h.cancel(errHurried)
	}
}
