package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// egressInterval is the time between two checks whether a probe is due.
	egressInterval = 100 * time.Millisecond
	// diagnosisTimeout bounds a probe of an upstream by one path. relayedHeadStart is how long the
	// probes of the direct path run before those by other hosts start, which are rarely needed.
	diagnosisTimeout = 400 * time.Millisecond
	relayedHeadStart = 50 * time.Millisecond
	// diagnosedUpstreams is the number of upstreams that a diagnosis probes. A few may have terminated
	// at the same time.
	diagnosedUpstreams = 3
	// comparedUpstreams is the number of other upstreams, at most, that are compared with one that
	// refuses connections.
	comparedUpstreams = 8
)

// egressPaths opens this host's connections to upstreams: by its own path or, while that is
// interrupted, relayed by other hosts. Requests are processed in the same way on both; only the
// connections differ.
type egressPaths struct {
	tracker *egress.Tracker
	metrics *gatewayMetrics
	log     zerolog.Logger
	// dialDirect opens a connection by the host's own path.
	dialDirect sealedconn.DialFunc
	relays     *relayDialer
	// probeTargets returns upstreams to probe, at most the given number.
	probeTargets func(most int) []probeTarget
	// onChange is called after each change of the path.
	onChange func(egress.Path)
	// direct and relayed are the transports for the two paths. Each has its own idle connections.
	direct, relayed *sealedconn.Transport
	// suspected is set while the log states that the host's own path may be interrupted.
	suspected atomic.Bool

	mu sync.Mutex
	// diagnosing is closed when the diagnosis in progress ends; nil if there is none.
	diagnosing chan struct{}
	// open holds the direct connections.
	open map[*observedConn]struct{}
	// receivedAt is the time since boot at which a direct connection last received something.
	receivedAt atomic.Int64
}

// probeTarget is an upstream that is probed to check a path.
type probeTarget struct {
	address string
	// healthPath is the path of its health check; empty if it has none.
	healthPath string
}

func newEgressPaths(s *Settings, metrics *gatewayMetrics, log zerolog.Logger) *egressPaths {
	dialer := sealedconn.NewDialer(dialTimeout)
	if s.UpstreamSource != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: s.UpstreamSource}
	}
	p := &egressPaths{
		tracker: egress.NewTracker(), metrics: metrics, log: log, dialDirect: sealedconn.DetectResets(dialer.DialContext), relays: newRelayDialer(log),
		onChange: func(egress.Path) {}, probeTargets: func(int) []probeTarget { return nil }, open: make(map[*observedConn]struct{}),
	}
	p.direct, p.relayed = newTransport(p.dial), newTransport(p.relays.dial)
	return p
}

// newTransport returns an HTTP transport for requests to upstreams.
func newTransport(dial sealedconn.DialFunc) *sealedconn.Transport {
	t := sealedconn.NewTransportWith(func(ctx context.Context, network, host string) (net.Conn, error) {
		return dial(ctx, network, dialAddress(host))
	})
	t.IdleConnTimeout = idleConnTimeout
	t.MaxIdleConnsPerHost = maxIdlePerUpstream
	t.MaxResponseHeaderBytes = maxAnswerHeader
	return t
}

// limitIdle bounds the unused connections to all upstreams.
func (p *egressPaths) limitIdle(most int) {
	p.direct.MaxIdleConns, p.relayed.MaxIdleConns = most, most
}

// startEgress makes the host connect to upstreams.
func (g *Gateway) startEgress() {
	g.egress = newEgressPaths(&g.settings, g.metrics, g.log)
	g.egress.probeTargets = func(most int) []probeTarget { return g.fleet.probeTargets(most, g.routingTable.Load()) }
	// Results of attempts over the interrupted path don't tell anything about the upstreams.
	g.egress.onChange = func(egress.Path) { g.fleet.forgetFailures() }
}

// useRelays makes the member's hosts relay connections while the direct path is interrupted.
func (p *egressPaths) useRelays(member *exchange.Member, fleet *Fleet) {
	p.relays.dialRelayed, p.relays.hosts = member.DialRelayed, member.RelayHosts
	p.relays.count = func(result string) { p.metrics.countConnection(egress.Relayed, result) }
	p.relays.allowed = func(zone, address string) bool {
		upstreamZone, ok := fleet.zoneOfAddress(address)
		return ok && fleet.topology.region(zone) == fleet.topology.region(upstreamZone)
	}
}

// maxProofAge is the age of the last byte from an upstream up to which a path may be usable although
// connections failed.
const maxProofAge = time.Second

// mayReachUpstreams reports whether the direct path may be usable: no connections failed in a row, as happens
// when single upstreams terminate, or an upstream sent something a moment ago.
func (p *egressPaths) mayReachUpstreams() bool {
	return !p.tracker.Failures().Suspicious() || boottime.Elapsed()-time.Duration(p.receivedAt.Load()) < maxProofAge
}

// needsRelays reports whether this host needs other hosts to relay connections, or may need them soon.
func (p *egressPaths) needsRelays() bool {
	return p.tracker.Path() == egress.Relayed || p.tracker.Failures().Suspicious()
}

// RoundTrip implements http.RoundTripper by the path that is in use.
func (p *egressPaths) RoundTrip(req *http.Request) (*http.Response, error) {
	if p.tracker.Path() == egress.Relayed {
		return p.relayed.RoundTrip(req)
	}
	return p.direct.RoundTrip(req)
}

// CloseIdleConnections closes the connections that aren't in use.
func (p *egressPaths) CloseIdleConnections() {
	p.direct.CloseIdleConnections()
	p.relayed.CloseIdleConnections()
}

// run makes the probes that are due until the context ends.
func (p *egressPaths) run(ctx context.Context) {
	wait.Every(ctx, egressInterval, func() {
		now := boottime.Now()
		p.tracker.SetSilent(p.isSilent(now))
		p.startDiagnosis()
		if p.tracker.ProbeDue(now) {
			go p.probeDirect(ctx)
		}
		if p.relays.takeClosing() {
			p.CloseIdleConnections()
		}
	})
}

// dial opens a connection to an upstream's address by the direct path. If that fails and the path is
// found to be interrupted, the connection is relayed.
func (p *egressPaths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	openedAt := boottime.Now()
	conn, err := p.dialDirect(ctx, network, address)
	if err == nil {
		return p.observe(conn, address, openedAt), nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	p.connectionFailed(address, err)
	if done := p.startDiagnosis(); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return nil, err
		}
	}
	if p.tracker.Path() == egress.Relayed {
		return p.relays.dial(ctx, network, address)
	}
	return nil, err
}

// connectionFailed records a direct connection that couldn't be opened, or that ended before any byte
// was received.
func (p *egressPaths) connectionFailed(address string, err error) {
	p.metrics.countConnection(egress.Direct, connectionResult(err))
	failures := p.tracker.ConnectionFailed(address, boottime.Now())
	if failures.Suspicious() && p.suspected.CompareAndSwap(false, true) {
		p.log.Warn().Str("event", "upstream-path-suspected").Int("failures", failures.Count).Int("addresses", failures.Addresses).
			Str("address", address).Err(err).Msg("")
	}
}

// connectionUsable records that a direct connection opened at the given time received its first byte.
func (p *egressPaths) connectionUsable(openedAt time.Time) {
	p.metrics.countConnection(egress.Direct, "usable")
	p.logUsable(p.tracker.ConnectionUsable(openedAt))
}

// logUsable logs that the direct path is usable again after failures.
func (p *egressPaths) logUsable(ended egress.Failures) {
	if ended.Count > 0 && p.suspected.CompareAndSwap(true, false) {
		p.log.Info().Str("event", "upstream-path-usable").Int("failures", ended.Count).Int("addresses", ended.Addresses).
			Int64("for_ms", boottime.Since(ended.Since).Milliseconds()).Msg("")
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

// startDiagnosis compares the two paths, if that is due, and returns a channel that is closed when the
// diagnosis in progress ends; nil if there is none.
func (p *egressPaths) startDiagnosis() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.diagnosing == nil && p.tracker.DiagnosisDue(boottime.Now()) {
		done := make(chan struct{})
		p.diagnosing = done
		go func() {
			p.diagnose()
			p.mu.Lock()
			p.diagnosing = nil
			p.mu.Unlock()
			close(done)
		}()
	}
	return p.diagnosing
}

// diagnose probes a few upstreams by both paths and records the result. Its context isn't that of a
// request, whose trace would take the probes' connections for those of the request.
func (p *egressPaths) diagnose() {
	failures, targets := p.tracker.Failures(), p.probeTargets(diagnosedUpstreams)
	ctx, cancel := context.WithTimeout(context.Background(), diagnosisTimeout+relayedHeadStart)
	defer cancel()
	direct, relayed := make(chan error, len(targets)), make(chan error, len(targets))
	for _, t := range targets {
		go func() { direct <- p.probe(ctx, p.dialDirect, t) }()
		go func() {
			if wait.For(ctx, relayedHeadStart) != nil {
				relayed <- errNoRelay
				return
			}
			relayed <- p.probe(ctx, p.relays.dial, t)
		}()
	}
	var result egress.Diagnosis
	for i := 0; i < 2*len(targets) && !result.Direct; i++ {
		select {
		case err := <-direct:
			result.Direct = result.Direct || err == nil
		case err := <-relayed:
			var relayErr *peer.RelayError
			result.Relayed = result.Relayed || err == nil
			result.Compared = result.Compared || err == nil || errors.As(err, &relayErr)
		}
	}
	p.metrics.countDiagnosis(result)
	path := p.tracker.RecordDiagnosis(result, boottime.Now())
	p.log.Warn().Str("event", "upstream-paths-compared").Int("upstreams", len(targets)).Bool("direct", result.Direct).Bool("relayed", result.Relayed).Bool("compared", result.Compared).
		Int("failures", failures.Count).Int("addresses", failures.Addresses).Stringer("path", path).Msg("")
	if path == egress.Relayed {
		p.changed(path)
	} else if result.Direct {
		p.logUsable(failures)
	}
}

// probeDirect probes the direct path while connections are relayed.
func (p *egressPaths) probeDirect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, diagnosisTimeout)
	defer cancel()
	for _, t := range p.probeTargets(1) {
		if p.tracker.RecordProbe(p.probe(ctx, p.dialDirect, t) == nil, boottime.Now()) == egress.Direct {
			p.changed(egress.Direct)
		}
	}
}

// changed applies a change of the path.
func (p *egressPaths) changed(path egress.Path) {
	p.suspected.Store(path == egress.Relayed)
	p.log.Warn().Str("event", "upstream-path-changed").Stringer("path", path).Int("relays", p.relays.knownCount()).Msg("")
	// Idle connections of the other path may be dead, or occupy another host.
	p.CloseIdleConnections()
	p.onChange(path)
}

// probe returns nil if the upstream answers over a new connection, with whatever status: it checks the path. If its
// service has no health check, an open connection counts as an answer.
func (p *egressPaths) probe(ctx context.Context, dial sealedconn.DialFunc, t probeTarget) error {
	conn, err := dial(ctx, "tcp", t.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if t.healthPath == "" {
		return nil
	}
	transport := sealedconn.NewTransportWith(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
	transport.DisableKeepAlives, transport.MaxResponseHeaderBytes = true, maxAnswerHeader
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+t.healthPath, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if responsecheck.IsInvalid(err) {
		return nil // the path carried it
	}
	if err != nil {
		return err
	}
	resp.Body.Close()
	return nil
}

// refusesConnections reports whether nothing listens at the upstream's address. A refusal on the
// direct path counts only if another upstream can be reached by it, since a host that lost its path is
// refused everywhere.
func (p *egressPaths) refusesConnections(ctx context.Context, address string) bool {
	dial, path := p.dialDirect, p.tracker.Path()
	if path == egress.Relayed {
		dial = p.relays.dial
	}
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	return path == egress.Relayed || !p.relays.available() || p.reachesAnother(ctx, address)
}

// reachesAnother reports whether another upstream than the one at the address accepts a direct
// connection.
func (p *egressPaths) reachesAnother(ctx context.Context, address string) bool {
	var others []string
	for _, t := range p.probeTargets(comparedUpstreams) {
		if t.address != address {
			others = append(others, t.address)
		}
	}
	return guard.AcceptsAny(ctx, p.dialDirect, others)
}

// isSilent reports whether at least two upstreams owe an answer over direct connections, and none sent
// anything for egress.SilenceLimit.
func (p *egressPaths) isSilent(now time.Time) bool {
	since := int64(boottime.Elapsed() - egress.SilenceLimit)
	if p.receivedAt.Load() > since {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	owing := ""
	for conn := range p.open {
		if sentAt := conn.owesSince.Load(); sentAt == 0 || sentAt > since {
			continue
		}
		if owing != "" && owing != conn.address {
			return true
		}
		owing = conn.address
	}
	return false
}

// observe returns the connection, whose use is recorded from now on.
func (p *egressPaths) observe(conn net.Conn, address string, openedAt time.Time) net.Conn {
	c := &observedConn{Conn: conn, paths: p, address: address, openedAt: openedAt}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return c
}

// observedConn is a direct connection to an upstream.
type observedConn struct {
	net.Conn
	paths    *egressPaths
	address  string
	openedAt time.Time
	// owesSince is the time since boot at which the host began to send without having received
	// anything since; 0 if it received something.
	owesSince atomic.Int64
	// observed is set once the connection's result was recorded, or the host closed it.
	observed atomic.Bool
}

// Write implements net.Conn.
func (c *observedConn) Write(b []byte) (int, error) {
	c.owesSince.CompareAndSwap(0, int64(boottime.Elapsed()))
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	used := c.owesSince.Load() != 0
	if n > 0 {
		c.paths.receivedAt.Store(int64(boottime.Elapsed()))
		c.owesSince.Store(0)
	}
	if (n > 0 || err != nil) && c.observed.CompareAndSwap(false, true) {
		switch {
		case n > 0:
			c.paths.connectionUsable(c.openedAt)
		case used: // an upstream may close a connection that isn't used
			c.paths.connectionFailed(c.address, err)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.observed.Store(true)
	c.paths.mu.Lock()
	delete(c.paths.open, c)
	c.paths.mu.Unlock()
	return c.Conn.Close()
}
