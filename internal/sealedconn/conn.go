package sealedconn

import (
	"net"
	"sync"
)

// followedConn reports its writes to the call that has it.
// httptrace.WroteHeaders is no substitute: it fires after a write into a
// buffer, which can be long before or after the bytes are sent.
type followedConn struct {
	net.Conn

	mu sync.Mutex
	// call has the connection; nil before the first, while TLS writes its
	// handshake.
	call *Call
}

func (c *followedConn) setCall(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = call
}

// Write implements net.Conn.
func (c *followedConn) Write(p []byte) (int, error) {
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
	call.endWrite(n > 0 || err == nil)
	return n, err
}

// closeFor closes the connection if the call still has it.
func (c *followedConn) closeFor(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == call {
		_ = c.Conn.Close()
	}
}
