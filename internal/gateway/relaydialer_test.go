package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// testRelays returns a dialer that knows hosts with the addresses, in zones of the same names. dial opens
// its connections.
func testRelays(dial func(relay string) (net.Conn, error), addresses ...string) *relayDialer {
	d := newRelayDialer(zerolog.Nop())
	d.hosts = func() []exchange.RelayHost {
		var list []exchange.RelayHost
		for _, a := range addresses {
			list = append(list, exchange.RelayHost{Address: a, Zone: a})
		}
		return list
	}
	d.dialRelayed = func(_ context.Context, relay, _ string, _ peer.RelayEvents) (net.Conn, error) { return dial(relay) }
	return d
}

// A host that declines or is gone must not cost the request its connection, and isn't asked first again
// for a while. An upstream that refuses is down, whichever host asks.
func TestRelayedConnectionTriesOtherHosts(t *testing.T) {
	is := is.New(t)
	var asked []string
	d := testRelays(func(relay string) (net.Conn, error) {
		asked = append(asked, relay)
		if relay == "gone" {
			return nil, peer.ErrUnreachable
		}
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		return near, nil
	}, "gone", "works")
	for range 20 {
		conn, err := d.dial(t.Context(), "tcp", "upstream")
		is.NoErr(err)
		conn.Close()
	}
	is.Equal(len(slices.DeleteFunc(slices.Clone(asked), func(a string) bool { return a == "works" })), 1)
	is.Equal(len(d.openCount), 0)

	asked = nil
	d = testRelays(func(relay string) (net.Conn, error) {
		asked = append(asked, relay)
		return nil, &peer.RelayError{Relay: relay, Err: syscall.ECONNREFUSED}
	}, "a", "b", "c")
	_, err := d.dial(t.Context(), "tcp", "upstream")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.Equal(len(asked), 1)
}

// A request may run only in certain regions, and its content may not be sent to hosts elsewhere. A host in
// the region of the upstream is always permitted.
func TestConnectionsAreRelayedInTheUpstreamsRegion(t *testing.T) {
	is := is.New(t)
	d := testRelays(nil, "near", "far")
	d.allowed = func(zone, address string) bool { return zone == "near" }
	is.Equal(d.order("upstream"), []string{"near"})
	d.allowed = func(string, string) bool { return false }
	_, err := d.dial(t.Context(), "tcp", "upstream")
	is.True(errors.Is(err, errNoRelay))
}

// Two hosts that both lost their upstreams must not pass connections to each other, and nobody may use a
// host to connect to anything but an upstream.
func TestHostDeclinesToRelay(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	g := tg.gateway
	log := tg.startUpstream("u1", respondOK("ok"))
	address := ""
	for _, m := range g.fleet.shard("svc").members {
		address = m.Address
	}
	conn, err := g.dialForOther(t.Context(), "h2", address)
	is.NoErr(err)
	is.Equal(g.relayedForOthers.Load(), int64(1))
	conn.Close()
	conn.Close()
	is.Equal(g.relayedForOthers.Load(), int64(0))
	_, err = g.dialForOther(t.Context(), "h2", "127.0.0.1:1")
	is.True(errors.Is(err, peer.ErrRelayDeclined)) // not an upstream

	g.settings.Peers.LinkMbps = 0.5
	first, err := g.dialForOther(t.Context(), "h2", address)
	is.NoErr(err)
	_, err = g.dialForOther(t.Context(), "h2", address)
	is.True(errors.Is(err, peer.ErrRelayDeclined)) // a slow link carries one connection
	first.Close()

	// Terminated upstreams make a sound host suspect its path for a moment. It relays meanwhile if it
	// received something just now, but what fails then is no failure of the upstream.
	g.egress.receivedAt.Store(int64(boottime.Elapsed()))
	g.egress.tracker.ConnectionFailed("a", boottime.Now())
	g.egress.tracker.ConnectionFailed("b", boottime.Now())
	second, err := g.dialForOther(t.Context(), "h2", address)
	is.NoErr(err)
	second.Close()
	tg.addUnreachable("terminated")
	_, err = g.dialForOther(t.Context(), "h2", g.fleet.shard("svc").members["terminated"].Address)
	is.True(errors.Is(err, peer.ErrRelayDeclined))
	g.egress.receivedAt.Store(int64(boottime.Elapsed() - 2*maxProofAge))
	_, err = g.dialForOther(t.Context(), "h2", address)
	is.True(errors.Is(err, peer.ErrRelayDeclined))
	g.egress.tracker.RecordDiagnosis(egress.Diagnosis{Relayed: true}, boottime.Now())
	_, err = g.dialForOther(t.Context(), "h2", address)
	is.True(errors.Is(err, peer.ErrRelayDeclined))
	is.Equal(g.relayedForOthers.Load(), int64(0))
	is.Equal(log.count(), 0)
}

// A host that lost its path is refused by all upstreams. It must not report to the other hosts that these
// terminated, since the others would send them no requests.
func TestRefusalOnAnInterruptedPathIsNoTermination(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	p := tg.gateway.egress
	tg.startUpstream("u1", respondOK("ok"))
	tg.startUpstream("u2", respondOK("ok"))
	tg.addUnreachable("terminated")
	address := tg.gateway.fleet.shard("svc").members["terminated"].Address
	alive := tg.gateway.fleet.shard("svc").members["u1"].Address
	p.relays.dialRelayed = func(_ context.Context, relay, target string, _ peer.RelayEvents) (net.Conn, error) {
		if target == address {
			return nil, &peer.RelayError{Relay: relay, Err: syscall.ECONNREFUSED}
		}
		return net.DialTimeout("tcp", target, time.Second)
	}
	p.relays.hosts = func() []exchange.RelayHost { return []exchange.RelayHost{{Address: "h2"}} }
	terminated := func() bool {
		for range 20 { // the upstreams that are compared with are drawn
			if p.refusesConnections(t.Context(), address) {
				return true
			}
		}
		return false
	}
	is.True(terminated())
	p.dialDirect = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	is.True(!terminated() && !p.refusesConnections(t.Context(), alive)) // nothing is known yet
	p.tracker.ConnectionFailed(address, boottime.Now())
	p.tracker.ConnectionFailed(alive, boottime.Now())
	p.diagnose()
	is.Equal(p.tracker.Path(), egress.Relayed)
	is.True(p.refusesConnections(t.Context(), address)) // as the other host finds
	is.True(!p.refusesConnections(t.Context(), alive))
}

// A host that relays connections and fails must not make the upstreams behind it count as failing: they were
// avoided then, and all requests went to the one that is limited.
func TestRelayFailureIsNoFailureOfTheUpstream(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("u1", respondOK("ok"))
	p := tg.gateway.egress
	relays := testRelays(func(string) (net.Conn, error) { return nil, peer.ErrUnreachable }, "gone")
	p.relays.dialRelayed, p.relays.hosts = relays.dialRelayed, relays.hosts
	p.tracker.RecordDiagnosis(egress.Diagnosis{Relayed: true, Compared: true}, boottime.Now())
	for range 5 {
		is.Equal(tg.do(tg.newRequest("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	}
	m := tg.gateway.fleet.shard("svc").members["u1"]
	is.True(!m.ejected(boottime.Now()))
	is.Equal(m.currentFailureRate(boottime.Now()), 0.0)
	broken := attemptResult{outcome: outcomeBroken, err: peer.ErrBroken}
	is.Equal(broken.guardOutcome(), guard.Abandoned)
}
