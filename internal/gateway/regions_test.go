package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// twoRegions maps zones to regions for a host in zone z1.
var twoRegions = map[string]string{"z1": "south", "z2": "south", "z3": "north", "z4": "north"}

// newRegionTest returns a gateway in region south. Its routes are restricted to the regions in
// route, its account to those in account; nil means no restriction.
func newRegionTest(t *testing.T, route, account []string) *testGateway {
	t.Helper()
	tg := newTestGateway(t, restrictedDocument(route, account))
	tg.gateway.fleet.topology = zoneTopology{zone: "z1", regions: twoRegions}
	return tg
}

// restrictedDocument returns a document whose routes and account are restricted to the regions.
func restrictedDocument(route, account []string) routing.Document {
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Regions = route
	}
	doc.Accounts[0].Regions = account
	return doc
}

// startUpstreamsIn starts the given number of upstreams in each of the zones. It returns their logs
// by zone.
func (tg *testGateway) startUpstreamsIn(countPerZone int, handler http.HandlerFunc, zones ...string) map[string][]*requestLog {
	logs := make(map[string][]*requestLog)
	for _, zone := range zones {
		for i := range countPerZone {
			u := Upstream{ID: fmt.Sprint(zone, "-", i), Zone: zone, Version: "v1"}
			logs[zone] = append(logs[zone], tg.startUpstreamOf(u, handler))
		}
	}
	return logs
}

func requestsIn(logs map[string][]*requestLog, zone string) int {
	n := 0
	for _, log := range logs[zone] {
		n += log.count()
	}
	return n
}

// A request that is restricted to regions must not reach an upstream of another region. An earlier
// version ignored the restriction.
func TestRequestsStayInTheirRegions(t *testing.T) {
	tests := []struct {
		desc           string
		route, account []string
		permittedZones []string // the zones that may get the requests; empty if they are refused
	}{
		{"no restriction", nil, nil, []string{"z1"}},
		{"the route, own region", []string{"south"}, nil, []string{"z1"}},
		{"the route, other region", []string{"north"}, nil, []string{"z3", "z4"}},
		{"the account, other region", nil, []string{"north"}, []string{"z3", "z4"}},
		{"both, overlapping", []string{"north"}, []string{"north", "south"}, []string{"z3", "z4"}},
		{"both, disjoint", []string{"north"}, []string{"south"}, nil},
		{"an unknown region", []string{"east"}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newRegionTest(t, test.route, test.account)
			logs := tg.startUpstreamsIn(6, respondOK("hello"), "z1", "z2", "z3", "z4") // more than fullScanLimit
			for range 30 {
				got := tg.do(tg.newRequest("POST", "/once/x", "body"))
				if len(test.permittedZones) > 0 {
					is.Equal(got.status, http.StatusOK)
					continue
				}
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
			}
			sum := 0
			for _, zone := range test.permittedZones {
				sum += requestsIn(logs, zone)
			}
			is.Equal(sum, 30*min(1, len(test.permittedZones)))
			for _, zone := range []string{"z1", "z2", "z3", "z4"} {
				if len(test.permittedZones) == 0 {
					is.Equal(requestsIn(logs, zone), 0)
				}
			}
		})
	}
}

// A request that no permitted region can serve must be refused at once, not at its deadline.
func TestRefusalForRegionsTakesNoTime(t *testing.T) {
	tests := []struct {
		desc           string
		route, account []string
	}{
		{"disjoint regions", []string{"north"}, []string{"south"}},
		{"an unknown region", []string{"east"}, nil},
		{"a region without upstreams", []string{"north"}, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, _ := newGatewayWithoutServer(t, restrictedDocument(test.route, test.account))
				tg := &testGateway{t: t, gateway: g, frontend: &httptest.Server{URL: "http://gateway.test"}}
				g.fleet.topology = zoneTopology{zone: "z1", regions: twoRegions}
				g.fleet.ApplyEntry(Upstream{ID: "a", Service: "svc", Zone: "z1", Version: "v1", Address: "127.0.0.1:1"}, 1)
				began, answer := time.Now(), httptest.NewRecorder()
				g.ServeHTTP(answer, tg.newRequest("POST", "/once/x", "body"))
				is.Equal(answer.Code, http.StatusServiceUnavailable)
				is.Equal(time.Since(began), time.Duration(0))
			})
		})
	}
}

// Without a mapping from zones to regions, no zone is in a named region, so restricted requests are
// refused.
func TestRestrictedRequestWithoutKnownRegions(t *testing.T) {
	is := is.New(t)
	tg := newRegionTest(t, []string{"south"}, nil)
	tg.gateway.fleet.topology = zoneTopology{zone: "z1"}
	log := tg.startUpstream("a", respondOK("hello"))
	is.Equal(tg.do(tg.newRequest("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(log.count(), 0)
}

// If all upstreams of the permitted region are gone, a restricted request must be refused although
// the upstreams of the other region are idle.
func TestRestrictedRequestWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	tg := newRegionTest(t, []string{"south"}, nil)
	logs := tg.startUpstreamsIn(3, respondOK("hello"), "z1", "z3")
	tg.gateway.fleet.changedSince = func() time.Time { return time.Now().Add(-time.Minute) }
	for i := range 3 {
		tg.gateway.fleet.RemoveEntry(fmt.Sprint("z1-", i), 2, false)
	}
	is.Equal(tg.do(tg.newRequest("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(requestsIn(logs, "z1")+requestsIn(logs, "z3"), 0)
}

// Retries, resumed streams and attempts on a better model must stay in the permitted regions, too.
func TestFurtherAttemptsStayInTheirRegions(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		"/many/x":   respondStatus(http.StatusInternalServerError),
		"/stream/x": streamEvents(1, 2, true),
		"/models/x": streamEvents(1, 2, false, "T-Confidence", "1"),
	} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			is := is.New(t)
			tg := newRegionTest(t, []string{"south"}, nil)
			tg.gateway.hostCount.Store(1)
			logs := tg.startUpstreamsIn(2, handler, "z1", "z2")
			otherRegion := tg.startUpstreamsIn(10, handler, "z3", "z4")
			for range 20 {
				tg.do(tg.newRequest("POST", path, "body", "T-Model", "*", "T-Tokens", "100,10"))
			}
			is.True(requestsIn(logs, "z1")+requestsIn(logs, "z2") > 20) // further attempts were made
			is.Equal(requestsIn(otherRegion, "z3")+requestsIn(otherRegion, "z4"), 0)
		})
	}
}

// If the document changes the regions of a route between two attempts of a request, the second
// attempt is restricted by both documents.
func TestRegionsThatChangeDuringARequest(t *testing.T) {
	is := is.New(t)
	tg := newRegionTest(t, nil, nil)
	moved := testDocument()
	moved.Version++
	for i := range moved.Routes {
		moved.Routes[i].Regions = []string{"north"}
	}
	table, err := routing.New(moved)
	is.NoErr(err)
	south := tg.startUpstreamsIn(4, func(rw http.ResponseWriter, req *http.Request) {
		tg.gateway.routingTable.Store(table)
		respondStatus(http.StatusInternalServerError)(rw, req)
	}, "z1")
	north := tg.startUpstreamsIn(4, respondOK("hello"), "z3")
	tg.gateway.hostCount.Store(1)
	got := tg.do(tg.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusOK)
	is.Equal(requestsIn(south, "z1"), 1)
	is.Equal(requestsIn(north, "z3"), 1)
}

// A restricted request stays on the old version if the new version runs only in other regions.
func TestRolloutOutsideTheRegions(t *testing.T) {
	is := is.New(t)
	tg := newRegionTest(t, []string{"south"}, nil)
	f, ro := tg.gateway.fleet, tg.gateway.rollouts
	f.ApplyEntry(Upstream{ID: "old", Service: "svc", Zone: "z1", Version: "v1"}, 1)
	f.ApplyEntry(Upstream{ID: "new", Service: "svc", Zone: "z3", Version: "v2"}, 2)
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 3}, false)
	ro.byService["svc"].requestShare = 1
	route, _ := tg.gateway.routingTable.Load().Match(testHost, "/once/x")
	r := &Request{ID: "r", Service: "svc", Table: tg.gateway.routingTable.Load(), Route: route, Host: testHost, Target: "/once/x", Header: http.Header{}}
	is.True(ro.versionFilter(r)("v2"))
	r.regions = tg.gateway.allowedRegions(r)
	is.True(!ro.versionFilter(r)("v2"))
	is.True(ro.versionFilter(r)("v1"))
}

// A request that may run in any region runs in the region of its host while that has upstreams in
// service.
func TestOwnRegionIsPreferred(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, newTestGateway(t, testDocument()).gateway.log)
	f.topology = zoneTopology{zone: "z1", regions: map[string]string{"z0": "south", "z1": "south", "z2": "north", "z3": "north"}}
	for i := range 400 {
		f.ApplyEntry(Upstream{ID: fmt.Sprintf("i-%05d", i), Service: "svc", Zone: fmt.Sprint("z", i%4), Version: "v1", Slots: 32}, storage.Revision(i+1))
	}
	otherRegion := 0
	for i := range 200 {
		c, ok := f.choose(sharedPrefixCriteria(fmt.Sprint("part ", i)))
		is.True(ok)
		if !f.topology.sameRegion(c.upstream.Zone) {
			otherRegion++
		}
		f.headReceived(&c, 50*time.Millisecond)
		f.release(c, attemptResult{outcome: outcomeDone})
	}
	is.Equal(otherRegion, 0)
}
