package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// coldWorld is a gateway among others, whose service has cold upstreams that tolerate ten
// requests a second.
func coldWorld(t *testing.T) *world {
	w := newWorld(t, testDocument())
	access := w.gateway.fleet.access
	access.alone, access.overrun, access.spare = false, 1.5, 5
	w.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdStart: 3 * time.Second, ColdRate: 10}})
	return w
}

// hold gives the gateway the upstream.
func (w *world) hold(roots int, ids ...string) {
	parts := w.gateway.fleet.shard("svc").bound.Parts(roots)
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.UpstreamOf(id), Parts: parts, Of: parts})
	}
	now := boottime.Now()
	w.gateway.fleet.TakeHolding(ratelease.Hold(ratelease.Root(grants, roots), now, nil), now)
}

// leased are the upstreams whose requests are leased.
func (w *world) leased() []ratelease.Upstream {
	var upstreams []ratelease.Upstream
	for _, g := range w.gateway.fleet.Leased(3) {
		upstreams = append(upstreams, g.Upstream)
	}
	slices.Sort(upstreams)
	return upstreams
}

func TestColdUpstreamWithoutALeaseGetsNothing(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	cold := w.upstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, succeed("cold"))
	began := time.Now()
	got := w.do(w.request("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable) // at once, with a time to come back at
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	w.upstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, succeed("warm"))
	for range 5 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "warm")
	}
	is.Equal(cold.count(), 0)
	is.Equal(w.leased(), []ratelease.Upstream{ratelease.UpstreamOf("cold")})
}

func TestColdUpstreamGetsTheLeasesPart(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	cold := w.upstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, succeed("cold"))
	w.upstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, succeed("warm"))
	w.hold(3, "cold")
	for range 20 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusOK)
	}
	// A third of three quarters of 20, in two parts; all came within the window.
	is.Equal(cold.count(), 4)
}

func TestUpstreamIsWarmWhenItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	w.upstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: 100 * time.Millisecond}, succeed("cold"))
	is.Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	time.Sleep(120 * time.Millisecond)
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "cold")
	is.Equal(len(w.leased()), 0)
}

// A service that declares no rate has no cold upstreams.
func TestServiceWithoutARateKnowsNoCold(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	w.upstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, succeed("cold"))
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "cold")
}

// What operators declare later counts for the entries that are known.
func TestRateThatIsDeclaredLater(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	w.upstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, succeed("cold"))
	w.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdRate: 10}})
	is.Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
}

func evacuation(zone string, revision storage.Revision, deleted bool) feed.Row {
	return feed.Row{Key: "evacuation/" + zone, Revision: revision, Deleted: deleted}
}

func TestEvacuation(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	rows := newOperatorRows(w.gateway)
	near := w.upstreamOf(Upstream{ID: "near", Zone: "z1", Version: "v1"}, succeed("near"))
	w.upstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, succeed("far"))
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "near")

	rows.Change(evacuation("z1", 5, false)) // what its row says is of no matter
	rows.Change(evacuation("unknown", 6, false))
	for range 3 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "far")
	}
	rows.Change(evacuation("z2", 7, false)) // now all are
	began := time.Now()
	got := w.do(w.request("POST", "/once/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second)
	is.Equal(near.count(), 1)

	// One that is taken back is cold; another host may have the lease.
	rows.Replace([]feed.Row{evacuation("z2", 7, false)}, 7)
	is.Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	w.hold(1, "near")
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "near")
	rows.Change(evacuation("z2", 8, true))
	is.Equal(w.leased(), slices.Sorted(slices.Values([]ratelease.Upstream{ratelease.UpstreamOf("far"), ratelease.UpstreamOf("near")})))
}

// An evacuation doesn't make another version the one in service: nobody ordered it.
func TestEvacuationMovesNoVersion(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	w.upstreamOf(Upstream{ID: "old", Zone: "z1", Version: "v1"}, succeed("old"))
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "old")
	other := w.upstreamOf(Upstream{ID: "new", Zone: "z2", Version: "v2"}, succeed("new"))
	newOperatorRows(w.gateway).Change(evacuation("z1", 5, false))
	is.Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	is.Equal(other.count(), 0)
}

// A request without a session goes on on the old version while the new one's upstreams are
// cold or in an evacuated zone; one of a session waits for its version.
func TestRolloutWhoseUpstreamsAreOutOfReach(t *testing.T) {
	is := is.New(t)
	w := coldWorld(t)
	w.upstreamOf(Upstream{ID: "old", Zone: "z2", Version: "v1"}, succeed("old"))
	w.upstreamOf(Upstream{ID: "new", Zone: "z1", Version: "v2"}, succeed("new"))
	m := w.gateway.rollouts
	m.order(Order{Service: "svc", Version: "v2", Duration: time.Hour, Revision: 2}, false)
	m.status(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: 2, Revision: 3})
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "new")
	newOperatorRows(w.gateway).Change(evacuation("z1", 5, false))
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "old")
	is.Equal(w.do(w.request("GET", "/many/x", "", "T-Session", "s")).status, http.StatusServiceUnavailable)
}
