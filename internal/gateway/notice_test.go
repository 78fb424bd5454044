package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
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
		is.True(m.inService(time.Now(), time.Second)) // too old
		report(10 * time.Second)
		is.True(!m.inService(time.Now(), time.Second))
		fleet.dropExpiredNotices()
		is.True(m.notices != nil)
		time.Sleep(exchange.LeavingLifetime - 10*time.Second)
		is.True(m.inService(time.Now(), time.Second))
		fleet.dropExpiredNotices()
		is.True(m.notices == nil) // no state is left
		is.Equal(len(fleet.shard("svc").noticed), 0)
	})
}
