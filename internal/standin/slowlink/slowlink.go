// Package slowlink makes a server's answers as slow as a small network link would.
package slowlink

import (
	"net"
	"time"
)

// interval is the time between the parts in which a connection sends.
const interval = 20 * time.Millisecond

// Listener accepts connections that send at Rate bytes a second each.
type Listener struct {
	net.Listener
	Rate int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{accepted, l.Rate}, nil
}

type conn struct {
	net.Conn
	rate int
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	part := max(1, int(float64(c.rate)*interval.Seconds()))
	sent := 0
	for sent < len(p) {
		n, err := c.Conn.Write(p[sent:min(len(p), sent+part)])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(interval)
	}
	return sent, nil
}
