// Package stall ends calls whose answer stops coming, however long it is.
//
// A limit on a call's whole time is a limit on the size of its answer: one that a
// link can't carry in that time is cut, asked for again and cut again, and what it
// tells is never heard. A Guard bounds the silence before an answer and within it.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrStalled means that a call was ended because nothing of its answer came for
// too long. It is a context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("stall: nothing received in time: %w", context.DeadlineExceeded)

// Guard ends a context unless it is told of progress in time. It is safe for
// concurrent use.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// WithTimeout returns a context that ends with the parent, or when the time is over
// without progress. Stop must be called when the call is over.
func WithTimeout(parent context.Context, silence time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(silence, func() { cancel(ErrStalled) })
	return ctx, &Guard{ctx: ctx, cancel: cancel, timer: timer}
}

// Progress allows the time of silence from now on. An ended context stays ended.
func (g *Guard) Progress(silence time.Duration) { g.timer.Reset(silence) }

// Stop ends the context and releases what it holds.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// Explain returns the error of a call under the context, as ErrStalled if it was
// the guard that ended it.
func (g *Guard) Explain(err error) error {
	if err == nil || errors.Is(err, ErrStalled) || !errors.Is(context.Cause(g.ctx), ErrStalled) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrStalled, err)
}

// maxPart is the most that is read at once, in bytes. The reader of a chunked HTTP
// body fills the buffer that it is given before it returns: within a silence of 0.8 s a
// link of 0.2 Mbit/s carries a part, so that slower ones alone count as silent.
const maxPart = 16 << 10

// Reader tells of what is read from an answer, in parts of 16 KB at most.
type Reader struct {
	io.Reader
	// Received is told of each part, in bytes.
	Received func(bytes int)
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxPart)])
	if n > 0 {
		r.Received(n)
	}
	return n, err
}
