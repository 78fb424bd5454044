package cut

import (
	"io"
	"net"
	"sync/atomic"
)

// Unlimited is a limit that no connection reaches, in bytes.
const Unlimited = 1 << 40

// Limits holds the number of bytes after which a connection is closed, for
// each direction.
type Limits struct{ Request, Answer int64 }

// LimitListener closes each connection that it accepts after a given number of
// bytes.
type LimitListener struct {
	net.Listener
	// NextLimits returns the limits of the next connection.
	NextLimits func() Limits

	requestBytes, answerBytes atomic.Int64
}

// BytesPassed returns the total number of bytes read from (requests) and written
// to (answers) all connections.
func (l *LimitListener) BytesPassed() (requestBytes, answerBytes int64) {
	return l.requestBytes.Load(), l.answerBytes.Load()
}

// Accept implements net.Listener.
func (l *LimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitConn{Conn: conn, listener: l, remaining: l.NextLimits()}, nil
}

// limitConn is the server side of a connection.
type limitConn struct {
	net.Conn
	listener  *LimitListener
	remaining Limits
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (int, error) {
	if c.remaining.Request == 0 {
		_ = c.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.remaining.Request)])
	c.remaining.Request -= int64(n)
	c.listener.requestBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *limitConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(int64(len(p)), c.remaining.Answer)])
	c.remaining.Answer -= int64(n)
	c.listener.answerBytes.Add(int64(n))
	if n < len(p) {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, err
}
