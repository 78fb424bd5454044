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
	// burstFraction is the burst of a rate limit, as a fraction of the calls
	// allowed in one second.
	burstFraction = 0.1
	// shutdownTimeout limits the wait for calls in progress at shutdown.
	shutdownTimeout = 5 * time.Second
	// headerTimeout limits the time to read a request header.
	headerTimeout = 5 * time.Second
)

// Server implements the platform's services in memory. It is safe for
// concurrent use.
type Server struct {
	options Options
	table   *faulty.Table
	objects *faulty.Objects
	hosts   *memory.Hosts
	rater   *faulty.Rater
	commits *rate.Limiter
	reads   *rate.Limiter
	mux     *http.ServeMux
	// instanceID distinguishes cursors of this server from those of other
	// instances.
	instanceID string
}

// New returns a server with an empty table, no objects and no hosts.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		table:   faulty.NewTable(memory.NewTable()),
		objects: faulty.NewObjects(memory.NewObjects()),
		hosts:   memory.NewHosts(options.HostLag),
		rater:   faulty.NewRater(memory.NewRater(options.Rater)),
		commits: newLimiter(options.CommitsPerSecond),
		reads:   newLimiter(options.ReadsPerSecond),
		mux:     http.NewServeMux(),

		instanceID: uuid.NewString(),
	}
	s.registerRoutes()
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstFraction))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Handler returns the handler of the whole HTTP API.
func (s *Server) Handler() http.Handler { return s.mux }

// Table returns the table with its faults. Direct calls to it bypass the rate
// limits.
func (s *Server) Table() *faulty.Table { return s.table }

// Objects returns the object store with its faults.
func (s *Server) Objects() *faulty.Objects { return s.objects }

// Hosts returns the host list.
func (s *Server) Hosts() *memory.Hosts { return s.hosts }

// Rater returns the rater with its faults.
func (s *Server) Rater() *faulty.Rater { return s.rater }

func (s *Server) registerRoutes() {
	s.mux.Handle("GET "+protocol.PathRow, s.limitRate(s.reads, s.getRow))
	s.mux.Handle("GET "+protocol.PathRows, s.limitRate(s.reads, s.listRows))
	s.mux.Handle("POST "+protocol.PathCommit, s.limitRate(s.commits, s.commit))
	s.mux.Handle("PUT "+protocol.PathObject, s.limitRate(s.commits, s.writeObject))
	s.mux.Handle("GET "+protocol.PathObject, s.limitRate(s.reads, s.readObject))
	s.mux.Handle("GET "+protocol.PathHosts, s.handle(s.listHosts))
	s.mux.Handle("POST "+protocol.PathRating, s.handle(s.rate))
	s.mux.Handle("POST /faults", s.handle(s.setFaults))
	s.mux.Handle("DELETE /faults", s.handle(s.heal))
	s.mux.Handle("POST /hosts", s.handle(s.setHost))
	s.mux.Handle("DELETE /hosts/{id}", s.handle(s.removeHost))
}

// Run creates a server, listens on Options.Listen and calls Serve.
func Run(ctx context.Context, options Options) error {
	s := New(options)
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return fmt.Errorf("platformd: %w", err)
	}
	if options.OnReady != nil {
		options.OnReady(listener.Addr().String())
	}
	return s.Serve(ctx, listener)
}

// Serve serves on listener until ctx ends, then waits at most shutdownTimeout
// for the calls in progress. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("platformd: %w", err)
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		// Injected delays can outlast the timeout; their connections are closed.
		_ = server.Close()
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platformd: %w", err)
	}
	return nil
}
