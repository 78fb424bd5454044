package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// twoRegions maps zones to regions for a host in zone z1.
var twoRegions = map[string]string{"z1": "south", "z2": "south", "z3": "north", "z4": "north"}

// newRegionTest returns a gateway in region south whose routes and account are restricted to the
// regions.
func newRegionTest(t *testing.T, route, account []string) *testGateway {
	t.Helper()
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Regions = route
	}
	doc.Accounts[0].Regions = account
	w := newTestGateway(t, doc)
	w.gateway.fleet.topology = zoneTopology{zone: "z1", regions: twoRegions}
	return w
}

// startUpstreamsIn starts upstreams in each of the zones.
func (w *testGateway) startUpstreamsIn(each int, handler http.HandlerFunc, zones ...string) map[string][]*requestLog {
	logs := make(map[string][]*requestLog)
	for _, zone := range zones {
		for i := range each {
			u := Upstream{ID: fmt.Sprint(zone, "-", i), Zone: zone, Version: "v1"}
			logs[zone] = append(logs[zone], w.startUpstreamOf(u, handler))
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

// A restricted request must not reach an upstream of another region. The restriction was once
// ignored.
func TestRequestsStayInTheirRegions(t *testing.T) {
	tests := []struct {
		desc           string
		route, account []string
		served         []string // zones that get requests; none: refused
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
			w := newRegionTest(t, test.route, test.account)
			logs := w.startUpstreamsIn(6, respondOK("hello"), "z1", "z2", "z3", "z4") // more than fullScanLimit
			for range 30 {
				began := time.Now()
				got := w.do(w.newRequest("POST", "/once/x", "body"))
				if len(test.served) > 0 {
					is.Equal(got.status, http.StatusOK)
					continue
				}
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
				is.True(time.Since(began) < 500*time.Millisecond) // at once, not at the deadline
			}
			sum := 0
			for _, zone := range test.served {
				sum += requestsIn(logs, zone)
			}
			is.Equal(sum, 30*min(1, len(test.served)))
			for _, zone := range []string{"z1", "z2", "z3", "z4"} {
				if len(test.served) == 0 {
					is.Equal(requestsIn(logs, zone), 0)
				}
			}
		})
	}
}

// Without a mapping no zone is in a named region: restricted requests are refused.
func TestRestrictedRequestWithoutKnownRegions(t *testing.T) {
	is := is.New(t)
	w := newRegionTest(t, []string{"south"}, nil)
	w.gateway.fleet.topology = zoneTopology{zone: "z1"}
	log := w.startUpstream("a", respondOK("hello"))
	is.Equal(w.do(w.newRequest("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(log.count(), 0)
}

// The upstreams of the permitted region are all gone and those of the other region are idle: the
// request must be refused, not run there.
func TestRestrictedRequestWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	w := newRegionTest(t, []string{"south"}, nil)
	logs := w.startUpstreamsIn(3, respondOK("hello"), "z1", "z3")
	for i := range 3 {
		w.gateway.fleet.Remove(fmt.Sprint("z1-", i), 2, false)
		w.gateway.fleet.memberOf("svc", fmt.Sprint("z1-", i)).removedAt = time.Now().Add(-time.Minute)
	}
	is.Equal(w.do(w.newRequest("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(requestsIn(logs, "z1")+requestsIn(logs, "z3"), 0)
}

// Retries, resumed streams and larger models are restricted to the regions, too.
func TestFurtherAttemptsStayInTheirRegions(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		"/many/x":   respondStatus(http.StatusInternalServerError),
		"/stream/x": streamEvents(1, 2, true),
		"/models/x": streamEvents(1, 2, false, "T-Confidence", "1"),
	} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			is := is.New(t)
			w := newRegionTest(t, []string{"south"}, nil)
			w.gateway.hostCount.Store(1)
			logs := w.startUpstreamsIn(2, handler, "z1", "z2")
			otherRegion := w.startUpstreamsIn(10, handler, "z3", "z4")
			for range 20 {
				w.do(w.newRequest("POST", path, "body", "T-Model", "*", "T-Tokens", "100,10"))
			}
			is.True(requestsIn(logs, "z1")+requestsIn(logs, "z2") > 20) // further attempts were made
			is.Equal(requestsIn(otherRegion, "z3")+requestsIn(otherRegion, "z4"), 0)
		})
	}
}

// A route's regions change before a request's retry: the retry is restricted by both documents.
func TestRegionsThatChangeDuringARequest(t *testing.T) {
	is := is.New(t)
	w := newRegionTest(t, nil, nil)
	moved := testDocument()
	moved.Version++
	for i := range moved.Routes {
		moved.Routes[i].Regions = []string{"north"}
	}
	table, err := routing.New(moved)
	is.NoErr(err)
	south := w.startUpstreamsIn(4, func(rw http.ResponseWriter, req *http.Request) {
		w.gateway.table.Store(table)
		respondStatus(http.StatusInternalServerError)(rw, req)
	}, "z1")
	north := w.startUpstreamsIn(4, respondOK("hello"), "z3")
	w.gateway.hostCount.Store(1)
	got := w.do(w.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusOK)
	is.Equal(requestsIn(south, "z1"), 1)
	is.Equal(requestsIn(north, "z3"), 1)
}

// A version that runs in the other region only isn't available to a restricted request.
func TestRolloutOutsideTheRegions(t *testing.T) {
	is := is.New(t)
	w := newRegionTest(t, []string{"south"}, nil)
	f, m := w.gateway.fleet, w.gateway.rollouts
	f.Set(Upstream{ID: "old", Service: "svc", Zone: "z1", Version: "v1"}, 1)
	f.Set(Upstream{ID: "new", Service: "svc", Zone: "z3", Version: "v2"}, 2)
	m.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 3}, false)
	m.active["svc"].share = 1
	route, _ := w.gateway.table.Load().Match(testHost, "/once/x")
	r := &Request{ID: "r", Service: "svc", Table: w.gateway.table.Load(), Route: route, Host: testHost, Target: "/once/x", Header: http.Header{}}
	is.True(m.admits(r)("v2"))
	r.regions = w.gateway.allowedRegions(r)
	is.True(!m.admits(r)("v2"))
	is.True(m.admits(r)("v1"))
}

// Where a request may run in any region, the upstreams of the host's own region come first.
func TestOwnRegionComesFirst(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, newTestGateway(t, testDocument()).gateway.log)
	f.topology = zoneTopology{zone: "z1", regions: map[string]string{"z0": "south", "z1": "south", "z2": "north", "z3": "north"}}
	for i := range 400 {
		f.Set(Upstream{ID: fmt.Sprintf("i-%05d", i), Service: "svc", Zone: fmt.Sprint("z", i%4), Version: "v1", Slots: 32}, storage.Revision(i+1))
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
