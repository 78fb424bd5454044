package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/peer"
)

const (
	// maxRelayTries is the number of hosts that are asked to relay one connection.
	maxRelayTries = 3
	// relayTryTimeout bounds the time in which a host opens a relayed connection: it includes
	// dialTimeout at that host.
	relayTryTimeout = dialTimeout + 150*time.Millisecond
	// failedRelayBackoff is how long a host that failed or declined isn't asked if there are others.
	failedRelayBackoff = 2 * time.Second
)

// errNoRelay means that no host is known that may relay a connection to the upstream.
var errNoRelay = errors.New("gateway: no host relays connections to the upstream")

// isRelayFailure reports whether an attempt failed because of the hosts that relay connections. That tells
// nothing about the upstream.
func isRelayFailure(err error) bool {
	for _, cause := range []error{errNoRelay, peer.ErrRelayDeclined, peer.ErrUnreachable, peer.ErrBroken, peer.ErrAuthentication} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// relayDialer opens connections to upstreams that other hosts relay. Only hosts in the upstream's region
// relay them: a request may be sent to any host in the regions in which it may run.
type relayDialer struct {
	log zerolog.Logger
	// hosts returns the known hosts that relay connections. dialRelayed opens a connection by one of
	// them. allowed reports whether a host of the zone may relay connections to the upstream at the
	// address.
	hosts       func() []exchange.RelayHost
	dialRelayed func(ctx context.Context, relay, address string, events peer.RelayEvents) (net.Conn, error)
	allowed     func(zone, address string) bool
	count       func(result string)
	// closing is set if idle connections must be closed, since a host that relays some of them failed or
	// is about to stop.
	closing atomic.Bool

	mu sync.Mutex
	// openCount holds the number of open connections by the relaying host's address, avoidUntil the
	// time until which other hosts are preferred.
	openCount  map[string]int
	avoidUntil map[string]time.Time
}

func newRelayDialer(log zerolog.Logger) *relayDialer {
	return &relayDialer{
		log: log, hosts: func() []exchange.RelayHost { return nil }, allowed: func(string, string) bool { return true }, count: func(string) {},
		openCount: make(map[string]int), avoidUntil: make(map[string]time.Time),
	}
}

// available reports whether other hosts may relay connections at all.
func (d *relayDialer) available() bool { return d.dialRelayed != nil }

func (d *relayDialer) knownCount() int { return len(d.hosts()) }

// dial opens a connection to the upstream's address. If a host can't be reached or declines, the next
// one is asked; if it can't connect to the upstream, one other is.
func (d *relayDialer) dial(ctx context.Context, _, address string) (net.Conn, error) {
	lastErr := errNoRelay
	failedToConnect := 0
	for _, relay := range d.order(address) {
		conn, err := d.dialBy(ctx, relay, address)
		if err == nil {
			return conn, nil
		}
		lastErr = err
		var relayErr *peer.RelayError
		if errors.As(err, &relayErr) {
			failedToConnect++
		} else if ctx.Err() == nil {
			d.avoid(relay, err)
		}
		if ctx.Err() != nil || failedToConnect > 1 || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return nil, lastErr
}

// order returns the hosts to ask for a connection to the address, at most maxRelayTries: those that
// failed recently last, and of two random ones the one with fewer connections of this host first.
func (d *relayDialer) order(address string) []string {
	var usable, avoided []string
	now := boottime.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts() {
		switch {
		case !d.allowed(h.Zone, address):
		case now.Before(d.avoidUntil[h.Address]):
			avoided = append(avoided, h.Address)
		default:
			usable = append(usable, h.Address)
		}
	}
	for _, list := range [][]string{usable, avoided} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	if len(usable) > 1 && d.openCount[usable[1]] < d.openCount[usable[0]] {
		usable[0], usable[1] = usable[1], usable[0]
	}
	list := append(usable, avoided...)
	return list[:min(len(list), maxRelayTries)]
}

// avoid makes the other hosts preferred for a while.
func (d *relayDialer) avoid(relay string, err error) {
	d.mu.Lock()
	known := boottime.Now().Before(d.avoidUntil[relay])
	d.avoidUntil[relay] = boottime.Now().Add(failedRelayBackoff)
	d.mu.Unlock()
	d.closing.Store(true)
	if !known {
		d.log.Warn().Str("event", "relay-avoided").Str("relay", relay).Err(err).Msg("")
	}
}

// dialBy opens a connection to the address by one host.
func (d *relayDialer) dialBy(ctx context.Context, relay, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTryTimeout)
	defer cancel()
	conn, err := d.dialRelayed(ctx, relay, address, peer.RelayEvents{
		Closing: func() { d.avoid(relay, peer.ErrClosed) },
		Lost:    func(err error) { d.avoid(relay, err) },
	})
	if err != nil {
		d.count(connectionResult(err))
		return nil, err
	}
	d.count("usable")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openCount[relay]++
	return &relayedConn{Conn: conn, dialer: d, relay: relay}, nil
}

// takeClosing reports whether idle connections must be closed. While connections by an avoided host are in
// use, that stays so.
func (d *relayDialer) takeClosing() bool {
	if !d.closing.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, remaining := boottime.Now(), 0
	for relay, until := range d.avoidUntil {
		if now.Before(until) {
			remaining += d.openCount[relay]
		}
	}
	d.closing.Store(remaining > 0)
	return true
}

// relayedConn is a connection that another host relays.
type relayedConn struct {
	net.Conn
	dialer *relayDialer
	relay  string
	closed atomic.Bool
}

// relayOf returns the address of the host that relays the connection; empty if it is direct.
func relayOf(conn net.Conn) string {
	if relayed, ok := conn.(*relayedConn); ok {
		return relayed.relay
	}
	return ""
}

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		d := c.dialer
		d.mu.Lock()
		if d.openCount[c.relay]--; d.openCount[c.relay] <= 0 {
			delete(d.openCount, c.relay)
		}
		d.mu.Unlock()
	}
	return c.Conn.Close()
}

const (
	// maxRelayedConns is the maximum number of connections that this host relays for others. Each
	// takes two file descriptors.
	maxRelayedConns = 256
	// relayedConnsPerMbps bounds them on hosts with slow links, in connections for each Mbit/s.
	relayedConnsPerMbps = 2
)

// relayLimit returns the number of connections that this host relays for others.
func relayLimit(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxRelayedConns
	}
	return max(1, min(maxRelayedConns, int(relayedConnsPerMbps*linkMbps)))
}

// relaysForOthers reports whether this host relays connections for other hosts.
func (g *Gateway) relaysForOthers() bool {
	return !g.stopping.Load() && g.hasTables() && g.egress.tracker.Path() == egress.Direct
}

// dialForOther opens a connection that this host relays for another one. It is always direct, so that
// hosts without upstreams can't pass connections to each other. While this host's own path may be
// interrupted, a failure doesn't tell anything about the upstream, and the other host asks the next one.
func (g *Gateway) dialForOther(ctx context.Context, from, address string) (net.Conn, error) {
	if !g.relaysForOthers() || !g.egress.mayReachUpstreams() {
		return nil, fmt.Errorf("%w: this host doesn't reach upstreams or is stopping", peer.ErrRelayDeclined)
	}
	if _, listed := g.fleet.zoneOfAddress(address); !listed {
		return nil, fmt.Errorf("%w: no upstream is listed with the address", peer.ErrRelayDeclined)
	}
	if n := g.relayedForOthers.Add(1); int(n) > relayLimit(g.settings.Peers.LinkMbps) {
		g.relayedForOthers.Add(-1)
		return nil, fmt.Errorf("%w: %d connections are relayed", peer.ErrRelayDeclined, n-1)
	}
	openedAt := boottime.Now()
	conn, err := g.egress.dialDirect(ctx, "tcp", address)
	g.log.Info().Str("event", "connection-relayed").Str("for", from).Str("address", address).
		Int64("relayed", g.relayedForOthers.Load()).AnErr("error", err).Msg("")
	if err != nil {
		g.relayedForOthers.Add(-1)
		g.egress.connectionFailed(address, err)
		if g.egress.tracker.Failures().Suspicious() {
			return nil, fmt.Errorf("%w: this host's path may be interrupted: %w", peer.ErrRelayDeclined, err)
		}
		return nil, err
	}
	return &connForOther{Conn: g.egress.observe(conn, address, openedAt), count: &g.relayedForOthers}, nil
}

// connForOther is a connection that this host relays for another one.
type connForOther struct {
	net.Conn
	count  *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *connForOther) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.count.Add(-1)
	}
	return c.Conn.Close()
}
