package cut

import (
	"bytes"
	"io"
	"net"
)

// headListener cuts connections of an inner listener at BeforeHead.
type headListener struct {
	net.Listener
	Cutter *Cutter
	// Spared are the starts of requests that are never cut, for example
	// "POST /faults".
	Spared [][]byte
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, listener: l}, nil
}

type cutConn struct {
	net.Conn
	listener *headListener
	// first is a lone first byte of a request: the server reads it apart when
	// it watches a connection for its end.
	first []byte
}

// Read implements net.Conn. It swallows the start of a request and closes the
// connection if the plan says so.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	start := append(c.first, p[:n]...)
	c.first = nil
	if len(start) == 1 {
		c.first = start
		return n, err
	}
	if c.listener.affects(start) && c.listener.Cutter.Take(BeforeHead) {
		c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

// affects says whether data is the start of a request that may be cut.
func (l *headListener) affects(data []byte) bool {
	for _, start := range l.Spared {
		if bytes.HasPrefix(data, start) {
			return false
		}
	}
	return startsRequest(data)
}

func startsRequest(data []byte) bool {
	for _, method := range []string{"GET ", "POST ", "PUT ", "DELETE ", "PATCH ", "HEAD "} {
		if bytes.HasPrefix(data, []byte(method)) {
			return true
		}
	}
	return false
}
