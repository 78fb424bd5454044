package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// frameWait limits the wait for one frame. The wait begins with the first read for
// the frame, not with the previous frame, so that the time that a slow caller takes
// between frames isn't attributed to the engine.
type frameWait struct {
	// frameTimeout limits the whole wait. stallTimeout limits the wait on one
	// connection. gapTimeout limits the wait on one connection while later frames
	// have already arrived.
	frameTimeout, stallTimeout, gapTimeout time.Duration
	// deadline is when the whole wait expires. It is zero before the first read.
	deadline time.Time
}

// reset clears the deadline for the next frame.
func (w *frameWait) reset() { w.deadline = time.Time{} }

// startAndGetRemaining returns the time until the deadline. The first call after reset
// starts the wait and sets the deadline.
func (w *frameWait) startAndGetRemaining() time.Duration {
	if w.deadline.IsZero() {
		w.deadline = time.Now().Add(w.frameTimeout)
		return w.frameTimeout
	}
	return time.Until(w.deadline)
}

// readTimeout returns how long to wait for the frame on the current connection.
// hasGap is true if later frames have already arrived.
func (w *frameWait) readTimeout(hasGap bool) time.Duration {
	if hasGap {
		return min(w.startAndGetRemaining(), w.gapTimeout)
	}
	return min(w.startAndGetRemaining(), w.stallTimeout)
}

// responseConn reads the response on one connection. A read that takes longer
// than readTimeout closes the connection but leaves the stream open.
type responseConn struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	readTimeout func() time.Duration
	body        io.ReadCloser
}

func newResponseConn(ctx context.Context, readTimeout func() time.Duration) *responseConn {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(placeholderTimeout, func() { cancel(errStalled) })
	timer.Stop()
	return &responseConn{ctx: ctx, cancel: cancel, timer: timer, readTimeout: readTimeout}
}

// placeholderTimeout is the duration, in nanoseconds, with which a timer is created. The
// timer is stopped at once and reset before each read. The duration is longer than any
// connection stays open.
const placeholderTimeout = 1 << 62

// Read implements io.Reader.
func (c *responseConn) Read(p []byte) (int, error) {
	c.timer.Reset(c.readTimeout())
	n, err := c.body.Read(p)
	c.timer.Stop()
	if err != nil && err != io.EOF && errors.Is(context.Cause(c.ctx), errStalled) {
		err = errStalled
	}
	return n, err
}

// close closes the response body and cancels the request with cause.
func (c *responseConn) close(cause error) {
	c.timer.Stop()
	if c.body != nil {
		c.body.Close()
	}
	c.cancel(cause)
}
