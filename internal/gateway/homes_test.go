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

// twoRegions are the regions of a host in zone z1.
var twoRegions = map[string]string{"z1": "south", "z2": "south", "z3": "north", "z4": "north"}

// homesWorld is a gateway in the south, in a document with route and account bound to regions.
func homesWorld(t *testing.T, route, account []string) *world {
	t.Helper()
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Regions = route
	}
	doc.Accounts[0].Regions = account
	w := newWorld(t, doc)
	w.gateway.fleet.geography = geography{zone: "z1", regions: twoRegions}
	return w
}

// upstreamsAt starts upstreams in each zone.
func (w *world) upstreamsAt(each int, handler http.HandlerFunc, zones ...string) map[string][]*upstreamLog {
	logs := make(map[string][]*upstreamLog)
	for _, zone := range zones {
		for i := range each {
			u := Upstream{ID: fmt.Sprint(zone, "-", i), Zone: zone, Version: "v1"}
			logs[zone] = append(logs[zone], w.upstreamOf(u, handler))
		}
	}
	return logs
}

func requestsAt(logs map[string][]*upstreamLog, zone string) int {
	n := 0
	for _, log := range logs[zone] {
		n += log.count()
	}
	return n
}

// A request of a bound route reached an upstream of another region: the binding wasn't read.
func TestRequestsStayInTheirHomes(t *testing.T) {
	tests := []struct {
		desc           string
		route, account []string
		served         []string // zones that get requests; none: refused
	}{
		{"neither bound", nil, nil, []string{"z1"}},
		{"the route, at home", []string{"south"}, nil, []string{"z1"}},
		{"the route, elsewhere", []string{"north"}, nil, []string{"z3", "z4"}},
		{"the account, elsewhere", nil, []string{"north"}, []string{"z3", "z4"}},
		{"both, alike", []string{"north"}, []string{"north", "south"}, []string{"z3", "z4"}},
		{"both, apart", []string{"north"}, []string{"south"}, nil},
		{"an unknown region", []string{"east"}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			w := homesWorld(t, test.route, test.account)
			logs := w.upstreamsAt(6, succeed("hello"), "z1", "z2", "z3", "z4") // more than are all looked at
			for range 30 {
				began := time.Now()
				got := w.do(w.request("POST", "/once/x", "body"))
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
				sum += requestsAt(logs, zone)
			}
			is.Equal(sum, 30*min(1, len(test.served)))
			for _, zone := range []string{"z1", "z2", "z3", "z4"} {
				if len(test.served) == 0 {
					is.Equal(requestsAt(logs, zone), 0)
				}
			}
		})
	}
}

// Without settings of regions nothing is known to be in one: bound requests are refused.
func TestHomesWithoutKnownRegions(t *testing.T) {
	is := is.New(t)
	w := homesWorld(t, []string{"south"}, nil)
	w.gateway.fleet.geography = geography{zone: "z1"}
	log := w.upstream("a", succeed("hello"))
	is.Equal(w.do(w.request("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(log.count(), 0)
}

// A home's upstreams are all gone, those of the other region are free: refused, not run.
func TestHomeWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	w := homesWorld(t, []string{"south"}, nil)
	logs := w.upstreamsAt(3, succeed("hello"), "z1", "z3")
	for i := range 3 {
		w.gateway.fleet.Remove(fmt.Sprint("z1-", i), 2, false)
		w.gateway.fleet.memberOf("svc", fmt.Sprint("z1-", i)).removedAt = time.Now().Add(-time.Minute)
	}
	is.Equal(w.do(w.request("POST", "/once/x", "body")).status, http.StatusServiceUnavailable)
	is.Equal(requestsAt(logs, "z1")+requestsAt(logs, "z3"), 0)
}

// Second tries, resumed streams and larger models stay in the homes, too.
func TestFurtherAttemptsStayInTheirHomes(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		"/many/x":   fail(http.StatusInternalServerError),
		"/stream/x": events(1, 2, true),
		"/models/x": events(1, 2, false, "T-Confidence", "1"),
	} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			is := is.New(t)
			w := homesWorld(t, []string{"south"}, nil)
			w.gateway.hosts.Store(1)
			logs := w.upstreamsAt(2, handler, "z1", "z2")
			abroad := w.upstreamsAt(10, handler, "z3", "z4")
			for range 20 {
				w.do(w.request("POST", path, "body", "T-Model", "*", "T-Tokens", "100,10"))
			}
			is.True(requestsAt(logs, "z1")+requestsAt(logs, "z2") > 20) // further attempts were made
			is.Equal(requestsAt(abroad, "z3")+requestsAt(abroad, "z4"), 0)
		})
	}
}

// A route's homes change while a request waits for its second try: both documents bind it.
func TestHomesThatChangeUnderARequest(t *testing.T) {
	is := is.New(t)
	w := homesWorld(t, nil, nil)
	moved := testDocument()
	moved.Version++
	for i := range moved.Routes {
		moved.Routes[i].Regions = []string{"north"}
	}
	table, err := routing.New(moved)
	is.NoErr(err)
	south := w.upstreamsAt(4, func(rw http.ResponseWriter, req *http.Request) {
		w.gateway.table.Store(table)
		fail(http.StatusInternalServerError)(rw, req)
	}, "z1")
	north := w.upstreamsAt(4, succeed("hello"), "z3")
	w.gateway.hosts.Store(1)
	got := w.do(w.request("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusOK)
	is.Equal(requestsAt(south, "z1"), 1)
	is.Equal(requestsAt(north, "z3"), 1)
}

// A version that runs in the other region only isn't one that a bound request can go to.
func TestRolloutOutsideTheHomes(t *testing.T) {
	is := is.New(t)
	w := homesWorld(t, []string{"south"}, nil)
	f, m := w.gateway.fleet, w.gateway.rollouts
	f.Set(Upstream{ID: "old", Service: "svc", Zone: "z1", Version: "v1"}, 1)
	f.Set(Upstream{ID: "new", Service: "svc", Zone: "z3", Version: "v2"}, 2)
	m.order(Order{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 3}, false)
	m.active["svc"].share = 1
	route, _ := w.gateway.table.Load().Match(testHost, "/once/x")
	r := &Request{ID: "r", Service: "svc", Table: w.gateway.table.Load(), Route: route, Host: testHost, Target: "/once/x", Header: http.Header{}}
	is.True(m.admits(r)("v2"))
	r.homes = w.gateway.homes(r)
	is.True(!m.admits(r)("v2"))
	is.True(m.admits(r)("v1"))
}

// Where a request may run anywhere, its own region's upstreams come first.
func TestOwnRegionComesFirst(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, newWorld(t, testDocument()).gateway.log)
	f.geography = geography{zone: "z1", regions: map[string]string{"z0": "south", "z1": "south", "z2": "north", "z3": "north"}}
	for i := range 400 {
		f.Set(Upstream{ID: fmt.Sprintf("i-%05d", i), Service: "svc", Zone: fmt.Sprint("z", i%4), Version: "v1", Slots: 32}, storage.Revision(i+1))
	}
	abroad := 0
	for i := range 200 {
		c, ok := f.choose(sharedWants(fmt.Sprint("part ", i)))
		is.True(ok)
		if !f.geography.near(c.upstream.Zone) {
			abroad++
		}
		f.began(&c, 50*time.Millisecond)
		f.release(c, attemptResult{outcome: outcomeDone})
	}
	is.Equal(abroad, 0)
}
