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

// The load: a quarter of the upstreams ends at once, and some start again at their addresses
// under new ids. Entries tell of it seconds later; until then each request meets several that
// aren't there.

// Upstreams that aren't there spend none of the tries that operators permit.
func TestMissedUpstreamsSpendNoTry(t *testing.T) {
	for _, route := range []string{"once", "many"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, testDocument()) // three tries
			for i := range maxMissed {
				w.unreachable("gone-" + strconv.Itoa(i))
			}
			w.upstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, succeed("ok"))
			got := w.do(w.request("POST", "/"+route+"/x", "body"))
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "ok")
		})
	}
}

// However many aren't there, the refusal comes soon.
func TestMissedUpstreamsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	for i := range 40 {
		w.unreachable("gone-" + strconv.Itoa(i))
	}
	got := w.do(w.request("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	s := w.gateway.fleet.shard("svc")
	ejected := 0
	for _, m := range s.members {
		if m.used().ejections > 0 {
			ejected++
		}
	}
	is.Equal(ejected, 3+maxMissed)
}

// An upstream at whose address another one answers is asked once, not by each request.
func TestMisdirectedRequestsAreFew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	former := w.upstream("former", fail(http.StatusMisdirectedRequest))
	w.upstreamOf(Upstream{ID: "there", Zone: "z2", Version: "v1"}, succeed("ok"))
	for range 10 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "ok")
	}
	is.Equal(former.count(), 1)
}

// The entry of an upstream that started again at the address of one that ended takes that
// one's place at once.
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
		takesWork := func(id string) bool { return fleet.shard("svc").members[id].takesWork(time.Now(), time.Second) }
		time.Sleep(2 * sameTable)
		fleet.Set(u("started", "10.0.0.1:80"), 3)
		is.True(!takesWork("former"))
		is.True(takesWork("started"))
		is.True(takesWork("other") && takesWork("same-table")) // it isn't known which one is there
		fleet.Set(u("former", "10.0.0.1:80"), 4)               // its last heartbeat, late
		is.True(!takesWork("former") && takesWork("started"))
	})
}

// What one host saw of an upstream's end, the others needn't find out by requests.
func TestUpstreamThatEndedElsewhereIsPassedOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	near := w.upstream("near", succeed("near"))
	w.upstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, succeed("far"))
	u := Upstream{ID: "near"}
	w.gateway.guard.TakeStanding(exchange.Standing{Ended: []exchange.Ending{{Incarnation: quarantine.Incarnation(u.exchangeName()), Age: 100 * time.Millisecond}}})
	for range 5 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "far")
	}
	is.Equal(near.count(), 0)
}

// An upstream that started again under its id, or that moved, is at its address as any other:
// the next one there takes its place, and one at its former address doesn't.
func TestUpstreamThatMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		u := func(id, address string, incarnation Incarnation) Upstream {
			return Upstream{ID: id, Incarnation: incarnation, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}
		}
		takesWork := func(id string) bool { return fleet.shard("svc").members[id].takesWork(time.Now(), time.Second) }
		fleet.Set(u("restarted", "10.0.0.1:80", 1), 1)
		fleet.Set(u("moved", "10.0.0.2:80", 1), 2)
		fleet.Set(u("restarted", "10.0.0.1:80", 2), 3)
		fleet.Set(u("moved", "10.0.0.3:80", 1), 4)
		time.Sleep(2 * sameTable)
		fleet.Set(u("at-the-former", "10.0.0.2:80", 1), 5)
		is.True(takesWork("moved") && takesWork("restarted"))
		fleet.Set(u("next", "10.0.0.1:80", 1), 6)
		fleet.Set(u("next-to-move", "10.0.0.3:80", 1), 7)
		is.True(!takesWork("restarted") && !takesWork("moved"))
		is.True(takesWork("at-the-former") && takesWork("next") && takesWork("next-to-move"))
	})
}

// BenchmarkList is what a host takes to learn 3,000 upstreams: 301 hosts that all start again
// do it at once, on a fifth of a core each.
func BenchmarkList(b *testing.B) {
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
