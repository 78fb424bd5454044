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

// Server serves a stand-in over TCP.
type Server struct {
	// Listen is the address to listen on. Default: 127.0.0.1 with a free port.
	Listen  string
	Handler http.Handler
	Cutter  *Cutter
	// Spared are the starts of requests that are never cut before their head.
	Spared [][]byte

	mu       sync.Mutex
	listener net.Listener
	serving  *http.Server
}

const (
	defaultListen = "127.0.0.1:0"
	stopTimeout   = 5 * time.Second
)

// Bind takes the address, so that Address is known before Run.
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
	s.listener = &headListener{Listener: inner, Cutter: s.Cutter, Spared: s.Spared}
	return nil
}

// Address returns the bound address; empty before Bind.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until ctx ends. It then waits up to 5 s for the requests in
// progress and cuts what is left.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Bind(); err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: stopTimeout}
	s.mu.Lock()
	s.serving = srv
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

// Kill closes the listener and all connections at once, as the end of the
// process would. Run still returns only when its context ends. Before Run it
// does nothing.
func (s *Server) Kill() {
	s.mu.Lock()
	srv := s.serving
	s.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}
