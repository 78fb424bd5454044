// Package stall ends calls whose answer stops arriving, however long the answer is.
//
// A timeout for a whole call limits the size of its answer: an answer that the link can't carry
// in that time is cut off, requested again and cut off again, and never arrives. A Guard
// instead bounds the time without data, before the first part of an answer and between two
// parts.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrStalled means that a call was ended because no part of its answer arrived for too long. It
// wraps context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("stall: nothing received in time: %w", context.DeadlineExceeded)

// Guard cancels a context unless progress is reported in time. It is safe for concurrent use.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// WithTimeout returns a context that ends with the parent, or when the guard's Progress isn't
// called for the given time. Stop must be called when the call has ended.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, &Guard{ctx: ctx, cancel: cancel, timer: timer}
}

// Progress restarts the timeout, with the given duration. It has no effect on an ended context.
func (g *Guard) Progress(timeout time.Duration) { g.timer.Reset(timeout) }

// Stop ends the context and releases its resources.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// Explain returns the error of a call that used the context, wrapped in ErrStalled if the guard
// ended the call.
func (g *Guard) Explain(err error) error {
	if err == nil || errors.Is(err, ErrStalled) || !errors.Is(context.Cause(g.ctx), ErrStalled) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrStalled, err)
}

// maxPartBytes is the maximum number of bytes that Reader reads at once. The reader of a
// chunked HTTP body fills the buffer that it is given before it returns. A link of 0.2 Mbit/s
// carries a part of this size within a timeout of 0.8 s, so that only slower links count as
// stalled.
const maxPartBytes = 16 << 10

// Reader reports what is read from an answer, in parts of at most 16 KB.
type Reader struct {
	io.Reader
	// OnReceived is called with the size of each part, in bytes.
	OnReceived func(bytes int)
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxPartBytes)])
	if n > 0 {
		r.OnReceived(n)
	}
	return n, err
}
