package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func invalidAnswer(header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		_, _ = io.WriteString(w, "not the answer")
	}
}

// truncatedBody sends fewer bytes than its Content-Length.
func truncatedBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Stamp", "stamp")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "not the answer")
}

// TestFaultsOfOneUpstream checks the answer that a caller gets for each fault of the upstream that
// gets the first attempt, while another upstream is healthy.
func TestFaultsOfOneUpstream(t *testing.T) {
	tests := []struct {
		desc             string
		fault            http.HandlerFunc
		statusOnce       int // the status that the caller gets on a route whose requests must not run twice
		statusRepeatable int // the status on a route whose requests may be repeated
		unsent           bool
	}{
		{"refused as not run", respondNotRun, 200, 200, false},
		{"wrong instance", respondStatus(http.StatusMisdirectedRequest), 200, 200, false},
		{"reset after the request was sent", resetConnection, 502, 200, false},
		{"failure of the upstream", respondStatus(500), 500, 200, false},
		{"full without stating that it didn't run", respondStatus(503), 502, 200, false},
		{"another request's answer", invalidAnswer("T-Id", "someone-else"), 502, 200, false},
		{"answer without an id", invalidAnswer("T-Id", ""), 502, 200, false},
		{"success without a stamp", invalidAnswer("T-Stamp", ""), 502, 200, false},
		{"encoded body", invalidAnswer("Content-Encoding", "gzip"), 502, 200, false},
		{"body cut short", truncatedBody, 502, 200, false},
		{"unreachable", nil, 200, 200, true},
	}
	for _, test := range tests {
		for route, want := range map[string]int{"once": test.statusOnce, "many": test.statusRepeatable} {
			t.Run(test.desc+", "+route, func(t *testing.T) {
				is := is.New(t)
				tg := newTestGateway(t, testDocument())
				var faulty *requestLog
				if test.unsent {
					tg.addUnreachable("bad")
				} else {
					faulty = tg.startUpstream("bad", test.fault)
				}
				// The healthy upstream is in another zone, so the faulty one is tried first.
				good := tg.startUpstreamOf(Upstream{ID: "good", Zone: "z2", Version: "v1"}, respondOK("ok"))
				got := tg.do(tg.newRequest("POST", "/"+route+"/x", "body"))
				is.Equal(got.status, want)
				if want == 200 {
					is.NoErr(got.err)
					is.Equal(got.body, "ok")
				}
				if want == 502 {
					is.Equal(got.header.Get("T-Stamp"), "") // the refusal is the gateway's, not the upstream's
				}
				if route == "once" && want != 200 {
					is.Equal(good.count(), 0)
				}
				if faulty != nil {
					is.Equal(faulty.count(), 1)
				}
			})
		}
	}
}

func TestRefusalStatesNotRunOnlyIfNothingRan(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("a", respondNotRun)
	tg.startUpstream("b", respondNotRun)
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(got.header.Get("T-Not-Run"), "")

	tg = newTestGateway(t, testDocument())
	tg.startUpstream("a", resetConnection)
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, respondNotRun)
	got = tg.do(tg.newRequest("POST", "/many/x", "body"))
	is.Equal(got.status, 502) // the first attempt may have run
}

func TestNoUpstreamIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	began := time.Now()
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.Equal(got.status, 503)
	is.True(time.Since(began) < time.Second)
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[1].MaxAttempts = 2
	tg := newTestGateway(t, doc)
	logs := []*requestLog{tg.startUpstream("a", respondStatus(500)), tg.startUpstream("b", respondStatus(500)), tg.startUpstream("c", respondStatus(500))}
	got := tg.do(tg.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, 500)
	is.Equal(got.header.Get("T-Stamp"), "stamp") // the upstream's own failure, unchanged
	is.Equal(logs[0].count()+logs[1].count()+logs[2].count(), 2)
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	logs := []*requestLog{tg.startUpstream("a", respondStatus(500)), tg.startUpstream("b", respondStatus(500))}
	const requests = 60
	for range requests {
		tg.do(tg.newRequest("GET", "/many/x", ""))
	}
	arrivals := logs[0].count() + logs[1].count()
	// The budget is half of all requests, including the 20 that newTestGateway counts, less the
	// margin.
	permitted := int(retryMargin * 0.5 * (requests + 20))
	is.True(arrivals-requests <= permitted)
	is.True(arrivals-requests >= permitted-1) // the budget is used up
}

func TestRequestIsRefusedAtTheRoutesTimeout(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[0].Timeout = 150 * time.Millisecond
	tg := newTestGateway(t, doc)
	release := make(chan struct{})
	defer close(release)
	tg.startUpstream("a", func(http.ResponseWriter, *http.Request) { <-release })
	began := time.Now()
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	took := time.Since(began)
	is.Equal(got.status, 504)
	is.True(took >= 150*time.Millisecond && took < 600*time.Millisecond)
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	for _, route := range []string{"many", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			began, ended := make(chan struct{}), make(chan struct{})
			tg.startUpstream("a", func(_ http.ResponseWriter, req *http.Request) {
				close(began)
				<-req.Context().Done()
				close(ended)
			})
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan callerAnswer)
			go func() { done <- tg.do(tg.newRequest("POST", "/"+route+"/x", "body").WithContext(ctx)) }()
			<-began
			leave()
			is.True((<-done).err != nil)
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the upstream's request wasn't canceled")
			}
		})
	}
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	leaving := tg.startUpstreamOf(Upstream{ID: "a", Zone: "z1", Version: "v1"}, respondOK("a"))
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, respondOK("b"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "a")
	u := Upstream{ID: "a", Service: "svc", Zone: "z1", Version: "v1", Address: "127.0.0.1:1", Leaving: true}
	tg.gateway.fleet.ApplyEntry(u, 2)
	u.Leaving = false
	tg.gateway.fleet.ApplyEntry(u, 3) // leaving is final within an incarnation
	for range 5 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "b")
	}
	is.Equal(leaving.count(), 1)
}

// An upstream whose entry was removed may be shutting down, so it must not be used for a retry
// while another upstream is listed, even if that one failed.
func TestRemovedUpstreamGetsNoRetry(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	failing := tg.startUpstream("a", respondStatus(500))
	removed := tg.startUpstream("b", respondOK("b"))
	tg.gateway.fleet.RemoveEntry("b", 2, false)
	for range 5 {
		tg.do(tg.newRequest("GET", "/many/x", ""))
	}
	is.True(failing.count() >= 5)
	is.Equal(removed.count(), 0)
	tg.gateway.fleet.RemoveEntry("a", 3, false) // no listed upstream is left
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "b")
}

func TestRemovedUpstreamIsUsedForTheGraceOnly(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.removalGrace = 100 * time.Millisecond
	tg.startUpstream("a", respondOK("a"))
	tg.gateway.fleet.RemoveEntry("a", 2, false)
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "a") // its entry may be restored
	time.Sleep(120 * time.Millisecond)
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, 503)
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("a", respondOK("ok"))
	req := tg.newRequest("POST", "/once/x", "")
	req.Body = io.NopCloser(strings.NewReader("in chunks"))
	req.ContentLength = -1
	is.Equal(tg.do(req).status, 200)
	_, body := log.last()
	is.Equal(string(body), "in chunks")
}

// noResponseUntil returns a handler that doesn't respond until release is closed or the request is
// canceled.
func noResponseUntil(release chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-release:
		case <-req.Context().Done():
		}
	}
}

func TestUnresponsiveUpstreamIsGivenUpInTime(t *testing.T) {
	tests := []struct {
		desc, route string
		want        int
		arrivals    int
	}{
		{"may be repeated", "many", 200, 1},
		{"stream that may be resumed", "stream", 200, 1},
		{"runs once", "once", 504, 0},
		{"stream that may not be resumed", "fixed", 504, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			release := make(chan struct{})
			defer close(release)
			tg.startUpstream("a", noResponseUntil(release))
			good := tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false))
			began := time.Now()
			got := tg.do(tg.newRequest("POST", "/"+test.route+"/x", "body"))
			is.Equal(got.status, test.want)
			is.Equal(good.count(), test.arrivals)
			if test.want == 200 {
				is.True(time.Since(began) < time.Second) // within the route's target
			}
		})
	}
}

func TestUnresponsiveUpstreamIsEjected(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	release := make(chan struct{})
	defer close(release)
	silent := tg.startUpstream("a", noResponseUntil(release))
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, respondOK("ok"))
	for range 5 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "ok")
	}
	is.Equal(silent.count(), timeoutsToEject)
}

// If the answers of all upstreams are slow, attempts must not be given up, since that would add to
// the load.
func TestAttemptsAreNotGivenUpWhereAllUpstreamsAreSlow(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[1].Target = 50 * time.Millisecond
	tg := newTestGateway(t, doc)
	slow := func(rw http.ResponseWriter, req *http.Request) {
		time.Sleep(100 * time.Millisecond)
		respondOK("ok")(rw, req)
	}
	logs := []*requestLog{tg.startUpstream("a", slow), tg.startUpstream("b", slow)}
	tg.gateway.responseTimes.get((&Request{Service: "svc", Route: &doc.Routes[1]}).responseTimeKey()).observe(100 * time.Millisecond)
	for range 5 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, 200)
	}
	is.Equal(logs[0].count()+logs[1].count(), 5)
}

func TestHeadTimeout(t *testing.T) {
	is := is.New(t)
	var times meanTime
	is.Equal(times.headTimeout(time.Second), 700*time.Millisecond) // no mean time is known
	times.observe(50 * time.Millisecond)
	is.Equal(times.headTimeout(time.Second), 400*time.Millisecond)
	times = meanTime{}
	times.observe(200 * time.Millisecond)
	is.Equal(times.headTimeout(time.Second), 800*time.Millisecond)
	times.observe(time.Minute)
	is.True(times.headTimeout(time.Second) > 10*time.Second) // a general slowness raises the timeout
	is.True(times.headTimeout(0) > 0)
}
