package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// frameWait limits the wait for one frame. The time starts with the first read
// for the frame, so that a slow caller doesn't count as a slow engine.
type frameWait struct {
	// frameTimeout limits the whole wait, stallTimeout the wait on one
	// connection, gapTimeout the wait on one connection that has already
	// delivered later frames.
	frameTimeout, stallTimeout, gapTimeout time.Duration
	// deadline is when the whole wait expires; zero before the first read.
	deadline time.Time
}

// reset clears the deadline for the next frame.
func (c *frameWait) reset() { c.deadline = time.Time{} }

// remaining returns the time until the deadline, which the first call after
// reset sets.
func (c *frameWait) remaining() time.Duration {
	if c.deadline.IsZero() {
		c.deadline = time.Now().Add(c.frameTimeout)
		return c.frameTimeout
	}
	return time.Until(c.deadline)
}

// readTimeout returns how long to wait for the frame on the current connection.
// hasGap reports whether later frames have already arrived.
func (c *frameWait) readTimeout(hasGap bool) time.Duration {
	if hasGap {
		return min(c.remaining(), c.gapTimeout)
	}
	return min(c.remaining(), c.stallTimeout)
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
	timer := time.AfterFunc(noTimeout, func() { cancel(errStalled) })
	timer.Stop()
	return &responseConn{ctx: ctx, cancel: cancel, timer: timer, readTimeout: readTimeout}
}

// noTimeout is longer than any connection stays open.
const noTimeout = 1 << 62

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
