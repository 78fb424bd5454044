package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// withLimit adds the current values of limits to the upstream's answers as rate-limit headers.
func withLimit(limits *atomic.Pointer[[]string], handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if named := limits.Load(); named != nil {
			w.Header()["T-Limit"] = *named
		}
		handler(w, req)
	}
}

func limitValues(values ...string) *atomic.Pointer[[]string] {
	limits := &atomic.Pointer[[]string]{}
	limits.Store(&values)
	return limits
}

// newLimitTest returns a gateway that isn't the only host, with a rate-limited upstream in its
// zone and another one in another zone.
func newLimitTest(t *testing.T, limits *atomic.Pointer[[]string]) (w *testGateway, limited, other *requestLog) {
	w = newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	limited = w.startUpstreamOf(Upstream{ID: "limited", Zone: "z1", Version: "v1"}, withLimit(limits, respondOK("limited")))
	other = w.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, respondOK("other"))
	return w, limited, other
}

// lease grants the gateway a share of each of the upstreams, held since a time ago.
func (w *testGateway) lease(since time.Duration, of, roots int, ids ...string) {
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.NewUpstreamID(id), Parts: 1, Of: of})
	}
	now := boottime.Now()
	var holding ratelease.Holding
	for requestedAt := now.Add(-since); !requestedAt.After(now); requestedAt = requestedAt.Add(ratelease.LeaseDuration / 2) {
		holding = ratelease.NewHolding(ratelease.RootLease(grants, roots), requestedAt, &holding)
	}
	w.gateway.fleet.SetHolding(holding, now)
}

func (w *testGateway) mustServe(n int) {
	w.t.Helper()
	for range n {
		is.New(w.t).Equal(w.do(w.newRequest("GET", "/many/x", "")).status, http.StatusOK)
	}
}

func (w *testGateway) member(id string) *member {
	s := w.gateway.fleet.shard("svc")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[id]
}

func TestLimitedUpstreamWithoutLeaseGetsNoRequests(t *testing.T) {
	is := is.New(t)
	w, limited, other := newLimitTest(t, limitValues("1.9"))
	w.mustServe(10)
	is.Equal(limited.count(), 1) // its first answer announced the limit
	is.Equal(other.count(), 9)
	reports := w.gateway.fleet.takeLimitReports()
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Limit, ratelease.Limit(1.9))
	is.Equal(w.leasedUpstreams(), []ratelease.UpstreamID{ratelease.NewUpstreamID("limited")}) // a root hub would grant leases for it
}

func TestLimitedUpstreamGetsTheLeasedShare(t *testing.T) {
	is := is.New(t)
	w, limited, _ := newLimitTest(t, limitValues("12"))
	w.mustServe(1)
	w.lease(10*time.Second, 2, 3, "limited", "other")
	w.mustServe(40)
	// A sixth of three quarters of 29, in one burst.
	is.True(limited.count() >= 1+3 && limited.count() <= 1+5)
}

// A limit received from the hub applies on a host that the upstream didn't announce it to.
func TestLimitThatAnotherHostReported(t *testing.T) {
	is := is.New(t)
	w, limited, _ := newLimitTest(t, limitValues("1"))
	update := ratelease.LimitUpdate{Upstream: ratelease.NewUpstreamID("limited"), Limit: 1}
	w.gateway.fleet.applyLimits([]ratelease.LimitUpdate{update, {Upstream: 77, Limit: 3}}, false)
	w.mustServe(5)
	is.Equal(limited.count(), 0)
	w.gateway.fleet.applyLimits(nil, true) // the hub has no limits
	w.mustServe(1)
	is.Equal(limited.count(), 1)
}

// No header value that an upstream sends may lift a limit or crash the process.
func TestLimitValues(t *testing.T) {
	for _, value := range []string{"", "NaN", "-5", "Inf", "1e9", "2/s", "99999999999999999999999"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			limits := limitValues(value)
			w, limited, _ := newLimitTest(t, limits)
			w.mustServe(5)
			is.Equal(limited.count(), 5) // no valid limit was announced yet
			one := []string{"1"}
			limits.Store(&one)
			w.mustServe(1)
			unreadable := []string{value}
			limits.Store(&unreadable)
			w.mustServe(5)
			is.Equal(limited.count(), 6) // the valid limit stays in force
		})
	}
}

func TestLimitThatChangesInEachAnswer(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument()) // the only host has all leases
	var n atomic.Int64
	limited := w.startUpstream("limited", func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Limit", strconv.FormatFloat(3+float64(n.Add(1)%3)/100, 'f', -1, 64))
		respondOK("limited")(rw, req)
	})
	w.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, respondOK("other"))
	w.mustServe(60)
	is.True(limited.count() > 1 && limited.count() <= 23) // six times the limit, plus five
	is.True(len(w.gateway.fleet.takeLimitReports()) <= 1)
}

// A limit ends with answers without one to requests that were sent after the last announcement.
func TestLimitThatEnded(t *testing.T) {
	is := is.New(t)
	limits := limitValues("1")
	w, limited, _ := newLimitTest(t, limits)
	w.mustServe(1)
	limits.Store(nil)
	w.mustServe(3)
	is.Equal(limited.count(), 1)
	w.lease(time.Minute, 1, 1, "limited")
	w.mustServe(3)
	is.Equal(limited.count(), 4) // its burst; the limit was announced just now
	m := w.member("limited")
	is.True(m.isLimited(boottime.Now()))
	time.Sleep(2 * time.Second)
	w.lease(time.Minute, 1, 1, "limited")
	w.mustServe(8)
	is.True(!m.isLimited(boottime.Now()))
	is.True(limited.count() >= 10)
}

// A restarted upstream, or another one at its address, has no limit.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	limits := limitValues("1")
	w, limited, _ := newLimitTest(t, limits)
	w.mustServe(3)
	is.Equal(limited.count(), 1)
	limits.Store(nil)
	m := w.member("limited")
	w.gateway.fleet.Set(Upstream{ID: "limited", Incarnation: 2, Service: "svc", Address: m.Address, Zone: "z1", Version: "v1", Slots: 8}, 2)
	w.mustServe(3)
	is.Equal(limited.count(), 4)
	is.Equal(len(w.leasedUpstreams()), 0)
}

// Where rate limits don't suffice, requests are refused at once with a Retry-After header.
func TestAllUpstreamsLimited(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	log := w.startUpstream("limited", withLimit(limitValues("0"), respondOK("limited")))
	w.mustServe(1)
	began := time.Now()
	got := w.do(w.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(got.body), resultcode.UpstreamsLimited.String())
	retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry >= 0.2 && retry <= 1)
	is.True(time.Since(began) < time.Second)
	is.Equal(log.count(), 1)
}

// If no upstream is available for a retry, the caller gets the first attempt's answer.
func TestFailureIsPassedOnIfNoOtherUpstreamIsAvailable(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	log := w.startUpstream("limited", withLimit(limitValues("0"), respondStatus(http.StatusInternalServerError)))
	got := w.do(w.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.header.Get("T-Stamp"), "stamp")
	is.Equal(log.count(), 1)
}

// If no other upstream is available, the caller gets the answer of low confidence.
func TestLowConfidenceIsPassedOnIfNoOtherUpstreamIsAvailable(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.gateway.fleet.policy.singleHost = false
	log := w.startUpstream("limited", withLimit(limitValues("0"), func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Confidence", "1")
		streamEvents(1, 2, false)(rw, req)
	}))
	got := w.do(w.newRequest("POST", "/models/x", "body", "T-Model", "*", "T-Tokens", "100,10", "T-Parts", "aa:50,bb:50"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(log.count(), 1)
}

// A host that never received the number of hosts has no share of a limit that it could compute:
// with a guess of a hundred, a thousand such hosts sent ten times the permitted rate.
func TestDisconnectedHostWithoutHostCount(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	f := w.gateway.fleet
	f.policy.singleHost = false
	f.Set(Upstream{ID: "limited", Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 1)
	m := f.memberOf("svc", "limited")
	m.ensureLimit().Observe(50, boottime.Now())
	long := ratelease.NewHubContact(boottime.Now().Add(-time.Hour)) // the last contact with a root hub
	f.policy.hubContact.Store(&long)
	for range 20 {
		is.True(!m.limitAllows(boottime.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	w.gateway.hostCount.Store(1)
	eventually(t, "its share is known", func() bool { return m.limitAllows(boottime.Now()) })
}
