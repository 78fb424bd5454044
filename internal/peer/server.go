package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Handler handles the calls of one method. Calls are handled concurrently. The
// context is cancelled when the caller's connection ends. The argument from is the
// caller's authenticated host id.
type Handler interface {
	Handle(ctx context.Context, from string, params json.RawMessage) (any, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from string, params json.RawMessage) (any, error) {
	return f(ctx, from, params)
}

// Handle registers a handler function with typed parameters and result.
func Handle[P, R any](s *Server, method string, f func(ctx context.Context, from string, params P) (R, error)) {
	s.Handle(method, HandlerFunc(func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &CallError{Method: method, Code: CodeInvalidParams, Message: "invalid parameters"}
		}
		return f(ctx, from, params)
	}))
}

// ServerOptions configures a Server.
type ServerOptions struct {
	// Listen is the IP address and port to listen on; port 0 selects a free port.
	Listen string
	// Self is the id of this host, which is sent to callers.
	Self string
	// Keys lists the keys that callers may authenticate with.
	Keys []Key
	// Limits applies to each connection.
	Limits Limits
	// MaxConns is the maximum number of open connections of authenticated hosts; default
	// 1024. Further connections are closed once they are authenticated. A quarter as many
	// may be unauthenticated; the oldest of these is closed in favor of a new one.
	MaxConns int
	// DrainTimeout limits how long Serve waits for running handlers before it
	// returns; default 2 s.
	DrainTimeout time.Duration
	// RelayDialer opens the connections that the server relays; nil if it relays none.
	RelayDialer RelayDialer
	// OnDisconnect, if set, is called for each connection that ends, with the error
	// that ended it; from is empty if the peer wasn't authenticated.
	OnDisconnect func(from string, err error)
}

// Server accepts connections from other hosts and handles their calls. connSlots is
// a semaphore that holds one element for each authenticated connection, and handlers holds
// the handlers by method.
type Server struct {
	options   ServerOptions
	listener  net.Listener
	traffic   *traffic
	connSlots chan struct{}
	pending   pendingConns

	mu       sync.RWMutex
	handlers map[string]Handler

	conns sync.WaitGroup

	// relayCtx ends when no further connections are to be relayed. relayCount is the number of relayed
	// ones.
	relayCtx     context.Context
	stopRelaying context.CancelFunc
	relayCount   atomic.Int64

	// callsMu guards stopping, so that no call starts after the drain has started.
	callsMu     sync.Mutex
	stopping    bool
	activeCalls sync.WaitGroup
}

// NewServer returns a server whose listener is open. It accepts connections once
// Serve is called.
func NewServer(options ServerOptions) (*Server, error) {
	if err := validateIdentity(options.Self, options.Keys); err != nil {
		return nil, err
	}
	options.Limits = options.Limits.withDefaults()
	defaults.Positive(&options.MaxConns, DefaultMaxConns)
	defaults.Positive(&options.DrainTimeout, DefaultDrainTimeout)
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	relayCtx, stopRelaying := context.WithCancel(context.Background())
	return &Server{
		relayCtx: relayCtx, stopRelaying: stopRelaying,
		options:   options,
		listener:  listener,
		traffic:   newTraffic(),
		connSlots: make(chan struct{}, options.MaxConns),
		pending:   pendingConns{most: max(1, options.MaxConns/pendingPart)},
		handlers:  make(map[string]Handler),
	}, nil
}

// Handle registers the handler for a method. It replaces an earlier handler of the method.
func (s *Server) Handle(method string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = handler
}

// Addr returns the IP address and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stats returns the traffic per method.
func (s *Server) Stats() Stats { return s.traffic.snapshot() }

// Close stops listening. It is needed only if Serve isn't called.
func (s *Server) Close() error { return s.listener.Close() }

// Serve handles calls until ctx ends. It then stops accepting connections, waits up
// to DrainTimeout for running handlers, and closes the remaining connections. It
// returns nil if ctx ended. It must be called at most once.
func (s *Server) Serve(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	err := s.accept(ctx, serveCtx)
	s.listener.Close()
	if ctx.Err() != nil {
		s.drain()
		err = nil
	}
	cancel()
	s.stopRelaying()
	s.conns.Wait()
	return err
}

func (s *Server) accept(ctx, serveCtx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() == nil && isRetryableAcceptError(err) {
				time.Sleep(DefaultMinBackoff)
				continue
			}
			return fmt.Errorf("peer: accept: %w", err)
		}
		s.pending.add(conn)
		s.conns.Go(func() { s.serveConn(serveCtx, conn) })
	}
}

// isRetryableAcceptError reports whether Accept can be retried after err, for example
// when the process has run out of file descriptors.
func isRetryableAcceptError(err error) bool {
	return !errors.Is(err, net.ErrClosed)
}

// serveConn handles the calls of one connection until it ends.
func (s *Server) serveConn(serveCtx context.Context, conn net.Conn) {
	stop := context.AfterFunc(serveCtx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	session, err := serverHandshake(conn, s.options.Self, s.options.Keys, s.options.Limits.HandshakeTimeout)
	s.pending.remove(conn)
	if err != nil {
		s.notifyDisconnect("", err)
		return
	}
	select {
	case s.connSlots <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.connSlots }()
	s.traffic.addHandshake(session)
	if session.purpose == purposeRelay {
		s.notifyDisconnect(session.peer, s.serveRelayed(s.relayCtx, conn, session))
		return
	}
	stream := newStream(conn, session, s.options.Limits)
	meter := newTrafficMeter(s.traffic, stream, s.hasHandler)
	c := &serverConn{server: s, callerID: session.peer, callSlots: make(chan struct{}, s.options.Limits.MaxConcurrentCalls)}
	rpc := jsonrpc2.NewConn(serveCtx, stream, c, append(meter.connOptions(), discardLogs())...)
	<-rpc.DisconnectNotify()
	s.notifyDisconnect(session.peer, stream.err())
}

func (s *Server) notifyDisconnect(from string, err error) {
	if s.options.OnDisconnect != nil {
		s.options.OnDisconnect(from, err)
	}
}

func (s *Server) handler(method string) (Handler, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.handlers[method]
	return h, ok
}

func (s *Server) hasHandler(method string) bool {
	_, ok := s.handler(method)
	return ok
}

// beginCall counts a call as running. It returns false once the drain has started.
func (s *Server) beginCall() bool {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if s.stopping {
		return false
	}
	s.activeCalls.Add(1)
	return true
}

// drain rejects new calls and waits for running handlers, up to DrainTimeout.
func (s *Server) drain() {
	s.callsMu.Lock()
	s.stopping = true
	s.callsMu.Unlock()
	done := make(chan struct{})
	go func() {
		s.activeCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.options.DrainTimeout):
	}
}

// discardLogs disables jsonrpc2's logging to standard error. The error that ends a
// connection is reported by OnDisconnect and by the errors of calls.
func discardLogs() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
