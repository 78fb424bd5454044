package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// withHeader returns a handler that adds a header to the answers of another handler.
func withHeader(name, value string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(name, value)
		handler(w, req)
	}
}

// answersOfAllKinds are the kinds of answers whose heads can make a statement, and the route of the
// request.
var answersOfAllKinds = []struct {
	desc, route string
	handler     http.HandlerFunc
}{
	{"success", "many", respondOK("ok")},
	{"success of a request that may run once", "once", respondOK("ok")},
	{"stream", "stream", streamEvents(1, 3, false)},
	{"stream that breaks off", "stream", streamEvents(1, 1, true)},
	{"stream whose confidence is too low", "models", streamEvents(1, 3, false, "T-Confidence", "1")},
	{"failure", "many", respondStatus(http.StatusInternalServerError)},
	{"refusal", "many", respondNotRun},
	{"refusal of a stream", "stream", respondNotRun},
	{"too many requests", "many", withHeader("T-Not-Run", "1", respondStatus(http.StatusTooManyRequests))},
	{"unknown model", "fixed", respondStatus(http.StatusMisdirectedRequest)},
	{"no stamp", "many", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
	{"id of another request", "many", withHeader("T-Id", "other", respondOK("ok"))},
	{"content encoding", "many", withHeader("Content-Encoding", "gzip", respondOK("ok"))},
	{"body cut off", "many", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}},
}

// newNoticeTest returns a gateway with an upstream in its zone, which answers with the handler, and
// one in another zone.
func newNoticeTest(t *testing.T, handler http.HandlerFunc) (tg *testGateway, near *requestLog) {
	t.Helper()
	tg = newTestGateway(t, testDocument())
	near = tg.startUpstream("near", handler)
	tg.startUpstreamOf(Upstream{ID: "far", Zone: "z2", Version: "v1"}, func(w http.ResponseWriter, req *http.Request) {
		if strings.Contains(req.URL.Path, "/many/") || strings.Contains(req.URL.Path, "/once/") {
			respondOK("far")(w, req)
			return
		}
		streamEvents(1, 3, false, "T-Confidence", "100")(w, req)
	})
	return tg, near
}

// doRoute sends a request on the route; on routes of streams it names a model.
func (tg *testGateway) doRoute(route string) callerAnswer {
	header := []string{"T-Model", "*"}
	switch route {
	case "many", "once":
		header = nil
	case "fixed":
		header = []string{"T-Model", "m"}
	}
	return tg.do(tg.newRequest("POST", "/"+route+"/x", "body "+strconv.Itoa(tg.requestCount), header...))
}

// An upstream that states in any answer that it is leaving gets no further request, by no way.
func TestUpstreamThatLeavesByItsAnswersGetsRequests(t *testing.T) {
	for _, kind := range answersOfAllKinds {
		t.Run(kind.desc, func(t *testing.T) {
			is := is.New(t)
			tg, near := newNoticeTest(t, withHeader("T-Leaving", "1", kind.handler))
			tg.doRoute(kind.route)
			is.Equal(near.count(), 1) // also the request's second attempt went elsewhere
			for _, route := range []string{"many", "once", "stream", "models", "fixed"} {
				is.Equal(tg.doRoute(route).status, http.StatusOK) // served by the other upstream
			}
			is.Equal(near.count(), 1)
		})
	}
}

func TestNoticeOfAnotherUpstreamAtTheAddress(t *testing.T) {
	for _, test := range []struct {
		desc    string
		handler http.HandlerFunc
	}{
		{"another id", withHeader("T-Instance", "other", respondOK("ok"))},
		{"misdirected", respondStatus(http.StatusMisdirectedRequest)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg, _ := newNoticeTest(t, withHeader("T-Leaving", "1", test.handler))
			tg.doRoute("many")
			is.True(!tg.member("near").Leaving)
		})
	}
}

// No value but the defined one may take an upstream out of service.
func TestUnreadableLeavingValues(t *testing.T) {
	for _, value := range []string{"", "0", "-1", "0.5", "true", "99999999999999999999", "Sun, 06 Nov 1994 08:49:37 GMT"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			tg, near := newNoticeTest(t, withHeader("T-Leaving", value, respondOK("ok")))
			for range 3 {
				is.Equal(tg.doRoute("many").status, http.StatusOK)
			}
			is.Equal(near.count(), 3)
		})
	}
}

// A late entry that states available must not end what the upstream stated since; a restart does.
func TestLeavingStatedInAnAnswerEndsWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	tg, near := newNoticeTest(t, withHeader("T-Leaving", "1", respondOK("ok")))
	tg.doRoute("many")
	entry := tg.member("near").Upstream
	entry.Leaving = false
	entry.Sequence++
	tg.gateway.fleet.ApplyEntry(entry, 2)
	tg.doRoute("many")
	is.Equal(near.count(), 1)
	entry.Incarnation++
	tg.gateway.fleet.ApplyEntry(entry, 3)
	tg.doRoute("many")
	is.Equal(near.count(), 2)
}

// The refusal must come at once and state its reason and a time to come back.
func TestAllUpstreamsAreLeaving(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("only", withHeader("T-Leaving", "1", respondOK("ok")))
	is.Equal(tg.doRoute("many").status, http.StatusOK)
	got := tg.doRoute("many")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "upstreams-leaving"))
	is.True(got.header.Get("Retry-After") != "")
	counts := tg.gateway.fleet.countAllUpstreams()
	is.Equal(counts, upstreamCounts{leaving: 1})
}

// A host reports a statement once, and not what it received from others.
func TestLeavingIsReportedOnce(t *testing.T) {
	is := is.New(t)
	tg, _ := newNoticeTest(t, withHeader("T-Leaving", "1", respondOK("ok")))
	tg.doRoute("many")
	list := tg.gateway.fleet.takeLeaving()
	is.Equal(len(list), 1)
	is.Equal(list[0].Upstream, ratelease.NewUpstreamID("near"))
	tg.gateway.fleet.applyReportedLeaving([]exchange.LeavingUpstream{{Upstream: ratelease.NewUpstreamID("far")}, {Upstream: 77}})
	is.Equal(len(tg.gateway.fleet.takeLeaving()), 0)
}

// Another host's report binds for a bounded time, so that a wrong one takes no upstream out for good.
func TestReportedLeavingExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		fleet.ApplyEntry(Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:80", Zone: "z1", Version: "v1", Slots: 8}, 1)
		m := fleet.shard("svc").members["u"]
		report := func(age time.Duration) {
			fleet.applyReportedLeaving([]exchange.LeavingUpstream{{Upstream: m.leaseID, Age: age}})
		}
		report(exchange.LeavingLifetime)
		is.True(m.inService(boottime.Now())) // too old
		report(10 * time.Second)
		is.True(!m.inService(boottime.Now()))
		fleet.dropExpiredNotices()
		is.True(m.notices != nil)
		time.Sleep(exchange.LeavingLifetime - 10*time.Second)
		is.True(m.inService(boottime.Now()))
		fleet.dropExpiredNotices()
		is.True(m.notices == nil) // no state is left
		is.Equal(len(fleet.shard("svc").noticed), 0)
	})
}

// rejectFor returns a handler that rejects requests with Retry-After while rejecting is set.
func rejectFor(retryAfter string, rejecting *atomic.Bool, otherwise http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !rejecting.Load() {
			otherwise(w, req)
			return
		}
		w.Header().Set("Retry-After", retryAfter)
		respondNotRun(w, req)
	}
}

func nowRejecting() *atomic.Bool {
	rejecting := &atomic.Bool{}
	rejecting.Store(true)
	return rejecting
}

// An upstream that rejects a request with Retry-After gets none from this host in that time, by no way.
func TestUpstreamThatStatesRetryAfterGetsRequests(t *testing.T) {
	is := is.New(t)
	rejecting := nowRejecting()
	tg, near := newNoticeTest(t, rejectFor("60", rejecting, respondOK("ok")))
	for _, route := range []string{"many", "once", "stream", "models", "fixed", "many"} {
		is.Equal(tg.doRoute(route).status, http.StatusOK)
	}
	is.Equal(near.count(), 1)
	is.Equal(tg.gateway.fleet.countAllUpstreams(), upstreamCounts{inService: 2, backingOff: 1})
	is.Equal(tg.member("near").notices.logged.withheld > 0, true)
}

// When the time is over, a single request shows whether the upstream accepts requests again.
func TestUpstreamAfterItsRetryAfter(t *testing.T) {
	is := is.New(t)
	rejecting := nowRejecting()
	tg, near := newNoticeTest(t, rejectFor("0.2", rejecting, respondOK("near")))
	tg.doRoute("many")
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		is.Equal(tg.doRoute("many").body, "far")
	}
	is.Equal(near.count(), 2) // one trial, which was rejected
	rejecting.Store(false)
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		is.Equal(tg.doRoute("many").body, "near")
	}
	is.True(!tg.member("near").backsOff(boottime.Now()))
	is.Equal(tg.member("near").notices.logged, loggedBackoff{}) // its end was logged
}

// No value may take an upstream out for good, and only status 503 states a backoff.
func TestRetryAfterWithoutABackoff(t *testing.T) {
	for _, test := range []struct {
		desc, value string
		status      int
	}{
		{"empty", "", http.StatusServiceUnavailable},
		{"zero", "0", http.StatusServiceUnavailable},
		{"negative", "-3", http.StatusServiceUnavailable},
		{"garbage", "soon", http.StatusServiceUnavailable},
		{"a date that is over", "Sun, 06 Nov 1994 08:49:37 GMT", http.StatusServiceUnavailable},
		{"another status", "60", http.StatusTooManyRequests},
		{"success", "60", http.StatusOK},
	} {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg, near := newNoticeTest(t, withHeader("Retry-After", test.value, respondStatus(test.status)))
			tg.doRoute("many")
			tg.doRoute("many")
			is.Equal(near.count(), 2)
		})
	}
}

// The refusal must come at once, state its reason and when the first upstream may accept a request,
// and burn no retry.
func TestAllUpstreamsBackOff(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	one := tg.startUpstream("one", withHeader("Retry-After", "7", respondNotRun))
	two := tg.startUpstream("two", withHeader("Retry-After", "9", respondNotRun))
	for i := range 10 {
		got := tg.doRoute("many")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "upstreams-backing-off"))
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 6 && seconds <= 7+notice.RetrySpread.Seconds()) // spread, so that the callers don't return at once
		is.True(i > 0 || one.count()+two.count() == 2)
	}
	is.Equal(one.count()+two.count(), 2)
}

// A request that waits for a connection when the statement arrives must not be sent.
func TestRequestThatWaitsForAConnectionDuringTheStatement(t *testing.T) {
	for _, test := range []struct {
		desc  string
		state func(tg *testGateway, c *choice)
	}{
		{"leaving", func(tg *testGateway, c *choice) {
			tg.gateway.fleet.observeNotice(c, notice.Notice{Leaving: true}, true)
		}},
		{"backoff", func(tg *testGateway, c *choice) {
			tg.gateway.fleet.observeNotice(c, notice.Notice{Backoff: time.Minute}, false)
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg, near := newNoticeTest(t, respondOK("near"))
			dial, dialing, proceed := tg.gateway.egress.direct.DialContext, make(chan struct{}), make(chan struct{})
			var first sync.Once
			tg.gateway.egress.direct.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				first.Do(func() {
					close(dialing)
					<-proceed
				})
				return dial(ctx, network, address)
			}
			answers := make(chan callerAnswer)
			go func() { answers <- tg.doRoute("once") }()
			<-dialing
			test.state(tg, &choice{upstream: tg.member("near").Upstream})
			close(proceed)
			got := <-answers
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "far") // also a request that may run once: it wasn't sent
			is.Equal(near.count(), 0)
			is.True(!tg.member("near").ejected(boottime.Now())) // not a fault of the upstream
		})
	}
}

// State is kept for upstreams that stated something only, and dropped when it ends.
func TestStateOfABackoffIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := NewFleet(time.Second, zerolog.Nop())
		fleet.ApplyEntry(Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:80", Zone: "z1", Version: "v1", Slots: 8}, 1)
		m := fleet.shard("svc").members["u"]
		c := choice{upstream: m.Upstream}
		fleet.observeNotice(&c, notice.Notice{}, true)
		is.True(m.notices == nil)
		fleet.observeNotice(&c, notice.Notice{Backoff: time.Second}, false)
		fleet.dropExpiredNotices()
		is.True(m.backsOff(boottime.Now()))
		time.Sleep(10 * time.Second)
		fleet.dropExpiredNotices()
		is.True(m.notices == nil)
		is.Equal(len(fleet.shard("svc").noticed), 0)

		fleet.observeNotice(&c, notice.Notice{Backoff: time.Minute}, false)
		restarted := m.Upstream
		restarted.Incarnation++
		fleet.ApplyEntry(restarted, 2)
		is.True(!fleet.shard("svc").members["u"].backsOff(boottime.Now())) // a backoff of the former incarnation
		is.Equal(len(fleet.shard("svc").noticed), 0)
		fleet.observeNotice(&c, notice.Notice{Backoff: time.Minute}, false) // a late answer of it
		is.Equal(len(fleet.shard("svc").noticed), 0)
	})
}

// An upstream that rejects requests at once has none in flight and looks idle, and must not draw all
// requests for that.
func TestUpstreamThatRejectsRequestsDrawsMore(t *testing.T) {
	is := is.New(t)
	rejecting := nowRejecting()
	tg, near := newNoticeTest(t, rejectFor("", rejecting, respondOK("near")))
	for range 20 {
		is.Equal(tg.doRoute("many").body, "far")
	}
	is.True(near.count() <= 2)
	rejecting.Store(false)
	eventually(t, "it is used again", func() bool { return tg.doRoute("many").body == "near" })
	is.Equal(tg.member("near").usage.rejections, 0)
}

// Without another upstream, one that rejected a request is used all the same: it stated no time.
func TestOnlyUpstreamThatRejectsRequests(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	only := tg.startUpstream("only", respondNotRun)
	is.Equal(tg.doRoute("many").status, http.StatusServiceUnavailable)
	before := only.count()
	is.Equal(tg.doRoute("many").status, http.StatusServiceUnavailable)
	is.True(only.count() > before)
}
