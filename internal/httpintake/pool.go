// Package httpintake serves HTTP within the limits of package intake: on all listeners of a process, it
// accounts connections, heads, bodies and answers, and ends the connections that a ledger chooses.
package httpintake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/intake"
)

// Pool accounts what the callers of a process take.
type Pool struct {
	limits intake.Limits
	ends   endLog
	// bodiesEnded is set by EndBodies.
	bodiesEnded atomic.Bool
	// lingering is the number of connections whose requests are read after a refusal.
	lingering atomic.Int64

	// mu guards the ledger. One lock covers all connections, since the ledger compares them with each
	// other.
	mu     sync.Mutex
	ledger *intake.Ledger
}

// Options configure a Pool.
type Options struct {
	Limits intake.Limits
	Log    zerolog.Logger
	// Metrics receives the pool's metrics, whose names begin with Prefix.
	Metrics *metrics.Set
	Prefix  string
}

// New returns a pool without connections.
func New(o Options) *Pool {
	p := &Pool{limits: o.Limits, ledger: intake.NewLedger(o.Limits), ends: endLog{log: o.Log, metrics: o.Metrics, prefix: o.Prefix}}
	gauge := func(name string, read func(l *intake.Ledger) float64) {
		o.Metrics.NewGauge(o.Prefix+name, func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(p.ledger)
		})
	}
	gauge("intake_memory_bytes", func(l *intake.Ledger) float64 { return float64(l.Used()) })
	gauge("intake_memory_limit_bytes", func(l *intake.Ledger) float64 { return float64(o.Limits.Memory) })
	for _, g := range []intake.Group{intake.Callers, intake.Checks} {
		gauge(`intake_connections{group="`+g.String()+`"}`, func(l *intake.Ledger) float64 { return float64(l.Open(g)) })
		gauge(`intake_connections_limit{group="`+g.String()+`"}`, func(l *intake.Ledger) float64 { return float64(o.Limits.Connections[g]) })
	}
	return p
}

// Limits returns the pool's limits.
func (p *Pool) Limits() intake.Limits { return p.limits }

// Run logs the connections that are ended, until ctx ends.
func (p *Pool) Run(ctx context.Context) { p.ends.run(ctx) }

// ServerOptions configure the connections of one listener. Sizes are in bytes. Those that are functions may
// change at any time.
type ServerOptions struct {
	// Name is the listener's name in logs and metrics.
	Name  string
	Group intake.Group
	// MaxHead is the maximum size of a request's head: its request line and its header.
	MaxHead func() int
	// HeadTimeout bounds the time from the first byte of a head to its end, IdleTimeout the time without a
	// request.
	HeadTimeout, IdleTimeout func() time.Duration
	// WriteTimeout bounds the time in which the caller reads a part of the answer (writePart).
	WriteTimeout time.Duration
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// NewServer returns a server for the connections that a listener of the pool accepts.
func (p *Pool) NewServer(handler http.Handler, o ServerOptions) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if c, ok := req.Context().Value(connKey{}).(*Conn); ok && !c.beginRequest(req) {
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, req)
		}),
		// The timeouts of heads and of unused connections are set by Conn.
		MaxHeaderBytes: maxHeadBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*Conn); ok && state == http.StateIdle {
				c.endRequest()
			}
		},
	}
}

// maxHeadBytes bounds the heads of all listeners, whatever ServerOptions.MaxHead returns.
const maxHeadBytes = 1 << 20

// Listener returns a listener whose connections are accounted.
func (p *Pool) Listener(inner net.Listener, o ServerOptions) net.Listener {
	return &listener{Listener: inner, pool: p, options: o}
}

type listener struct {
	net.Listener
	pool    *Pool
	options ServerOptions
}

// Accept implements net.Listener. Connections beyond the limits are closed before anything is read from them.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.accept(inner, &l.options); c != nil {
			return c, nil
		}
		l.pool.ends.record(endRecord{listener: l.options.Name, stage: intake.Unused, reason: reasonRejected}, inner.RemoteAddr())
		inner.Close()
	}
}

// accept returns the connection, or nil if it is rejected.
func (p *Pool) accept(inner net.Conn, o *ServerOptions) *Conn {
	c := &Conn{Conn: inner, pool: p, options: o}
	now := time.Now()
	if !p.open(c, o.Group, now) {
		return nil
	}
	// A caller may open a connection before it has a request.
	_ = inner.SetReadDeadline(now.Add(max(o.IdleTimeout(), o.HeadTimeout())))
	return c
}

// open accounts a new connection. It returns false if the connection is rejected.
func (p *Pool) open(c *Conn, g intake.Group, now time.Time) bool {
	p.mu.Lock()
	entry, ended := p.ledger.Accept(g, now)
	if entry != nil {
		// From now on, the ledger may choose the connection to end.
		c.entry, entry.Owner = entry, c
	}
	p.mu.Unlock()
	p.end(ended)
	return entry != nil
}

// Attach returns the connection of a request. A request of a server that isn't the pool's is accounted from
// now on. The returned function must be called when the request ends. It returns nil if the host has no
// memory for the request.
func (p *Pool) Attach(req *http.Request) (c *Conn, detach func()) {
	if c, ok := req.Context().Value(connKey{}).(*Conn); ok {
		return c, func() {}
	}
	c = &Conn{pool: p, options: &ServerOptions{Name: "other"}}
	if !p.open(c, intake.Callers, time.Now()) {
		return nil, func() {}
	}
	c.beginRequest(req)
	return c, c.release
}

// EndBodies ends the requests whose bodies aren't complete, also those that come later, with ErrBodyTimeout.
func (p *Pool) EndBodies() {
	p.bodiesEnded.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.ledger.InStage(intake.Body) {
		if conn := c.Owner.(*Conn).Conn; conn != nil {
			_ = conn.SetReadDeadline(time.Now())
		}
	}
}

// end ends the connections that the ledger chose.
func (p *Pool) end(chosen []*intake.Conn) {
	for _, entry := range chosen {
		entry.Owner.(*Conn).yield()
	}
}
