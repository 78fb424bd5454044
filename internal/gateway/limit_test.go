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

// withLimit returns a handler that adds the current values of limits to its answers as rate-limit
// headers.
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
// zone, and an upstream without a limit in another zone.
func newLimitTest(t *testing.T, limits *atomic.Pointer[[]string]) (tg *testGateway, limited, other *requestLog) {
	tg = newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	limited = tg.startUpstreamOf(Upstream{ID: "limited", Zone: "z1", Version: "v1"}, withLimit(limits, respondOK("limited")))
	other = tg.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, respondOK("other"))
	return tg, limited, other
}

// lease sets the gateway's leases to one part of each upstream's requests. Each root hub grants
// partsPerRoot parts of each. The gateway has held the leases for the duration since.
func (tg *testGateway) lease(since time.Duration, partsPerRoot, roots int, ids ...string) {
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.NewUpstreamID(id), Parts: 1, PartsPerRoot: partsPerRoot})
	}
	now := boottime.Now()
	var holding ratelease.Holding
	for requestedAt := now.Add(-since); !requestedAt.After(now); requestedAt = requestedAt.Add(ratelease.LeaseDuration / 2) {
		holding = ratelease.NewHolding(ratelease.RootLease(grants, roots), requestedAt, &holding)
	}
	tg.gateway.fleet.SetHolding(holding, now)
}

func (tg *testGateway) sendServedRequests(n int) {
	tg.t.Helper()
	for range n {
		is.New(tg.t).Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, http.StatusOK)
	}
}

func (tg *testGateway) member(id string) *member {
	s := tg.gateway.fleet.shard("svc")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[id]
}

func TestLimitedUpstreamWithoutLeaseGetsNoRequests(t *testing.T) {
	is := is.New(t)
	tg, limited, other := newLimitTest(t, limitValues("1.9"))
	tg.sendServedRequests(10)
	is.Equal(limited.count(), 1) // its first answer announced the limit
	is.Equal(other.count(), 9)
	reports := tg.gateway.fleet.takeLimitUpdates()
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Limit, ratelease.Limit(1.9))
	is.Equal(tg.leasedUpstreams(), []ratelease.UpstreamID{ratelease.NewUpstreamID("limited")}) // a root hub would grant leases for it
}

func TestLimitedUpstreamGetsTheLeasedShare(t *testing.T) {
	is := is.New(t)
	tg, limited, _ := newLimitTest(t, limitValues("12"))
	tg.sendServedRequests(1)
	tg.lease(10*time.Second, 2, 3, "limited", "other")
	tg.sendServedRequests(40)
	// The upstream may get 77 requests in 4 s (1.5 times the limit, plus 5), which is 29 more than
	// at the rate of the limit. Three quarters of these 29 are leased for bursts, a sixth of them
	// to this gateway.
	is.True(limited.count() >= 1+3 && limited.count() <= 1+5)
}

// A limit that the host received from its hub is applied although the upstream didn't announce it
// to this host.
func TestLimitThatAnotherHostReported(t *testing.T) {
	is := is.New(t)
	tg, limited, _ := newLimitTest(t, limitValues("1"))
	update := ratelease.LimitUpdate{Upstream: ratelease.NewUpstreamID("limited"), Limit: 1}
	tg.gateway.fleet.applyLimits([]ratelease.LimitUpdate{update, {Upstream: 77, Limit: 3}}, false)
	tg.sendServedRequests(5)
	is.Equal(limited.count(), 0)
	tg.gateway.fleet.applyLimits(nil, true) // the hub has no limit for any upstream
	tg.sendServedRequests(1)
	is.Equal(limited.count(), 1)
}

// An invalid value of the rate-limit header must neither end a limit nor crash the process.
func TestInvalidLimitValues(t *testing.T) {
	for _, value := range []string{"", "NaN", "-5", "Inf", "1e9", "2/s", "99999999999999999999999"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			limits := limitValues(value)
			tg, limited, _ := newLimitTest(t, limits)
			tg.sendServedRequests(5)
			is.Equal(limited.count(), 5) // no valid limit was announced yet
			one := []string{"1"}
			limits.Store(&one)
			tg.sendServedRequests(1)
			unreadable := []string{value}
			limits.Store(&unreadable)
			tg.sendServedRequests(5)
			is.Equal(limited.count(), 6) // the valid limit stays in force
		})
	}
}

func TestLimitThatChangesInEachAnswer(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument()) // as the only host it needs no lease
	var n atomic.Int64
	limited := tg.startUpstream("limited", func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Limit", strconv.FormatFloat(3+float64(n.Add(1)%3)/100, 'f', -1, 64))
		respondOK("limited")(rw, req)
	})
	tg.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, respondOK("other"))
	tg.sendServedRequests(60)
	is.True(limited.count() > 1 && limited.count() <= 23) // at most six times the limit of 3, plus five
	is.True(len(tg.gateway.fleet.takeLimitUpdates()) <= 1)
}

// A limit ends when answers without a limit arrive to requests that were sent after the last
// announcement.
func TestLimitThatEnded(t *testing.T) {
	is := is.New(t)
	limits := limitValues("1")
	tg, limited, _ := newLimitTest(t, limits)
	tg.sendServedRequests(1)
	limits.Store(nil)
	tg.sendServedRequests(3)
	is.Equal(limited.count(), 1)
	tg.lease(time.Minute, 1, 1, "limited")
	tg.sendServedRequests(3)
	is.Equal(limited.count(), 4) // one burst; the limit is still in force, since it was announced just now
	m := tg.member("limited")
	is.True(m.isLimited(boottime.Now()))
	time.Sleep(2 * time.Second)
	tg.lease(time.Minute, 1, 1, "limited")
	tg.sendServedRequests(8)
	is.True(!m.isLimited(boottime.Now()))
	is.True(limited.count() >= 10)
}

// The limit of a former incarnation doesn't apply to an upstream that restarted.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	limits := limitValues("1")
	tg, limited, _ := newLimitTest(t, limits)
	tg.sendServedRequests(3)
	is.Equal(limited.count(), 1)
	limits.Store(nil)
	m := tg.member("limited")
	tg.gateway.fleet.ApplyEntry(Upstream{ID: "limited", Incarnation: 2, Service: "svc", Address: m.Address, Zone: "z1", Version: "v1", Slots: 8}, 2)
	tg.sendServedRequests(3)
	is.Equal(limited.count(), 4)
	is.Equal(len(tg.leasedUpstreams()), 0)
}

// If the rate limits of all upstreams permit no request, requests are refused at once with a
// Retry-After header.
func TestAllUpstreamsLimited(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	log := tg.startUpstream("limited", withLimit(limitValues("0"), respondOK("limited")))
	tg.sendServedRequests(1)
	began := time.Now()
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(got.body), resultcode.UpstreamsLimited.String())
	retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry >= 0.2 && retry <= 1)
	is.True(time.Since(began) < time.Second)
	is.Equal(log.count(), 1)
}

// If no upstream is available for a retry, the caller gets the failure of the first attempt.
func TestFailureIsPassedOnIfNoOtherUpstreamIsAvailable(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	log := tg.startUpstream("limited", withLimit(limitValues("0"), respondStatus(http.StatusInternalServerError)))
	got := tg.do(tg.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.header.Get("T-Stamp"), "stamp")
	is.Equal(log.count(), 1)
}

// If no upstream is available for a better model, the caller gets the answer with low confidence.
func TestLowConfidenceIsPassedOnIfNoOtherUpstreamIsAvailable(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	log := tg.startUpstream("limited", withLimit(limitValues("0"), func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Confidence", "1")
		streamEvents(1, 2, false)(rw, req)
	}))
	got := tg.do(tg.newRequest("POST", "/models/x", "body", "T-Model", "*", "T-Tokens", "100,10", "T-Parts", "aa:50,bb:50"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(log.count(), 1)
}

// An isolated host that never received the number of hosts can't compute its share of a limit, and
// must send nothing. In an earlier version such a host assumed a hundred hosts, so that a thousand
// of them sent ten times the permitted rate.
func TestIsolatedHostWithoutHostCount(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	f := tg.gateway.fleet
	f.policy.singleHost = false
	f.ApplyEntry(Upstream{ID: "limited", Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 1)
	m := f.memberOf("svc", "limited")
	m.ensureLimit().Observe(50, boottime.Now())
	contact := ratelease.NewHubContact(boottime.Now().Add(-time.Hour)) // the last contact with a root hub
	f.policy.hubContact.Store(&contact)
	for range 20 {
		is.True(!m.limitAllows(boottime.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	tg.gateway.hostCount.Store(1)
	eventually(t, "the host has its share", func() bool { return m.limitAllows(boottime.Now()) })
}
