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
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Handler answers the calls of one method. It runs concurrently with others.
// Its context ends when the caller's connection does.
type Handler interface {
	Handle(ctx context.Context, from string, params json.RawMessage) (any, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from string, params json.RawMessage) (any, error) {
	return f(ctx, from, params)
}

// Handle registers a function with typed parameters and result.
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
	// Listen is the IP address and port to listen on; port 0 picks one.
	Listen string
	// Self is this host's id, told to callers.
	Self string
	// Keys are the keys that callers may authenticate with.
	Keys []Key
	// Limits bounds each connection.
	Limits Limits
	// MaxConns is the number of open connections; default 1024. More are
	// closed at once.
	MaxConns int
	// DrainTimeout bounds the wait for running handlers at the end of Serve;
	// default 2 s.
	DrainTimeout time.Duration
	// OnDisconnect, if set, is told of each connection that ended and why;
	// from is empty where the peer wasn't authenticated.
	OnDisconnect func(from string, err error)
}

// Server accepts the connections of other hosts and answers their calls.
type Server struct {
	options  ServerOptions
	listener net.Listener
	traffic  *traffic
	slots    chan struct{}

	mu       sync.RWMutex
	handlers map[string]Handler

	conns sync.WaitGroup

	// calls guards stopping, so that no call begins after the drain has.
	calls    sync.Mutex
	stopping bool
	handling sync.WaitGroup
}

// NewServer starts to listen; connections wait until Serve is called.
func NewServer(options ServerOptions) (*Server, error) {
	if err := checkIdentity(options.Self, options.Keys); err != nil {
		return nil, err
	}
	options.Limits = options.Limits.withDefaults()
	defaults.Positive(&options.MaxConns, DefaultMaxConns)
	defaults.Positive(&options.DrainTimeout, DefaultDrainTimeout)
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	return &Server{
		options:  options,
		listener: listener,
		traffic:  newTraffic(),
		slots:    make(chan struct{}, options.MaxConns),
		handlers: make(map[string]Handler),
	}, nil
}

// Handle registers the handler of a method, in place of an earlier one.
func (s *Server) Handle(method string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = handler
}

// Addr returns the IP address and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stats returns the traffic by method.
func (s *Server) Stats() Stats { return s.traffic.snapshot() }

// Close stops listening. It is needed only where Serve isn't called.
func (s *Server) Close() error { return s.listener.Close() }

// Serve answers calls until ctx ends. Then it takes no more connections, lets
// running handlers finish within the drain timeout, and closes the rest. It
// returns nil after the end of ctx. It is called once.
func (s *Server) Serve(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	err := s.accept(ctx, serving)
	s.listener.Close()
	if ctx.Err() != nil {
		s.drain()
		err = nil
	}
	cancel()
	s.conns.Wait()
	return err
}

func (s *Server) accept(ctx, serving context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() == nil && isTemporary(err) {
				time.Sleep(DefaultMinBackoff)
				continue
			}
			return fmt.Errorf("peer: accept: %w", err)
		}
		select {
		case s.slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		s.conns.Go(func() {
			defer func() { <-s.slots }()
			s.serveConn(serving, conn)
		})
	}
}

// isTemporary says that accepting can be tried again, for example when the
// process is out of file descriptors.
func isTemporary(err error) bool {
	return !errors.Is(err, net.ErrClosed)
}

// serveConn answers the calls of one connection until it ends.
func (s *Server) serveConn(serving context.Context, conn net.Conn) {
	stop := context.AfterFunc(serving, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	session, err := serverHandshake(conn, s.options.Self, s.options.Keys, s.options.Limits.HandshakeTimeout)
	if err != nil {
		s.disconnected("", err)
		return
	}
	s.traffic.handshake(session)
	stream := newStream(conn, session, s.options.Limits)
	meter := newMeter(s.traffic, stream, s.knows)
	c := &serverConn{server: s, from: session.peer, slots: make(chan struct{}, s.options.Limits.MaxConcurrent)}
	rpc := jsonrpc2.NewConn(serving, stream, c, append(meter.options(), silent())...)
	<-rpc.DisconnectNotify()
	s.disconnected(session.peer, stream.err())
}

func (s *Server) disconnected(from string, err error) {
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

func (s *Server) knows(method string) bool {
	_, ok := s.handler(method)
	return ok
}

// begin counts a call as running; it reports false once the drain has begun.
func (s *Server) begin() bool {
	s.calls.Lock()
	defer s.calls.Unlock()
	if s.stopping {
		return false
	}
	s.handling.Add(1)
	return true
}

// drain waits for running handlers, up to the drain timeout.
func (s *Server) drain() {
	s.calls.Lock()
	s.stopping = true
	s.calls.Unlock()
	done := make(chan struct{})
	go func() {
		s.handling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.options.DrainTimeout):
	}
}

// silent keeps jsonrpc2 from writing to standard error: what ended a
// connection is reported by OnDisconnect and by the errors of calls.
func silent() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
