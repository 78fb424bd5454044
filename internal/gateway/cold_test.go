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

// newColdTest returns a gateway that isn't the only host. Cold upstreams of its service tolerate
// ten requests a second.
func newColdTest(t *testing.T) *testGateway {
	tg := newTestGateway(t, testDocument())
	policy := tg.gateway.fleet.policy
	policy.singleHost, policy.coldOverrun, policy.coldHeadroom = false, 1.5, 5
	tg.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdStart: 3 * time.Second, ColdRate: 10}})
	return tg
}

// leaseCold sets the gateway's leases: for each of the upstreams, all parts that a single one of
// the given number of root hubs grants.
func (tg *testGateway) leaseCold(roots int, ids ...string) {
	parts := tg.gateway.fleet.shard("svc").coldBound.Parts(roots)
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.NewUpstreamID(id), Parts: parts, PartsPerRoot: parts})
	}
	now := boottime.Now()
	tg.gateway.fleet.SetHolding(ratelease.NewHolding(ratelease.RootLease(grants, roots), now, nil), now)
}

// leasedUpstreams returns the upstreams for which the gateway would grant leases if it were a root
// hub.
func (tg *testGateway) leasedUpstreams() []ratelease.UpstreamID {
	var upstreams []ratelease.UpstreamID
	for _, g := range tg.gateway.fleet.LeaseGrants(3) {
		upstreams = append(upstreams, g.Upstream)
	}
	slices.Sort(upstreams)
	return upstreams
}

func TestColdUpstreamWithoutLeaseGetsNoRequests(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	cold := tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	began := time.Now()
	got := tg.do(tg.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable) // refused at once with a Retry-After header
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	tg.startUpstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, respondOK("warm"))
	for range 5 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "warm")
	}
	is.Equal(cold.count(), 0)
	is.Equal(tg.leasedUpstreams(), []ratelease.UpstreamID{ratelease.NewUpstreamID("cold")})
}

func TestColdUpstreamGetsTheLeasedShare(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	cold := tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	tg.startUpstreamOf(Upstream{ID: "warm", Zone: "z2", Version: "v1"}, respondOK("warm"))
	tg.leaseCold(3, "cold")
	for range 20 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusOK)
	}
	// At most 20 requests (1.5 times 10, plus 5) may reach the upstream in a second. Three quarters
	// of them are leased, a third of these by each root hub: 5, in two parts of 2 requests each.
	// All requests of this test fall within one such second.
	is.Equal(cold.count(), 4)
}

func TestUpstreamIsNoLongerColdAfterItsColdTime(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: 100 * time.Millisecond}, respondOK("cold"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	time.Sleep(120 * time.Millisecond)
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "cold")
	is.Equal(len(tg.leasedUpstreams()), 0)
}

// A service that declares no cold rate has no cold upstreams.
func TestServiceWithoutColdRateHasNoColdUpstreams(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "cold")
}

// A cold rate that operators declare after an entry was received applies to that upstream, too.
func TestColdRateThatIsDeclaredLater(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z1", Version: "v1", ColdFor: time.Minute}, respondOK("cold"))
	tg.gateway.fleet.SetServices([]routing.Service{{Name: "svc", ColdRate: 10}})
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
}

func evacuationRow(zone string, revision storage.Revision, deleted bool) feed.Row {
	return feed.Row{Key: "evacuation/" + zone, Revision: revision, Deleted: deleted}
}

func TestEvacuation(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	rows := newOperatorTableHandler(tg.gateway)
	near := tg.startUpstreamOf(Upstream{ID: "near", Zone: "z1", Version: "v1"}, respondOK("near"))
	tg.startUpstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, respondOK("far"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "near")

	rows.Change(evacuationRow("z1", 5, false)) // the row's content is ignored
	rows.Change(evacuationRow("unknown", 6, false))
	for range 3 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "far")
	}
	rows.Change(evacuationRow("z2", 7, false)) // now all zones are evacuated
	began := time.Now()
	got := tg.do(tg.newRequest("POST", "/once/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second)
	is.Equal(near.count(), 1)

	// After the evacuation of a zone its upstreams are cold, and this host holds no lease for them.
	rows.Replace([]feed.Row{evacuationRow("z2", 7, false)}, 7)
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	tg.leaseCold(1, "near")
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "near")
	rows.Change(evacuationRow("z2", 8, true))
	is.Equal(tg.leasedUpstreams(), slices.Sorted(slices.Values([]ratelease.UpstreamID{ratelease.NewUpstreamID("far"), ratelease.NewUpstreamID("near")})))
}

// An evacuation must not make requests run on another version without the order of a roll-out.
func TestEvacuationDoesNotChangeTheVersionInService(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	tg.startUpstreamOf(Upstream{ID: "old", Zone: "z1", Version: "v1"}, respondOK("old"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "old")
	other := tg.startUpstreamOf(Upstream{ID: "new", Zone: "z2", Version: "v2"}, respondOK("new"))
	newOperatorTableHandler(tg.gateway).Change(evacuationRow("z1", 5, false))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusServiceUnavailable)
	is.Equal(other.count(), 0)
}

// While the upstreams of a new version are cold or in an evacuated zone, requests without a session
// run on the old version. A session's request is refused, since it must run on the session's
// version.
func TestRolloutWhoseUpstreamsAreUnavailable(t *testing.T) {
	is := is.New(t)
	tg := newColdTest(t)
	tg.startUpstreamOf(Upstream{ID: "old", Zone: "z2", Version: "v1"}, respondOK("old"))
	tg.startUpstreamOf(Upstream{ID: "new", Zone: "z1", Version: "v2"}, respondOK("new"))
	ro := tg.gateway.rollouts
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Hour, Revision: 2}, false)
	ro.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: 2, Revision: 3})
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "new")
	newOperatorTableHandler(tg.gateway).Change(evacuationRow("z1", 5, false))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "old")
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "", "T-Session", "s")).status, http.StatusServiceUnavailable)
}
