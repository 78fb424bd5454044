package cut

import (
	"bytes"
	"io"
	"net"
)

// headListener cuts the connections that it accepts at BeforeHead.
type headListener struct {
	net.Listener
	Cutter *Cutter
	// UncutPrefixes are prefixes of request lines, for example "POST /faults".
	// Requests that begin with one of them are never cut.
	UncutPrefixes [][]byte
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn, listener: l}, nil
}

type headConn struct {
	net.Conn
	listener *headListener
	// firstByte is the first byte of a request if it was read alone: net/http
	// reads a single byte when it watches a connection for its end.
	firstByte []byte
}

// Read implements net.Conn. If the plan has a cut at BeforeHead, it discards
// the start of the request and closes the connection.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	start := append(c.firstByte, p[:n]...)
	c.firstByte = nil
	if len(start) == 1 {
		c.firstByte = start
		return n, err
	}
	if c.listener.mayCut(start) && c.listener.Cutter.Take(BeforeHead) {
		c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

// mayCut reports whether data is the start of a request that may be cut.
func (l *headListener) mayCut(data []byte) bool {
	for _, prefix := range l.UncutPrefixes {
		if bytes.HasPrefix(data, prefix) {
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
