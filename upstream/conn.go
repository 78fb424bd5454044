package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// frameClock bounds the wait for one frame. It starts with the first read for
// the frame, so a slow caller isn't taken for a slow engine.
type frameClock struct {
	// frame bounds the whole wait, stall the wait on one connection, gap that
	// on a connection which already gave later frames.
	frame, stall, gap time.Duration
	// deadline is the end of the whole wait; zero before the first read.
	deadline time.Time
}

// start begins the wait for the next frame.
func (c *frameClock) start() { c.deadline = time.Time{} }

// remaining is the time left for the frame.
func (c *frameClock) remaining() time.Duration {
	if c.deadline.IsZero() {
		c.deadline = time.Now().Add(c.frame)
		return c.frame
	}
	return time.Until(c.deadline)
}

// patience is the time left for the frame on one connection.
func (c *frameClock) patience(gap bool) time.Duration {
	if gap {
		return min(c.remaining(), c.gap)
	}
	return min(c.remaining(), c.stall)
}

// answerConn is one connection's answer. A read that takes longer than
// patience ends the connection, not the stream.
type answerConn struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	patience func() time.Duration
	body     io.ReadCloser
}

func newAnswerConn(ctx context.Context, patience func() time.Duration) *answerConn {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(never, func() { cancel(errStalled) })
	timer.Stop()
	return &answerConn{ctx: ctx, cancel: cancel, timer: timer, patience: patience}
}

// never is beyond the life of any connection.
const never = 1 << 62

// Read implements io.Reader.
func (c *answerConn) Read(p []byte) (int, error) {
	c.timer.Reset(c.patience())
	n, err := c.body.Read(p)
	c.timer.Stop()
	if err != nil && err != io.EOF && errors.Is(context.Cause(c.ctx), errStalled) {
		err = errStalled
	}
	return n, err
}

// close ends the connection.
func (c *answerConn) close(cause error) {
	c.timer.Stop()
	if c.body != nil {
		c.body.Close()
	}
	c.cancel(cause)
}
