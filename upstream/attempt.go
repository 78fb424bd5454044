package upstream

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/quetzalweir/quetzalweir/runstate"
)

var (
	errSealed   = errors.New("upstream: the call has already failed")
	errRepeated = errors.New("upstream: the call was already sent on another connection")
)

// attempt ties the bytes written for one call to the call's run state. It is
// the only judge of whether something was sent: a failed call is sealed, and
// a byte that is not yet written then is never written.
type attempt struct {
	state *runstate.Tracker
	// repeatable lets the transport send the call again on a second
	// connection. Default: false.
	repeatable bool

	mu     sync.Mutex
	sealed bool
	// writer is the connection that got the first byte; nil before that.
	writer *trackedConn
}

// allow is asked before each write. It raises the run state before the bytes
// go out, because the upstream can act on them before Write returns.
func (a *attempt) allow(c *trackedConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errSealed
	}
	if a.writer != nil && a.writer != c && !a.repeatable {
		return errRepeated
	}
	a.writer = c
	a.state.Raise(runstate.MayHaveRun)
	return nil
}

// seal forbids further writes and says whether any was made.
func (a *attempt) seal() (written bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.writer != nil
}

// trace returns a context under which the transport attaches the attempt to
// each connection that it picks, before the first byte is written.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				c.attach(a)
			}
		},
	})
}

// trackedConn reports its writes to the attempt that uses the connection.
// httptrace.WroteHeaders is no substitute: it fires after a write into a
// buffer, which can be long before or after the bytes are sent.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	attempt *attempt
}

func (c *trackedConn) attach(a *attempt) {
	c.mu.Lock()
	c.attempt = a
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a != nil {
		if err := a.allow(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
