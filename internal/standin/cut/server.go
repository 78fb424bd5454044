package cut

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a stand-in's HTTP API on a TCP address and cuts its
// connections at BeforeHead.
type Server struct {
	// Listen is the address to listen on. Default: a free port of 127.0.0.1.
	Listen  string
	Handler http.Handler
	Cutter  *Cutter
	// UncutPrefixes are prefixes of request lines; requests that begin with one
	// of them are never cut at BeforeHead.
	UncutPrefixes [][]byte

	mu         sync.Mutex
	listener   net.Listener
	httpServer *http.Server
}

const (
	defaultListen = "127.0.0.1:0"
	stopTimeout   = 5 * time.Second
)

// Bind starts to listen, so that Address is known before Run.
func (s *Server) Bind() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	address := s.Listen
	if address == "" {
		address = defaultListen
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("cut: listen: %w", err)
	}
	s.listener = &headListener{Listener: inner, Cutter: s.Cutter, UncutPrefixes: s.UncutPrefixes}
	return nil
}

// Address returns the address that the server listens on; empty before Bind.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until ctx ends. It then waits up to 5 s for the requests in
// progress and closes the remaining connections.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Bind(); err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: stopTimeout}
	s.mu.Lock()
	s.httpServer = srv
	s.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if srv.Shutdown(grace) != nil {
			srv.Close()
		}
	}()
	err := srv.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("cut: serve: %w", err)
	}
	<-stopped
	return nil
}

// Kill closes the listener and all connections at once, as if the process had
// been killed. Run still returns only when its context ends. Before Run, Kill
// does nothing.
func (s *Server) Kill() {
	s.mu.Lock()
	srv := s.httpServer
	s.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}
