package sealedconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http/httptrace"
	"sync"
)

var (
	// errCallEnded is returned by a write for a call that was sealed.
	errCallEnded = errors.New("sealedconn: the call has ended")
	// errAlreadySent is returned by a write for a call that was already written to
	// another connection and isn't repeatable.
	errAlreadySent = errors.New("sealedconn: the call was already sent on another connection")
)

// Progress is how much of a call was written to connections.
type Progress int

const (
	// NotStarted means that no write of the call started.
	NotStarted Progress = iota
	// NothingWritten means that all writes of the call failed and wrote no byte.
	NothingWritten
	// Written means that a byte of the call may have been written.
	Written
)

// Call tracks the writes of one HTTP call on the connections that the transport
// selects for it. The zero value is a call that must not be sent twice. It is safe
// for concurrent use.
type Call struct {
	// Repeatable allows the transport to resend the call on a second
	// connection. Default: false.
	Repeatable bool
	// Admit, if set, is called before the first write of the call while the call's mutex is
	// held. If it returns an error, the write fails with it, and the call is sealed.
	Admit func() error
	// OnWrite, if set, is called before each write of the call while the call's
	// mutex is held.
	OnWrite func()

	mu     sync.Mutex
	sealed bool
	// lastConn is the connection that the transport last selected for the call. It is
	// nil before the first selection.
	lastConn *trackedConn
	// writtenConn is the connection of the call's latest write. It is nil before the
	// first write.
	writtenConn *trackedConn
	// pendingWrites counts the writes that have not returned yet.
	pendingWrites int
	// maybeWritten is true if a write may have written a byte, or if the selected
	// connection isn't a trackedConn.
	maybeWritten bool
	// writesEnded is signaled at the end of a write, and when the transport has passed the whole request to lastConn or
	// given up. Then passedOn is set, and writeFailed if that or a write failed.
	writesEnded           sync.Cond
	passedOn, writeFailed bool
}

// callKey is the key of the call in the context of its request.
type callKey struct{}

// Trace returns a context for the request. With it, the call is attached to each
// connection that the transport selects, before the first byte is written.
func (c *Call) Trace(ctx context.Context) context.Context {
	c.writesEnded.L = &c.mu
	return httptrace.WithClientTrace(context.WithValue(ctx, callKey{}, c), &httptrace.ClientTrace{GotConn: c.gotConn, WroteRequest: c.wroteRequest})
}

// wroteRequest implements httptrace.ClientTrace.WroteRequest. The transport calls it before it writes the last of its
// buffer.
func (c *Call) wroteRequest(info httptrace.WroteRequestInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passedOn = true
	c.writeFailed = c.writeFailed || info.Err != nil
	c.writesEnded.Broadcast()
}

// wroteWhole reports whether the request was written whole, after all writes have ended. It must be called after the end
// of a response that ends with its connection only: the transport closes the connection then, which ends a write that
// waits for the peer.
func (c *Call) wroteWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.lastConn != nil && (!c.passedOn || c.pendingWrites > 0) {
		c.writesEnded.Wait()
	}
	return !c.writeFailed
}

// gotConn implements httptrace.ClientTrace.GotConn. The transport calls it in the
// goroutine of RoundTrip before it passes the request to the connection.
func (c *Call) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	if tracked, ok := conn.(*trackedConn); ok {
		c.attach(tracked)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maybeWritten = true
}

// attach assigns the connection to the call. The transport reuses a connection once
// the response to its previous call has arrived, but the goroutine of that call may
// not have processed the response yet and may still call Abandon.
func (c *Call) attach(conn *trackedConn) {
	c.mu.Lock()
	c.lastConn = conn
	c.passedOn, c.writeFailed = false, false
	c.mu.Unlock()
	conn.setCall(c)
}

// Seal makes all further writes of the call fail and returns its progress.
func (c *Call) Seal() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	switch {
	case c.maybeWritten || c.pendingWrites > 0:
		return Written
	case c.writtenConn != nil:
		return NothingWritten
	default:
		return NotStarted
	}
}

// Abandon seals the call and closes its connection, unless the connection is already
// attached to another call. It returns the call's progress.
func (c *Call) Abandon() Progress {
	progress := c.Seal()
	c.mu.Lock()
	conn := c.lastConn
	c.mu.Unlock()
	if conn != nil {
		conn.closeIfAttached(c)
	}
	return progress
}

// startWrite records a write before its first byte, because the receiver can process
// the bytes before Write returns. It returns an error if the write isn't allowed.
func (c *Call) startWrite(conn *trackedConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errCallEnded
	}
	if c.writtenConn != nil && c.writtenConn != conn && !c.Repeatable {
		return errAlreadySent
	}
	if c.writtenConn == nil && c.Admit != nil {
		if err := c.Admit(); err != nil {
			c.sealed = true
			return err
		}
	}
	c.writtenConn = conn
	c.pendingWrites++
	if c.OnWrite != nil {
		c.OnWrite()
	}
	return nil
}

// endWrite records the result of a write.
func (c *Call) endWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingWrites--
	c.maybeWritten = c.maybeWritten || n > 0 || err == nil
	c.writeFailed = c.writeFailed || err != nil
	c.writesEnded.Broadcast()
}
