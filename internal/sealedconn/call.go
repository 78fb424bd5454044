package sealedconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http/httptrace"
	"sync"
)

var (
	// errSealed is the error of a write for a call that has ended.
	errSealed = errors.New("sealedconn: the call has ended")
	// errRepeated is the error of a write for a call that another connection
	// was already written to for.
	errRepeated = errors.New("sealedconn: the call was already sent on another connection")
)

// Progress says how far the sending of a call came.
type Progress int

const (
	// Untouched means that no write of the call began.
	Untouched Progress = iota
	// Begun means that all writes of the call failed without a byte.
	Begun
	// Written means that a byte of the call may have been written.
	Written
)

// Call follows one call to the connections that the transport gives it. The
// zero value is a call that mustn't be sent twice. It is safe for concurrent
// use.
type Call struct {
	// Repeatable lets the transport send the call again on a second
	// connection. Default: false.
	Repeatable bool
	// OnWrite is called before each write of the call, under its lock. Default:
	// none.
	OnWrite func()

	mu     sync.Mutex
	sealed bool
	// conn is the connection that the call got last; nil before the first.
	conn *followedConn
	// writer is the connection that got the first write; nil before that.
	writer *followedConn
	// pending counts the writes that have not returned yet.
	pending int
	// written says that a write handed over a byte, or that the call got a
	// connection which can't be followed.
	written bool
}

// Trace returns a context under which the transport attaches the call to each
// connection that it picks, before the first byte is written.
func (c *Call) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.gotConn})
}

// gotConn is the httptrace hook. The transport calls it in the goroutine of
// RoundTrip before it passes the request on to the connection.
func (c *Call) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if followed, ok := conn.(*followedConn); ok {
		c.attach(followed)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = true
}

// attach gives the connection to the call. The transport does so only when the
// call before has been answered, though that call may not have noticed yet.
func (c *Call) attach(conn *followedConn) {
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	conn.setCall(c)
}

// Seal forbids further writes of the call and says how far it came.
func (c *Call) Seal() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	switch {
	case c.written || c.pending > 0:
		return Written
	case c.writer != nil:
		return Begun
	default:
		return Untouched
	}
}

// Abandon seals the call and closes its connection, unless another call has
// the connection by now.
func (c *Call) Abandon() Progress {
	progress := c.Seal()
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.closeFor(c)
	}
	return progress
}

// startWrite notes a write before its first byte, because the receiver can act
// on the bytes before Write returns.
func (c *Call) startWrite(conn *followedConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.writer != nil && c.writer != conn && !c.Repeatable {
		return errRepeated
	}
	c.writer = conn
	c.pending++
	if c.OnWrite != nil {
		c.OnWrite()
	}
	return nil
}

// endWrite notes whether the write may have handed over a byte.
func (c *Call) endWrite(written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.written = c.written || written
}
