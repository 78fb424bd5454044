package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A relayed connection is a TCP connection to a third party that another host opens and relays. It
// uses a connection of its own between the two hosts. After the handshake, in which the client states
// the purpose purposeRelay, the client sends a relayRequest and the server a relayReply, and then both
// sides send data. All of these are authenticated frames; the first byte of each data frame is its
// type.
//
// The end of the third party's data is a frame of its own: a host whose process is killed closes its
// connections as if their data were complete. So is the failure of the connection to the third party, to
// tell it from a failure of the relaying host.

const (
	// purposeRelay is the purpose of a connection that carries a relayed connection.
	purposeRelay = "relay"
	// maxRelayFrame is the maximum size of the data in a frame, in bytes. The relaying host has a buffer
	// of that size for each connection.
	maxRelayFrame = 8 << 10
	// relayAliveInterval is the maximum time between two frames of either side. relayAliveTimeout is
	// the time without a frame after which a relayed connection counts as broken, for example because
	// the other host lost power or its process is suspended.
	relayAliveInterval = 700 * time.Millisecond
	relayAliveTimeout  = 2500 * time.Millisecond
)

// Types of data frames.
const (
	frameData byte = iota
	// frameEnd is the end of the third party's data.
	frameEnd
	// frameReset means that the connection to the third party failed.
	frameReset
	// frameAlive carries no data.
	frameAlive
	// frameClosing asks the client to close the connection once it is idle, since the relaying host is
	// about to stop.
	frameClosing
)

// relayRequest asks a host to open a connection to the address.
type relayRequest struct {
	Address string `json:"address"`
}

// relayReply is the answer to a relayRequest.
type relayReply struct {
	Status relayStatus `json:"status"`
	Detail string      `json:"detail,omitempty"`
}

type relayStatus string

const (
	relayOpen    relayStatus = "open"
	relayRefused relayStatus = "refused"
	relayTimeout relayStatus = "timeout"
	relayFailed  relayStatus = "failed"
	// relayDeclined means that the host didn't try to connect.
	relayDeclined relayStatus = "declined"
)

// ErrRelayDeclined is returned by a RelayDialer for connections that it doesn't open, and by DialRelayed
// for connections that the other host didn't open.
var ErrRelayDeclined = errors.New("peer: relaying declined")

// RelayError means that the relaying host couldn't connect to the third party.
type RelayError struct {
	// Relay is the address of the relaying host, Address that of the third party.
	Relay, Address string
	// Err is syscall.ECONNREFUSED, os.ErrDeadlineExceeded or another error.
	Err error
}

// Error implements error.
func (e *RelayError) Error() string {
	return fmt.Sprintf("peer: %s relayed by %s: %v", e.Address, e.Relay, e.Err)
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }

// RelayDialer opens the connections that a server relays for the host named by from. Its error is
// ErrRelayDeclined, with a reason, if it doesn't try to connect.
type RelayDialer func(ctx context.Context, from, address string) (net.Conn, error)

// RelayEvents are called for a relayed connection; each may be nil.
type RelayEvents struct {
	// Closing is called when the relaying host is about to stop. The connection should be closed once it
	// is idle.
	Closing func()
	// Lost is called if the connection to the relaying host fails.
	Lost func(error)
}

// DialRelayed opens a connection to the address that the host at relay relays. The error is a
// *RelayError if that host couldn't connect, and ErrRelayDeclined if it didn't try; any other error
// concerns the way to that host.
func (c *Client) DialRelayed(ctx context.Context, relay, address string, events RelayEvents) (net.Conn, error) {
	o := c.options
	dialer := net.Dialer{Timeout: o.DialTimeout}
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	relayed, err := c.openRelayed(conn, relay, address, events)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return relayed, nil
}

// openRelayed performs the handshake and the request for a relayed connection.
func (c *Client) openRelayed(conn net.Conn, relay, address string, events RelayEvents) (net.Conn, error) {
	o := c.options
	session, err := clientHandshake(conn, o.Self, purposeRelay, o.Keys, o.Limits.HandshakeTimeout)
	if err != nil {
		return nil, err
	}
	c.traffic.addHandshake(session)
	limits := o.Limits
	limits.IdleTimeout, limits.MaxMessageBytes = relayAliveTimeout, maxRelayFrame+1
	st := newStream(conn, session, limits)
	if err := st.WriteObject(relayRequest{Address: address}); err != nil {
		return nil, err
	}
	var reply relayReply
	if err := st.ReadObject(&reply); err != nil {
		return nil, err
	}
	switch reply.Status {
	case relayOpen:
		relayed := &relayedConn{Conn: conn, stream: st, events: events, stopped: make(chan struct{})}
		relayed.keepOpen = context.AfterFunc(c.closeCtx, func() { relayed.Close() })
		if !c.spawn(func() { sendAlive(context.Background(), st, relayed.stopped) }) {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
		}
		return relayed, nil
	case relayRefused:
		return nil, &RelayError{Relay: relay, Address: address, Err: syscall.ECONNREFUSED}
	case relayTimeout:
		return nil, &RelayError{Relay: relay, Address: address, Err: os.ErrDeadlineExceeded}
	case relayDeclined:
		return nil, fmt.Errorf("%w by %s: %s", ErrRelayDeclined, relay, reply.Detail)
	default:
		return nil, &RelayError{Relay: relay, Address: address, Err: errors.New(reply.Detail)}
	}
}

// relayedConn is the client's side of a relayed connection. Deadlines aren't supported: the frames'
// limits apply.
type relayedConn struct {
	net.Conn
	stream *stream
	events RelayEvents
	// closed is set once this side closed the connection; stopped is closed then.
	closed  atomic.Bool
	stopped chan struct{}
	// keepOpen keeps the connection open when the client is closed.
	keepOpen func() bool

	readMu sync.Mutex
	// unread is the data of the last frame that wasn't read yet.
	unread []byte
	ended  bool
}

// Read implements net.Conn. It returns io.EOF only if the third party ended its data.
func (c *relayedConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		kind, data, err := c.stream.readData()
		if err != nil {
			return 0, c.lost(err)
		}
		switch kind {
		case frameData:
			c.unread = data
		case frameEnd:
			c.ended = true
		case frameReset:
			return 0, syscall.ECONNRESET
		case frameClosing:
			if c.events.Closing != nil {
				c.events.Closing()
			}
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *relayedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+maxRelayFrame)]
		if err := c.stream.writeData(frameData, chunk); err != nil {
			return written, c.lost(err)
		}
		written += len(chunk)
	}
	return written, nil
}

// lost returns the error of a connection to the relaying host that failed. It is never io.EOF.
func (c *relayedConn) lost(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if !c.closed.Load() && c.events.Lost != nil {
		c.events.Lost(err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.stopped)
		c.keepOpen()
	}
	return c.Conn.Close()
}

// SetDeadline, SetReadDeadline and SetWriteDeadline implement net.Conn and have no effect.
func (c *relayedConn) SetDeadline(time.Time) error      { return nil }
func (c *relayedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *relayedConn) SetWriteDeadline(time.Time) error { return nil }

// writeData writes a data frame.
func (s *stream) writeData(kind byte, data []byte) error {
	payload := make([]byte, 0, 1+len(data))
	return s.writeFrame(append(append(payload, kind), data...))
}

// readData reads a data frame.
func (s *stream) readData() (kind byte, data []byte, err error) {
	payload, err := s.readFrame()
	if err != nil {
		return 0, nil, err
	}
	return payload[0], payload[1:], nil
}

// StopRelaying declines to relay further connections, and asks the hosts whose connections are relayed to
// close them once they are idle.
func (s *Server) StopRelaying() { s.stopRelaying() }

// RelayCount returns the number of relayed connections.
func (s *Server) RelayCount() int { return int(s.relayCount.Load()) }

// serveRelayed relays one connection for the authenticated host.
func (s *Server) serveRelayed(ctx context.Context, conn net.Conn, session session) error {
	limits := s.options.Limits
	limits.IdleTimeout, limits.MaxMessageBytes = relayAliveTimeout, maxRelayFrame+1
	st := newStream(conn, session, limits)
	var request relayRequest
	if err := st.ReadObject(&request); err != nil {
		return err
	}
	s.relayCount.Add(1)
	defer s.relayCount.Add(-1)
	third, err := s.dialThirdParty(ctx, session.peer, request.Address)
	if err != nil {
		return errors.Join(err, st.WriteObject(relayReplyFor(err)))
	}
	defer third.Close()
	if err := st.WriteObject(relayReply{Status: relayOpen}); err != nil {
		return err
	}
	return relayData(ctx, st, third)
}

func (s *Server) dialThirdParty(ctx context.Context, from, address string) (net.Conn, error) {
	if s.options.RelayDialer == nil || ctx.Err() != nil {
		return nil, ErrRelayDeclined
	}
	return s.options.RelayDialer(ctx, from, address)
}

func relayReplyFor(err error) relayReply {
	reply := relayReply{Status: relayFailed, Detail: err.Error()}
	var timeout net.Error
	switch {
	case errors.Is(err, ErrRelayDeclined):
		reply.Status = relayDeclined
	case errors.Is(err, syscall.ECONNREFUSED):
		reply.Status = relayRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		reply.Status = relayTimeout
	}
	return reply
}

// relayData copies data in both directions until either side closes its connection. When ctx ends, it
// asks the client to close the connection.
func relayData(ctx context.Context, st *stream, third net.Conn) error {
	var copying sync.WaitGroup
	defer copying.Wait()
	defer st.conn.Close()
	defer third.Close()
	copying.Go(func() {
		// The client never ends its data alone, so an error ends both directions.
		defer third.Close()
		for {
			kind, data, err := st.readData()
			if err != nil {
				return
			}
			if kind != frameData {
				continue
			}
			if _, err := third.Write(data); err != nil {
				return
			}
		}
	})
	stopped := make(chan struct{})
	defer close(stopped)
	copying.Go(func() { sendAlive(ctx, st, stopped) })
	buffer := make([]byte, maxRelayFrame)
	for {
		n, err := third.Read(buffer)
		if n > 0 {
			if err := st.writeData(frameData, buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return st.writeData(frameEnd, nil)
		case err != nil:
			return errors.Join(err, st.writeData(frameReset, nil))
		}
	}
}

// sendAlive sends a frame in each relayAliveInterval until stopped is closed, and one when ctx ends.
func sendAlive(ctx context.Context, st *stream, stopped <-chan struct{}) {
	ticker := time.NewTicker(relayAliveInterval)
	defer ticker.Stop()
	stopping := ctx.Done()
	for {
		kind := frameAlive
		select {
		case <-stopped:
			return
		case <-stopping:
			kind, stopping = frameClosing, nil
		case <-ticker.C:
		}
		if st.writeData(kind, nil) != nil {
			return
		}
	}
}
