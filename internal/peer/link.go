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

// link keeps the one connection to an address.
type link struct {
	client *Client
	addr   string

	mu     sync.Mutex
	closed bool
	conn   *clientConn
	// dialing is closed when the dial in progress ends; nil without one.
	dialing <-chan struct{}
	// failures counts failed dials in a row; retry is when to dial again.
	failures int
	retry    time.Time
	lastErr  error
}

// connect returns the connection, after a dial if there is none. Concurrent
// callers share a dial. Within the backoff it fails at once.
func (l *link) connect(ctx context.Context) (*clientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	dialing := l.dialing
	if dialing == nil {
		if err := l.refused(); err != nil {
			return nil, err
		}
		dialing = l.startDial()
	}
	if err := l.awaitDial(ctx, dialing); err != nil {
		return nil, err
	}
	if l.conn == nil {
		return nil, l.unreachable()
	}
	return l.conn, nil
}

// refused says why no dial may start now, or nil.
func (l *link) refused() error {
	if l.closed {
		return fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	if boottime.Now().Before(l.retry) {
		return l.unreachable()
	}
	return nil
}

func (l *link) unreachable() error {
	if l.lastErr == nil {
		return fmt.Errorf("%w: %s", ErrUnreachable, l.addr)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.addr, l.lastErr)
}

// awaitDial waits without the lock, which the caller holds.
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

// startDial dials in the background, so that the caller who happens to be
// first doesn't bound the dial for the others.
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
		l.retry = boottime.Now().Add(l.client.options.backoff(l.failures))
		return
	}
	l.failures = 0
	if l.closed {
		conn.rpc.Close()
		return
	}
	l.conn = conn
	go l.watch(conn)
}

// watch forgets the connection when it ends.
func (l *link) watch(conn *clientConn) {
	<-conn.rpc.DisconnectNotify()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

func (l *link) dial() (*clientConn, error) {
	o := l.client.options
	ctx, cancel := context.WithTimeout(l.client.closing, o.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(l.client.closing, func() { conn.Close() })
	defer stop()
	s, err := clientHandshake(conn, o.Self, o.Keys, o.Limits.HandshakeTimeout)
	if err != nil {
		conn.Close()
		return nil, err
	}
	l.client.traffic.handshake(s)
	return l.newConn(conn, s), nil
}

func (l *link) newConn(conn net.Conn, s session) *clientConn {
	o := l.client.options
	limits := o.Limits
	limits.IdleTimeout /= 2
	stream := newStream(conn, s, limits)
	meter := newMeter(l.client.traffic, stream, func(string) bool { return true })
	rpc := jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, append(meter.options(), silent())...)
	return &clientConn{
		rpc:    rpc,
		stream: stream,
		stall:  o.StallTimeout,
		slots:  make(chan struct{}, o.Limits.MaxConcurrent),
		spawn:  l.client.spawn,
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

// refuseCalls closes a connection whose server tries to call its client.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	conn.Close()
}
