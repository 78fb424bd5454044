package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// link manages a client's connection to one address. At most one connection to the
// address is open at a time.
type link struct {
	client *Client
	addr   string

	mu     sync.Mutex
	closed bool
	conn   *clientConn
	// dialing is closed when the dial in progress ends. It is nil if no dial is in progress.
	dialing <-chan struct{}
	// failures is the number of consecutive failed dials. retryAt is the earliest time
	// of the next dial. lastErr is the error of the last dial, or nil if that dial
	// succeeded.
	failures int
	retryAt  time.Time
	lastErr  error
}

// connect returns the connection and dials if there is none. Concurrent callers
// share one dial. During the backoff after a failed dial, connect fails immediately.
func (l *link) connect(ctx context.Context) (*clientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	dialing := l.dialing
	if dialing == nil {
		if err := l.dialError(); err != nil {
			return nil, err
		}
		dialing = l.startDial()
	}
	if err := l.awaitDial(ctx, dialing); err != nil {
		return nil, err
	}
	if l.conn == nil {
		return nil, l.unreachableError()
	}
	return l.conn, nil
}

// dialError returns an error if no dial may start now, and nil otherwise.
func (l *link) dialError() error {
	if l.closed {
		return fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	if boottime.Now().Before(l.retryAt) {
		return l.unreachableError()
	}
	return nil
}

func (l *link) unreachableError() error {
	if l.lastErr == nil {
		return fmt.Errorf("%w: %s", ErrUnreachable, l.addr)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.addr, l.lastErr)
}

// awaitDial waits for the dial or the end of ctx. The caller holds l.mu, which is
// released during the wait.
func (l *link) awaitDial(ctx context.Context, dialing <-chan struct{}) error {
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-dialing:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.addr, context.Cause(ctx))
	}
}

// startDial dials in the background, so that the context of the first caller
// doesn't limit the dial for the others. The returned channel is closed when the
// dial ends.
func (l *link) startDial() <-chan struct{} {
	done := make(chan struct{})
	spawned := l.client.spawn(func() {
		conn, err := l.dial()
		l.finishDial(conn, err)
		close(done)
	})
	if !spawned {
		l.lastErr = ErrClosed
		close(done)
		return done
	}
	l.dialing = done
	return done
}

func (l *link) finishDial(conn *clientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	l.lastErr = err
	if err != nil {
		l.failures++
		l.retryAt = boottime.Now().Add(l.client.options.backoff(l.failures))
		return
	}
	l.failures = 0
	if l.closed {
		conn.rpc.Close()
		return
	}
	l.conn = conn
	go l.clearOnDisconnect(conn)
}

// clearOnDisconnect waits until the connection ends and then clears l.conn.
func (l *link) clearOnDisconnect(conn *clientConn) {
	<-conn.rpc.DisconnectNotify()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

func (l *link) dial() (*clientConn, error) {
	o := l.client.options
	ctx, cancel := context.WithTimeout(l.client.closeCtx, o.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(l.client.closeCtx, func() { conn.Close() })
	defer stop()
	s, err := clientHandshake(conn, o.Self, "", o.Keys, o.Limits.HandshakeTimeout)
	if err != nil {
		conn.Close()
		return nil, err
	}
	l.client.traffic.addHandshake(s)
	return l.newConn(conn, s), nil
}

func (l *link) newConn(conn net.Conn, s session) *clientConn {
	o := l.client.options
	limits := o.Limits
	limits.IdleTimeout /= 2
	stream := newStream(conn, s, limits)
	meter := newTrafficMeter(l.client.traffic, stream, func(string) bool { return true })
	rpc := jsonrpc2.NewConn(context.Background(), stream, callRejecter{}, append(meter.connOptions(), discardLogs())...)
	return &clientConn{
		rpc:          rpc,
		stream:       stream,
		stallTimeout: o.StallTimeout,
		callSlots:    make(chan struct{}, o.Limits.MaxConcurrentCalls),
		spawn:        l.client.spawn,
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.rpc.Close()
	}
}

// callRejecter closes a connection on which the server calls the client.
type callRejecter struct{}

// Handle implements jsonrpc2.Handler.
func (callRejecter) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	conn.Close()
}
