package cut

import (
	"io"
	"net"
	"sync/atomic"
)

// Unlimited is more bytes than any connection carries.
const Unlimited = 1 << 40

// Limits says after how many bytes a connection is cut in each direction.
type Limits struct{ Request, Answer int64 }

// LimitListener cuts each connection of an inner listener at a byte.
type LimitListener struct {
	net.Listener
	// Plan gives the limits of the next connection.
	Plan func() Limits

	requests, answers atomic.Int64
}

// Passed returns the bytes that all connections passed on so far.
func (l *LimitListener) Passed() (requests, answers int64) {
	return l.requests.Load(), l.answers.Load()
}

// Accept implements net.Listener.
func (l *LimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitConn{Conn: conn, listener: l, left: l.Plan()}, nil
}

// limitConn is the server's side of a connection.
type limitConn struct {
	net.Conn
	listener *LimitListener
	left     Limits
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (int, error) {
	if c.left.Request == 0 {
		_ = c.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left.Request)])
	c.left.Request -= int64(n)
	c.listener.requests.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *limitConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(int64(len(p)), c.left.Answer)])
	c.left.Answer -= int64(n)
	c.listener.answers.Add(int64(n))
	if n < len(p) {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, err
}
