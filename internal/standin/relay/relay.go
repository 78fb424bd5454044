// Package relay passes TCP connections on to a target and cuts them on demand. It
// stands in for the network between two processes.
//
// The end-to-end tests put one before each link of an entry host. A cut looks to
// both ends like a closed connection; a silenced direction holds its bytes back
// until it is healed, as a partition does.
package relay

import (
	"fmt"
	"net"
	"sync"
	"time"
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
	// flow holds back and delays bytes, for each direction.
	flow [2]flow
	// rate is in bytes a second of each connection and direction; 0 without a limit.
	rate int
}

// Direction is one of the two ways through a relay.
type Direction int

const (
	// ToTarget is from the side that dialled.
	ToTarget Direction = iota
	// FromTarget is back to it.
	FromTarget
)

// flow is the state of one direction.
type flow struct {
	// open is closed while bytes pass.
	open  chan struct{}
	delay time.Duration
}

// Listen starts a relay on a free port of the IP. The target may be set later.
func Listen(ip, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]string)}
	for i := range r.flow {
		r.flow[i].open = make(chan struct{})
		close(r.flow[i].open)
	}
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

// SetRate makes the relay a small link, of so many bytes a second for each connection
// and direction; 0 sets no limit. It is no fault that Heal ends.
func (r *Relay) SetRate(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
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

// Silence holds the bytes of one direction back until Heal.
func (r *Relay) Silence(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.flow[d].open:
		r.flow[d].open = make(chan struct{})
	default:
	}
}

// Delay makes the bytes of one direction late until Heal.
func (r *Relay) Delay(d Direction, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow[d].delay = by
}

// pass copies one direction, chunk by chunk.
func (r *Relay) pass(to, from net.Conn, d Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			f, rate := r.flow[d], r.rate
			r.mu.Unlock()
			time.Sleep(f.delay + transferTime(n, rate))
			<-f.open
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// transferTime is how long so many bytes take at a rate in bytes a second.
func transferTime(bytes, rate int) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

// CutAll breaks all connections and refuses new ones until Heal.
func (r *Relay) CutAll() { r.CutFrom(func(string) bool { return true }) }

// Heal ends cuts, silence and delays.
func (r *Relay) Heal() {
	r.CutFrom(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.flow {
		r.flow[i].delay = 0
		select {
		case <-r.flow[i].open:
		default:
			close(r.flow[i].open)
		}
	}
}

// Close cuts all connections and waits for their end.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.Heal()
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
		r.pass(target, conn, ToTarget)
		target.Close()
	})
	r.pass(conn, target, FromTarget)
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
