package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/storage"
)

// The load of these tests: a quarter of the upstreams ends at once, and some restart at their
// addresses under new ids. Their entries change seconds later; until then each request is sent to
// several upstreams that are gone.

// Attempts at upstreams that are gone don't use up the attempts that operators permit.
func TestGoneUpstreamsUseNoAttempt(t *testing.T) {
	for _, route := range []string{"once", "many"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, testDocument()) // MaxAttempts is 3
			for i := range maxNotReached {
				w.listUnreachable("gone-" + strconv.Itoa(i))
			}
			w.startUpstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, respondOK("ok"))
			got := w.do(w.newRequest("POST", "/"+route+"/x", "body"))
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "ok")
		})
	}
}

// However many upstreams are gone, the request is refused after a bounded number of attempts.
func TestAttemptsAtGoneUpstreamsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	for i := range 40 {
		w.listUnreachable("gone-" + strconv.Itoa(i))
	}
	got := w.do(w.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	s := w.gateway.fleet.shard("svc")
	ejected := 0
	for _, m := range s.members {
		if m.ensureUsage().ejections > 0 {
			ejected++
		}
	}
	is.Equal(ejected, 3+maxNotReached)
}

// An upstream at whose address another one answers is tried once, not by each request.
func TestMisdirectedRequestsAreFew(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	former := w.startUpstream("former", respondStatus(http.StatusMisdirectedRequest))
	w.startUpstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, respondOK("ok"))
	for range 10 {
		is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "ok")
	}
	is.Equal(former.count(), 1)
}

// An upstream that starts at the address of one that ended replaces it at once.
func TestNewUpstreamAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		u := func(id, address string) Upstream {
			return Upstream{ID: id, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}
		}
		fleet.Set(u("former", "10.0.0.1:80"), 1)
		fleet.Set(u("other", "10.0.0.2:80"), 2)
		fleet.Set(u("same-table", "10.0.0.2:80"), 2)
		inService := func(id string) bool { return fleet.shard("svc").members[id].inService(time.Now(), time.Second) }
		time.Sleep(2 * sameListingWindow)
		fleet.Set(u("started", "10.0.0.1:80"), 3)
		is.True(!inService("former"))
		is.True(inService("started"))
		is.True(inService("other") && inService("same-table")) // it isn't known which one is there
		fleet.Set(u("former", "10.0.0.1:80"), 4)               // its last heartbeat arrives late
		is.True(!inService("former") && inService("started"))
	})
}

// When one host detected the end of an upstream, the others avoid it without failed requests of
// their own.
func TestUpstreamThatEndedElsewhereIsPassedOver(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	near := w.startUpstream("near", respondOK("near"))
	w.startUpstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, respondOK("far"))
	u := Upstream{ID: "near"}
	w.gateway.guard.ApplyStatus(exchange.QuarantineStatus{Ended: []exchange.Ending{{Incarnation: quarantine.Incarnation(u.exchangeName()), Age: 100 * time.Millisecond}}})
	for range 5 {
		is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "far")
	}
	is.Equal(near.count(), 0)
}

// An upstream that restarted under its id, or that moved, is recorded at its current address: the
// next one there replaces it, and one at its former address doesn't.
func TestUpstreamThatMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		u := func(id, address string, incarnation Incarnation) Upstream {
			return Upstream{ID: id, Incarnation: incarnation, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}
		}
		inService := func(id string) bool { return fleet.shard("svc").members[id].inService(time.Now(), time.Second) }
		fleet.Set(u("restarted", "10.0.0.1:80", 1), 1)
		fleet.Set(u("moved", "10.0.0.2:80", 1), 2)
		fleet.Set(u("restarted", "10.0.0.1:80", 2), 3)
		fleet.Set(u("moved", "10.0.0.3:80", 1), 4)
		time.Sleep(2 * sameListingWindow)
		fleet.Set(u("at-the-former", "10.0.0.2:80", 1), 5)
		is.True(inService("moved") && inService("restarted"))
		fleet.Set(u("next", "10.0.0.1:80", 1), 6)
		fleet.Set(u("next-to-move", "10.0.0.3:80", 1), 7)
		is.True(!inService("restarted") && !inService("moved"))
		is.True(inService("at-the-former") && inService("next") && inService("next-to-move"))
	})
}

// BenchmarkSetEntries measures how long a host takes to apply the entries of 3,000 upstreams: 301
// hosts that all restart do it at once, on a fifth of a core each.
func BenchmarkSetEntries(b *testing.B) {
	const upstreams = 3000
	entries := make([]Upstream, upstreams)
	for i := range entries {
		id := strconv.Itoa(i)
		entries[i] = Upstream{ID: id, Service: "svc", Address: "10.0.0." + id + ":80", Zone: "z1", Version: "v1", Slots: 8}
	}
	for b.Loop() {
		fleet := NewFleet(time.Second, zerolog.Nop())
		for i, u := range entries {
			fleet.Set(u, storage.Revision(i+1))
		}
	}
}
