package platformd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

const (
	// burstFraction of a second's calls may come at once.
	burstFraction = 0.1
	// shutdownTimeout bounds how long Run waits for the calls under way.
	shutdownTimeout = 5 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	table   *faulty.Table
	objects *faulty.Objects
	hosts   *memory.Hosts
	rater   *faulty.Rater
	commits *rate.Limiter
	reads   *rate.Limiter
	mux     *http.ServeMux
	// instance tells this server's cursors from those of another.
	instance string
}

// New returns a server with an empty table, no objects and no hosts.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		table:   faulty.New(memory.New()),
		objects: faulty.NewObjects(memory.NewObjects()),
		hosts:   memory.NewHosts(options.HostLag),
		rater:   faulty.NewRater(memory.NewRater(options.Rater)),
		commits: newLimiter(options.CommitsPerSecond),
		reads:   newLimiter(options.ReadsPerSecond),
		mux:     http.NewServeMux(),

		instance: uuid.NewString(),
	}
	s.route()
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstFraction))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Handler returns the HTTP handler of all calls.
func (s *Server) Handler() http.Handler { return s.mux }

// Table returns the table with its faults; calls to it pass by the rate limits.
func (s *Server) Table() *faulty.Table { return s.table }

// Objects returns the object store with its faults.
func (s *Server) Objects() *faulty.Objects { return s.objects }

// Hosts returns the host list.
func (s *Server) Hosts() *memory.Hosts { return s.hosts }

// Rater returns the rater with its faults.
func (s *Server) Rater() *faulty.Rater { return s.rater }

func (s *Server) route() {
	s.mux.Handle("GET "+protocol.PathRow, s.limit(s.reads, s.getRow))
	s.mux.Handle("GET "+protocol.PathRows, s.limit(s.reads, s.listRows))
	s.mux.Handle("POST "+protocol.PathCommit, s.limit(s.commits, s.commit))
	s.mux.Handle("PUT "+protocol.PathObject, s.limit(s.commits, s.writeObject))
	s.mux.Handle("GET "+protocol.PathObject, s.limit(s.reads, s.readObject))
	s.mux.Handle("GET "+protocol.PathHosts, s.call(s.listHosts))
	s.mux.Handle("POST "+protocol.PathRating, s.call(s.rate))
	s.mux.Handle("POST /faults", s.call(s.setFaults))
	s.mux.Handle("DELETE /faults", s.call(s.heal))
	s.mux.Handle("POST /hosts", s.call(s.setHost))
	s.mux.Handle("DELETE /hosts/{id}", s.call(s.removeHost))
}

// Run serves until ctx ends, and then waits for the calls under way.
func Run(ctx context.Context, options Options) error {
	s := New(options)
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return fmt.Errorf("platformd: %w", err)
	}
	if options.Ready != nil {
		options.Ready(listener.Addr().String())
	}
	return s.Serve(ctx, listener)
}

// Serve serves on listener until ctx ends, and then waits for the calls under
// way for at most shutdownTimeout. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("platformd: %w", err)
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		// Calls that an injected delay still holds are cut.
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platformd: %w", err)
	}
	return nil
}
