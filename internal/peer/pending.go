package peer

import (
	"net"
	"sync"
)

// pendingPart divides MaxConns: a server may have that many unauthenticated connections beside the authenticated
// ones.
const pendingPart = 4

// pendingConns holds the connections that aren't authenticated yet, in the order of their arrival. Anybody who
// reaches the address can open them, so their number is bounded, and the oldest one is closed in favor of a new
// one: a host completes its handshake within a few round trips.
type pendingConns struct {
	most int

	mu    sync.Mutex
	conns []net.Conn
}

// add adds a connection and closes the oldest one if there are too many.
func (p *pendingConns) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.most {
		p.conns[0].Close()
		p.conns = p.conns[1:]
	}
	p.conns = append(p.conns, conn)
}

// remove removes a connection that was authenticated or ended.
func (p *pendingConns) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.conns {
		if c == conn {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			return
		}
	}
}
