package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on to a target, and cuts them on demand.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	cut      func(from string) bool
	conns    map[net.Conn]string // to the source IP
}

// newRelay starts a relay on the IP; it ends with the test.
func newRelay(t *testing.T, ip, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]string{}}
	var wait sync.WaitGroup
	wait.Go(func() { r.accept(&wait) })
	t.Cleanup(func() {
		listener.Close()
		r.cutFrom(func(string) bool { return true })
		wait.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// cutFrom breaks the connections from source IPs that match, and refuses new
// ones, until it is called again. Nil heals.
func (r *relay) cutFrom(match func(ip string) bool) {
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

func (r *relay) cutAll() { r.cutFrom(func(string) bool { return true }) }

// setTarget names the target, for a relay that began without one.
func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

func (r *relay) heal() { r.cutFrom(nil) }

func (r *relay) accept(wait *sync.WaitGroup) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		wait.Go(func() { r.serve(conn) })
	}
}

func (r *relay) serve(conn net.Conn) {
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
func (r *relay) add(conn net.Conn, from string) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil && r.cut(from) {
		return "", false
	}
	r.conns[conn] = from
	return r.target, true
}

func (r *relay) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
