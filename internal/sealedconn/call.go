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
	// writeEnded is closed when the transport has ended writing the request to lastConn; isWriteEnded is set then, and
	// wroteWhole if it wrote all of it. writeEnded is nil before the first selection.
	writeEnded               chan struct{}
	isWriteEnded, wroteWhole bool
}

// callKey is the key of the call in the context of its request.
type callKey struct{}

// Trace returns a context for the request. With it, the call is attached to each
// connection that the transport selects, before the first byte is written.
func (c *Call) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(context.WithValue(ctx, callKey{}, c), &httptrace.ClientTrace{GotConn: c.gotConn, WroteRequest: c.wroteRequest})
}

// wroteRequest implements httptrace.ClientTrace.WroteRequest.
func (c *Call) wroteRequest(info httptrace.WroteRequestInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeEnded != nil && !c.isWriteEnded {
		c.isWriteEnded, c.wroteWhole = true, info.Err == nil
		close(c.writeEnded)
	}
}

// awaitWritten waits until the transport has ended writing the request, and reports whether it wrote it whole. It is
// called at the end of the response, when the transport closes the connection, which ends a write.
func (c *Call) awaitWritten(ctx context.Context) bool {
	c.mu.Lock()
	ended := c.writeEnded
	c.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wroteWhole && c.pendingWrites == 0
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
	c.writeEnded, c.isWriteEnded, c.wroteWhole = make(chan struct{}), false, false
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

// endWrite records the end of a write and whether it may have written a byte.
func (c *Call) endWrite(written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingWrites--
	c.maybeWritten = c.maybeWritten || written
}
