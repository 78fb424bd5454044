// Package relay passes TCP connections on to a target and cuts them on demand. It
// stands in for the network between two processes.
//
// The end-to-end tests put one before each link of an entry host. A cut looks to
// both ends like a closed connection; packets that are lost without a word, and
// slow links, aren't part of it.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay listens on one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	// serving counts the goroutines that Close waits for.
	serving sync.WaitGroup

	mu     sync.Mutex
	target string
	cut    func(from string) bool
	// conns are the accepted connections with their source IPs.
	conns map[net.Conn]string
}

// Listen starts a relay on a free port of the IP. The target may be set later.
func Listen(ip, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]string)}
	r.serving.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget names the target of connections that come from now on.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// CutFrom breaks the connections from source IPs that match, and refuses new
// ones, until it is called again. Nil heals.
func (r *Relay) CutFrom(match func(ip string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = match
	if match == nil {
		return
	}
	for conn, from := range r.conns {
		if match(from) {
			conn.Close()
		}
	}
}

// CutAll breaks all connections and refuses new ones until Heal.
func (r *Relay) CutAll() { r.CutFrom(func(string) bool { return true }) }

// Heal ends a cut.
func (r *Relay) Heal() { r.CutFrom(nil) }

// Close cuts all connections and waits for their end.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.CutAll()
	r.serving.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.serving.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(conn net.Conn) {
	defer conn.Close()
	from, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	address, ok := r.add(conn, from)
	if !ok {
		return
	}
	defer r.remove(conn)
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	var wait sync.WaitGroup
	wait.Go(func() {
		_, _ = io.Copy(target, conn)
		target.Close()
	})
	_, _ = io.Copy(conn, target)
	conn.Close()
	wait.Wait()
}

// add registers a connection and returns the target, unless it is cut.
func (r *Relay) add(conn net.Conn, from string) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil && r.cut(from) {
		return "", false
	}
	r.conns[conn] = from
	return r.target, true
}

func (r *Relay) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
