// Package relay is a TCP proxy with network faults: cut connections, delays and
// limited bandwidth. It stands in for the network between two processes.
//
// The end-to-end tests put one on each connection of an entry host. Both ends see a
// cut as a closed connection. A blocked direction holds its bytes back until ClearFaults, as a
// network partition does.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Relay listens on one address and forwards each connection to its target. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	// serving counts the goroutines that Close waits for.
	serving sync.WaitGroup

	mu     sync.Mutex
	target string
	isCut  func(sourceIP string) bool
	// refuses matches the source IPs whose new connections are reset, silences those whose
	// connections carry no data.
	refuses  func(sourceIP string) bool
	silences func(sourceIP string) bool
	// silenceChanged is closed, and replaced, when silences changes.
	silenceChanged chan struct{}
	// conns maps the open accepted connections to their source IPs.
	conns map[net.Conn]string
	// directions holds the faults of each Direction.
	directions [2]directionState
	// rate limits each connection and direction, in bytes per second; 0 means no limit.
	rate int
}

// Direction is one of the two directions of a connection.
type Direction int

const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// FromTarget is the direction from the target to the client.
	FromTarget
)

// directionState holds the faults of one direction; delay is added before each chunk.
type directionState struct {
	// unblocked is closed unless the direction is blocked.
	unblocked chan struct{}
	delay     time.Duration
}

// Listen starts a relay on a free port of the IP. The target can be set later by
// SetTarget.
func Listen(ip, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]string), silenceChanged: make(chan struct{})}
	for i := range r.directions {
		r.directions[i].unblocked = make(chan struct{})
		close(r.directions[i].unblocked)
	}
	r.serving.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the target address of connections that are accepted from now on.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// SetRate limits each connection and direction to a rate in bytes per second; 0 means no
// limit. ClearFaults doesn't change it.
func (r *Relay) SetRate(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
}

// CutFrom closes the connections whose source IP matches, and closes new ones on
// accept, until the next call. A nil match ends the cut.
func (r *Relay) CutFrom(match func(ip string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = match
	if match == nil {
		return
	}
	for conn, sourceIP := range r.conns {
		if match(sourceIP) {
			conn.Close()
		}
	}
}

// RefuseFrom resets new connections whose source IP matches, until the next call; open ones go on. A nil
// match ends that.
func (r *Relay) RefuseFrom(match func(ip string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuses = match
}

// ResetFrom resets the open connections whose source IP matches.
func (r *Relay) ResetFrom(match func(ip string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, sourceIP := range r.conns {
		if match(sourceIP) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}

// SilenceFrom holds back all bytes of the connections whose source IP matches, open and new ones, until
// the next call. A nil match ends that.
func (r *Relay) SilenceFrom(match func(ip string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silences = match
	close(r.silenceChanged)
	r.silenceChanged = make(chan struct{})
}

// awaitNoSilence waits until the source IP isn't silenced.
func (r *Relay) awaitNoSilence(sourceIP string) {
	for {
		r.mu.Lock()
		silenced, changed := r.silences != nil && r.silences(sourceIP), r.silenceChanged
		r.mu.Unlock()
		if !silenced {
			return
		}
		<-changed
	}
}

// Block holds back all bytes of one direction until ClearFaults; connections stay open.
func (r *Relay) Block(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.directions[d].unblocked:
		r.directions[d].unblocked = make(chan struct{})
	default:
	}
}

// Unblock ends Block.
func (r *Relay) Unblock(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.directions[d].unblocked:
	default:
		close(r.directions[d].unblocked)
	}
}

// Delay delays each chunk of one direction until ClearFaults.
func (r *Relay) Delay(d Direction, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directions[d].delay = by
}

// forward copies one direction of a connection in chunks of up to 32 KiB, subject to the
// faults of the direction and the rate.
func (r *Relay) forward(dst, src net.Conn, d Direction, sourceIP string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			state, rate := r.directions[d], r.rate
			r.mu.Unlock()
			time.Sleep(state.delay + transferTime(n, rate))
			<-state.unblocked
			r.awaitNoSilence(sourceIP)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				resetOnClose(dst)
			}
			return
		}
	}
}

// resetOnClose makes the connection end with a reset when it is closed, as the other side's
// connection did: a plain close would complete a response without a length.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// transferTime returns how long the bytes take at a rate in bytes per second; a rate of 0
// means no limit.
func transferTime(bytes, rate int) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

// CutAll closes all connections, and new ones on accept, until ClearFaults.
func (r *Relay) CutAll() { r.CutFrom(func(string) bool { return true }) }

// ClearFaults ends all cuts, blocked directions and delays.
func (r *Relay) ClearFaults() {
	r.CutFrom(nil)
	r.RefuseFrom(nil)
	r.SilenceFrom(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.directions {
		r.directions[i].delay = 0
		select {
		case <-r.directions[i].unblocked:
		default:
			close(r.directions[i].unblocked)
		}
	}
}

// Close stops listening, closes all connections and waits for their goroutines.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.ClearFaults()
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
	sourceIP, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	address, ok := r.register(conn, sourceIP)
	if !ok {
		return
	}
	defer r.unregister(conn)
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	var wait sync.WaitGroup
	wait.Go(func() {
		r.forward(target, conn, ToTarget, sourceIP)
		target.Close()
	})
	r.forward(conn, target, FromTarget, sourceIP)
	conn.Close()
	wait.Wait()
}

// register adds the connection to conns and returns the target address. It returns false if
// connections from the source IP are cut or refused.
func (r *Relay) register(conn net.Conn, sourceIP string) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut != nil && r.isCut(sourceIP) {
		return "", false
	}
	if r.refuses != nil && r.refuses(sourceIP) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return "", false
	}
	r.conns[conn] = sourceIP
	return r.target, true
}

func (r *Relay) unregister(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
