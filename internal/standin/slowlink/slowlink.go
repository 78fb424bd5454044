// Package slowlink limits the rate at which a server sends, as a network link
// of low bandwidth does.
package slowlink

import (
	"net"
	"time"
)

// writeInterval is the pause after each chunk that a connection sends; a chunk
// has as many bytes as the rate allows in that time.
const writeInterval = 20 * time.Millisecond

// Listener accepts connections that each send at most Rate bytes per second.
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
	chunk := max(1, int(float64(c.rate)*writeInterval.Seconds()))
	sent := 0
	for sent < len(p) {
		n, err := c.Conn.Write(p[sent:min(len(p), sent+chunk)])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(writeInterval)
	}
	return sent, nil
}
