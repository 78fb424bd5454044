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

// newColdTest returns a gateway that isn't the only host, whose service has cold upstreams that
// tolerate ten requests a second.
func newColdTest(t *testing.T) *testGateway {
	w := newTestGateway(t, testDocument())
	policy := w.gateway.fleet.policy
	policy.singleHost, policy.coldOverrun, policy.coldHeadroom = false, 1.5, 5
	w.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdStart: 3 * time.Second, ColdRate: 10}})
	return w
}

// leaseCold grants the gateway a lease of one part of each of the upstreams.
func (w *testGateway) leaseCold(roots int, ids ...string) {
	parts := w.gateway.fleet.shard("svc").coldBound.Parts(roots)
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.NewUpstreamID(id), Parts: parts, Of: parts})
	}
	now := boottime.Now()
	w.gateway.fleet.SetHolding(ratelease.NewHolding(ratelease.RootLease(grants, roots), now, nil), now)
}

// leasedUpstreams returns the upstreams whose requests are leased.
func (w *testGateway) leasedUpstreams() []ratelease.UpstreamID {
	var upstreams []ratelease.UpstreamID
	for _, g := range w.gateway.fleet.LeaseGrants(3) {
		upstreams = append(upstreams, g.Upstream)
	}
	slices.Sort(upstreams)
	return upstreams
}

func TestColdUpstreamWithoutLeaseGetsNoRequests(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	cold := w.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	began := time.Now()
	got := w.do(w.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable) // refused at once with a Retry-After header
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	w.startUpstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, respondOK("warm"))
	for range 5 {
		is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "warm")
	}
	is.Equal(cold.count(), 0)
	is.Equal(w.leasedUpstreams(), []ratelease.UpstreamID{ratelease.NewUpstreamID("cold")})
}

func TestColdUpstreamGetsTheLeasedShare(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	cold := w.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	w.startUpstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, respondOK("warm"))
	w.leaseCold(3, "cold")
	for range 20 {
		is.Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusOK)
	}
	// A third of three quarters of 20, in two parts; all requests fell within the window.
	is.Equal(cold.count(), 4)
}

func TestUpstreamIsWarmWhenItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	w.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: 100 * time.Millisecond}, respondOK("cold"))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	time.Sleep(120 * time.Millisecond)
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "cold")
	is.Equal(len(w.leasedUpstreams()), 0)
}

// A service that declares no cold rate has no cold upstreams.
func TestServiceWithoutRateHasNoColdUpstreams(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	w.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "cold")
}

// A cold rate that operators declare later applies to the entries that are already known.
func TestRateThatIsDeclaredLater(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	w.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	w.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdRate: 10}})
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
}

func evacuation(zone string, revision storage.Revision, deleted bool) feed.Row {
	return feed.Row{Key: "evacuation/" + zone, Revision: revision, Deleted: deleted}
}

func TestEvacuation(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	rows := newOperatorRows(w.gateway)
	near := w.startUpstreamOf(Upstream{ID: "near", Zone: "z1", Version: "v1"}, respondOK("near"))
	w.startUpstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, respondOK("far"))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "near")

	rows.Change(evacuation("z1", 5, false)) // the row's content is ignored
	rows.Change(evacuation("unknown", 6, false))
	for range 3 {
		is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "far")
	}
	rows.Change(evacuation("z2", 7, false)) // now all zones are evacuated
	began := time.Now()
	got := w.do(w.newRequest("POST", "/once/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second)
	is.Equal(near.count(), 1)

	// After its evacuation a zone is cold, and another host may hold the lease.
	rows.Replace([]feed.Row{evacuation("z2", 7, false)}, 7)
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	w.leaseCold(1, "near")
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "near")
	rows.Change(evacuation("z2", 8, true))
	is.Equal(w.leasedUpstreams(), slices.Sorted(slices.Values([]ratelease.UpstreamID{ratelease.NewUpstreamID("far"), ratelease.NewUpstreamID("near")})))
}

// An evacuation must not make another version the one in service without an order.
func TestEvacuationDoesNotChangeTheVersion(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	w.startUpstreamOf(Upstream{ID: "old", Zone: "z1", Version: "v1"}, respondOK("old"))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "old")
	other := w.startUpstreamOf(Upstream{ID: "new", Zone: "z2", Version: "v2"}, respondOK("new"))
	newOperatorRows(w.gateway).Change(evacuation("z1", 5, false))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	is.Equal(other.count(), 0)
}

// A request without a session runs on the old version while the new one's upstreams are cold or in
// an evacuated zone; a session's request waits for its version.
func TestRolloutWhoseUpstreamsAreUnavailable(t *testing.T) {
	is := is.New(t)
	w := newColdTest(t)
	w.startUpstreamOf(Upstream{ID: "old", Zone: "z2", Version: "v1"}, respondOK("old"))
	w.startUpstreamOf(Upstream{ID: "new", Zone: "z1", Version: "v2"}, respondOK("new"))
	m := w.gateway.rollouts
	m.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Hour, Revision: 2}, false)
	m.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: 2, Revision: 3})
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "new")
	newOperatorRows(w.gateway).Change(evacuation("z1", 5, false))
	is.Equal(w.do(w.newRequest("GET", "/many/x", "")).body, "old")
	is.Equal(w.do(w.newRequest("GET", "/many/x", "", "T-Session", "s")).status, http.StatusServiceUnavailable)
}
