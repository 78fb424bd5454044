package sealedconn

import (
	"net"
	"sync"
)

// trackedConn reports its writes to the call attached to it.
// httptrace.ClientTrace.WroteHeaders can't be used instead, because the transport
// calls it after it has written the headers to a buffer. The bytes may be sent long
// before or after that.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// call is the call attached to the connection. It is nil before a call is
	// attached, for example during the TLS handshake.
	call *Call
}

// Underlying returns the connection that a transport's dial function returned, given the one that the
// transport uses.
func Underlying(conn net.Conn) net.Conn {
	if tracked, ok := conn.(*trackedConn); ok {
		return tracked.Conn
	}
	return conn
}

func (c *trackedConn) setCall(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = call
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	call := c.call
	c.mu.Unlock()
	if call == nil {
		return c.Conn.Write(p)
	}
	if err := call.startWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	call.endWrite(n, err)
	return n, err
}

// closeIfAttached closes the connection if call is still attached to it.
func (c *trackedConn) closeIfAttached(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == call {
		_ = c.Conn.Close()
	}
}
