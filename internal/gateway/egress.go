package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
)

// egressPaths opens this host's connections to upstreams and records their results.
type egressPaths struct {
	tracker *egress.Tracker
	metrics *gatewayMetrics
	log     zerolog.Logger
	// dialDirect opens a connection by the host's own path.
	dialDirect func(ctx context.Context, network, address string) (net.Conn, error)
	// suspected is set while the log states that the host's own path may be interrupted.
	suspected atomic.Bool
}

func newEgressPaths(s *Settings, metrics *gatewayMetrics, log zerolog.Logger) *egressPaths {
	dialer := sealedconn.NewDialer(dialTimeout)
	if s.UpstreamSource != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: s.UpstreamSource}
	}
	return &egressPaths{tracker: egress.NewTracker(), metrics: metrics, log: log, dialDirect: dialer.DialContext}
}

// dial opens a connection to an upstream's address.
func (p *egressPaths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	openedAt := boottime.Now()
	conn, err := p.dialDirect(ctx, network, address)
	if err != nil {
		if ctx.Err() == nil {
			p.connectionFailed(address, err)
		}
		return nil, err
	}
	return &observedConn{Conn: conn, paths: p, address: address, openedAt: openedAt}, nil
}

// connectionFailed records a connection that couldn't be opened, or ended before any byte was received.
func (p *egressPaths) connectionFailed(address string, err error) {
	p.metrics.countConnection(connectionResult(err))
	failures := p.tracker.ConnectionFailed(address, boottime.Now())
	if failures.Suspicious() && p.suspected.CompareAndSwap(false, true) {
		p.log.Warn().Str("event", "upstream-path-suspected").Int("failures", failures.Count).Int("addresses", failures.Addresses).
			Str("address", address).Err(err).Msg("")
	}
}

// connectionUsable records that a connection opened at the given time received its first byte.
func (p *egressPaths) connectionUsable(openedAt time.Time) {
	p.metrics.countConnection("usable")
	failures := p.tracker.ConnectionUsable(openedAt)
	if failures.Count > 0 && p.suspected.CompareAndSwap(true, false) {
		p.log.Info().Str("event", "upstream-path-usable").Int("failures", failures.Count).Int("addresses", failures.Addresses).
			Int64("for_ms", boottime.Since(failures.Since).Milliseconds()).Msg("")
	}
}

// connectionResult returns the name of a failed connection's result in metrics.
func connectionResult(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return "broken"
}

// observedConn is a connection to an upstream that reports whether it received anything.
type observedConn struct {
	net.Conn
	paths    *egressPaths
	address  string
	openedAt time.Time
	// used is set once something was sent. observed is set once the connection's result was recorded,
	// or the host closed it.
	used, observed atomic.Bool
}

// Write implements net.Conn.
func (c *observedConn) Write(b []byte) (int, error) {
	c.used.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if (n > 0 || err != nil) && c.observed.CompareAndSwap(false, true) {
		switch {
		case n > 0:
			c.paths.connectionUsable(c.openedAt)
		case c.used.Load(): // an upstream may close a connection that isn't used
			c.paths.connectionFailed(c.address, err)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.observed.Store(true)
	return c.Conn.Close()
}

// countConnection counts a connection to an upstream by its result.
func (m *gatewayMetrics) countConnection(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_upstream_connections_total{result=%q}`, result)).Inc()
}
