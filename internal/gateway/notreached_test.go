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

// These tests cover the termination of many upstreams at once, for example of a quarter of them.
// Their entries are removed only seconds later; until then each request may be sent to several
// terminated upstreams. At some of their addresses, new upstreams with other ids start.

// Attempts that don't reach an upstream, because it has terminated, must not count towards
// MaxAttempts.
func TestNotReachedAttemptsAreNotCounted(t *testing.T) {
	for _, route := range []string{"once", "many"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument()) // MaxAttempts is 3
			for i := range maxNotReached {
				tg.addUnreachable("gone-" + strconv.Itoa(i))
			}
			tg.startUpstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, respondOK("ok"))
			got := tg.do(tg.newRequest("POST", "/"+route+"/x", "body"))
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "ok")
		})
	}
}

// The number of attempts that don't reach an upstream is bounded, too, so that the request is
// refused however many upstreams have terminated.
func TestNotReachedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	for i := range 40 {
		tg.addUnreachable("gone-" + strconv.Itoa(i))
	}
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	s := tg.gateway.fleet.shard("svc")
	ejected := 0
	for _, m := range s.members {
		if m.ensureUsage().ejections > 0 {
			ejected++
		}
	}
	is.Equal(ejected, 3+maxNotReached)
}

// After one attempt that found another upstream at the address of the chosen one, other requests
// must not be sent there.
func TestReplacedUpstreamGetsOneAttempt(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	former := tg.startUpstream("former", respondStatus(http.StatusMisdirectedRequest))
	tg.startUpstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, respondOK("ok"))
	for range 10 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "ok")
	}
	is.Equal(former.count(), 1)
}

// An upstream that is listed with the address of an earlier one replaces that one at once.
func TestNewUpstreamAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		u := func(id, address string) Upstream {
			return Upstream{ID: id, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}
		}
		fleet.ApplyEntry(u("former", "10.0.0.1:80"), 1)
		fleet.ApplyEntry(u("other", "10.0.0.2:80"), 2)
		fleet.ApplyEntry(u("same-table", "10.0.0.2:80"), 2)
		inService := func(id string) bool { return fleet.shard("svc").members[id].inService(time.Now()) }
		time.Sleep(2 * sameListingWindow)
		fleet.ApplyEntry(u("started", "10.0.0.1:80"), 3)
		is.True(!inService("former"))
		is.True(inService("started"))
		is.True(inService("other") && inService("same-table")) // either may listen at the address
		fleet.ApplyEntry(u("former", "10.0.0.1:80"), 4)        // its last heartbeat arrives late
		is.True(!inService("former") && inService("started"))
	})
}

// When a host is notified that another host detected the termination of an upstream, it ejects the
// upstream without failed requests of its own.
func TestUpstreamThatAnotherHostReportedTerminatedGetsNoRequests(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	near := tg.startUpstream("near", respondOK("near"))
	tg.startUpstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, respondOK("far"))
	u := Upstream{ID: "near"}
	tg.gateway.guard.ApplyStatus(exchange.QuarantineStatus{Terminated: []exchange.Termination{{Incarnation: quarantine.Incarnation(u.exchangeHash()), Age: 100 * time.Millisecond}}})
	for range 5 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "far")
	}
	is.Equal(near.count(), 0)
}

// An upstream that restarted, or whose address changed, is replaced by the next upstream that is
// listed with its current address, but not by one with its former address.
func TestUpstreamThatChangedItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		u := func(id, address string, incarnation Incarnation) Upstream {
			return Upstream{ID: id, Incarnation: incarnation, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}
		}
		inService := func(id string) bool { return fleet.shard("svc").members[id].inService(time.Now()) }
		fleet.ApplyEntry(u("restarted", "10.0.0.1:80", 1), 1)
		fleet.ApplyEntry(u("moved", "10.0.0.2:80", 1), 2)
		fleet.ApplyEntry(u("restarted", "10.0.0.1:80", 2), 3)
		fleet.ApplyEntry(u("moved", "10.0.0.3:80", 1), 4)
		time.Sleep(2 * sameListingWindow)
		fleet.ApplyEntry(u("at-the-former", "10.0.0.2:80", 1), 5)
		is.True(inService("moved") && inService("restarted"))
		fleet.ApplyEntry(u("next", "10.0.0.1:80", 1), 6)
		fleet.ApplyEntry(u("next-to-move", "10.0.0.3:80", 1), 7)
		is.True(!inService("restarted") && !inService("moved"))
		is.True(inService("at-the-former") && inService("next") && inService("next-to-move"))
	})
}

// BenchmarkSetEntries measures how long a host takes to apply the entries of 3,000 upstreams. When
// all 301 hosts of an installation restart, they all apply the entries at the same time, each host
// on a fifth of a core.
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
			fleet.ApplyEntry(u, storage.Revision(i+1))
		}
	}
}
