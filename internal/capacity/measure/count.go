package measure

import (
	"net"
	"sync/atomic"
	"time"
)

// wire counts the bytes of the connections that a listener accepted.
type wire struct {
	in, out, conns atomic.Int64
}

// settled returns the bytes in both directions once they have stopped rising:
// a caller may have an answer before its writer has counted it.
func (w *wire) settled() float64 {
	for {
		before := w.in.Load() + w.out.Load()
		time.Sleep(settleTime)
		if after := w.in.Load() + w.out.Load(); after == before {
			return float64(after)
		}
	}
}

const settleTime = 10 * time.Millisecond

// listen returns a listener on loopback whose connections are counted.
func (w *wire) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l, wire: w}, nil
}

type countingListener struct {
	net.Listener
	wire *wire
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.wire.conns.Add(1)
	return &countingConn{Conn: conn, wire: l.wire}, nil
}

type countingConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Add(int64(n))
	return n, err
}
