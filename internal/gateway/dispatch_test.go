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

func garbled(header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		_, _ = io.WriteString(w, "not the answer")
	}
}

// short promises more bytes than it sends.
func short(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Stamp", "stamp")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "not the answer")
}

// TestFaultsOfOneUpstream has one upstream misbehave and one that is well. The
// faulty one is tried first.
func TestFaultsOfOneUpstream(t *testing.T) {
	tests := []struct {
		desc   string
		fault  http.HandlerFunc
		once   int // the caller's status on a route whose requests run once
		many   int // and on one whose requests may be repeated
		unsent bool
	}{
		{"refused as not run", refuse, 200, 200, false},
		{"wrong instance", fail(http.StatusMisdirectedRequest), 200, 200, false},
		{"reset after the request was sent", reset, 502, 200, false},
		{"failure of its own", fail(500), 500, 200, false},
		{"full without saying that it didn't run", fail(503), 503, 200, false},
		{"another request's answer", garbled("T-Id", "someone-else"), 502, 200, false},
		{"answer without an id", garbled("T-Id", ""), 502, 200, false},
		{"success without a stamp", garbled("T-Stamp", ""), 502, 200, false},
		{"encoded body", garbled("Content-Encoding", "gzip"), 502, 200, false},
		{"body cut short", short, 502, 200, false},
		{"unreachable", nil, 200, 200, true},
	}
	for _, test := range tests {
		for route, want := range map[string]int{"once": test.once, "many": test.many} {
			t.Run(test.desc+", "+route, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, testDocument())
				var faulty *upstreamLog
				if test.unsent {
					w.unreachable("bad")
				} else {
					faulty = w.upstream("bad", test.fault)
				}
				// The other one becomes available when the first was tried.
				good := w.upstreamOf(Upstream{ID: "good", Zone: "z2", Version: "v1"}, succeed("ok"))
				got := w.do(w.request("POST", "/"+route+"/x", "body"))
				is.Equal(got.status, want)
				if want == 200 {
					is.NoErr(got.err)
					is.Equal(got.body, "ok")
				}
				if want == 502 {
					is.Equal(got.header.Get("T-Stamp"), "") // not the upstream's failure
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

func TestRefusalSaysNotRunOnlyIfNothingRan(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.upstream("a", refuse)
	w.upstream("b", refuse)
	got := w.do(w.request("POST", "/once/x", "body"))
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(got.header.Get("T-Not-Run"), "")

	w = newWorld(t, testDocument())
	w.upstream("a", reset)
	w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, refuse)
	got = w.do(w.request("POST", "/many/x", "body"))
	is.Equal(got.status, 502) // the first attempt may have run
}

func TestNoUpstreamIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	began := time.Now()
	got := w.do(w.request("POST", "/once/x", "body"))
	is.Equal(got.status, 503)
	is.True(time.Since(began) < time.Second)
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[1].MaxAttempts = 2
	w := newWorld(t, doc)
	logs := []*upstreamLog{w.upstream("a", fail(500)), w.upstream("b", fail(500)), w.upstream("c", fail(500))}
	got := w.do(w.request("GET", "/many/x", ""))
	is.Equal(got.status, 500)
	is.Equal(got.header.Get("T-Stamp"), "stamp") // the upstream's own failure, unchanged
	is.Equal(logs[0].count()+logs[1].count()+logs[2].count(), 2)
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	logs := []*upstreamLog{w.upstream("a", fail(500)), w.upstream("b", fail(500))}
	const requests = 60
	for range requests {
		w.do(w.request("GET", "/many/x", ""))
	}
	arrivals := logs[0].count() + logs[1].count()
	// 20 requests were counted before these; half of all may be repeated, less
	// the margin.
	permitted := int(retryMargin * 0.5 * (requests + 20))
	is.True(arrivals-requests <= permitted)
	is.True(arrivals-requests >= permitted-1) // and the budget is used
}

func TestFinalAnswerAtTheRoutesTimeout(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[0].Timeout = 150 * time.Millisecond
	w := newWorld(t, doc)
	release := make(chan struct{})
	defer close(release)
	w.upstream("a", func(http.ResponseWriter, *http.Request) { <-release })
	began := time.Now()
	got := w.do(w.request("POST", "/once/x", "body"))
	took := time.Since(began)
	is.Equal(got.status, 504)
	is.True(took >= 150*time.Millisecond && took < 600*time.Millisecond)
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	for _, route := range []string{"many", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, testDocument())
			began, ended := make(chan struct{}), make(chan struct{})
			w.upstream("a", func(_ http.ResponseWriter, req *http.Request) {
				close(began)
				<-req.Context().Done()
				close(ended)
			})
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan answer)
			go func() { done <- w.do(w.request("POST", "/"+route+"/x", "body").WithContext(ctx)) }()
			<-began
			leave()
			is.True((<-done).err != nil)
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the upstream still works")
			}
		})
	}
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	leaving := w.upstreamOf(Upstream{ID: "a", Zone: "z1", Version: "v1"}, succeed("a"))
	w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, succeed("b"))
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "a")
	u := Upstream{ID: "a", Service: "svc", Zone: "z1", Version: "v1", Address: "127.0.0.1:1", Leaving: true}
	w.gateway.fleet.Set(u, 2)
	u.Leaving = false
	w.gateway.fleet.Set(u, 3) // an incarnation that leaves doesn't come back
	for range 5 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "b")
	}
	is.Equal(leaving.count(), 1)
}

// An upstream whose entry vanished gets no second try of a request while a listed one is
// there, though that failed: it may be leaving.
func TestRemovedUpstreamGetsNoSecondTry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	failing := w.upstream("a", fail(500))
	removed := w.upstream("b", succeed("b"))
	w.gateway.fleet.Remove("b", 2, false)
	for range 5 {
		w.do(w.request("GET", "/many/x", ""))
	}
	is.True(failing.count() >= 5)
	is.Equal(removed.count(), 0)
	w.gateway.fleet.Remove("a", 3, false) // no listed one is left
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "b")
}

func TestRemovedUpstreamServesForTheGraceOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.removalGrace = 100 * time.Millisecond
	w.upstream("a", succeed("a"))
	w.gateway.fleet.Remove("a", 2, false)
	is.Equal(w.do(w.request("GET", "/many/x", "")).body, "a") // its entry may come back
	time.Sleep(120 * time.Millisecond)
	is.Equal(w.do(w.request("GET", "/many/x", "")).status, 503)
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	log := w.upstream("a", succeed("ok"))
	req := w.request("POST", "/once/x", "")
	req.Body = io.NopCloser(strings.NewReader("in chunks"))
	req.ContentLength = -1
	is.Equal(w.do(req).status, 200)
	_, body := log.last()
	is.Equal(string(body), "in chunks")
}

// hangUntil answers nothing until the test ends or the caller gives up.
func hangUntil(release chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-release:
		case <-req.Context().Done():
		}
	}
}

func TestSilentUpstreamIsGivenUpInTime(t *testing.T) {
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
			w := newWorld(t, testDocument())
			release := make(chan struct{})
			defer close(release)
			w.upstream("a", hangUntil(release))
			good := w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, events(1, 2, false))
			began := time.Now()
			got := w.do(w.request("POST", "/"+test.route+"/x", "body"))
			is.Equal(got.status, test.want)
			is.Equal(good.count(), test.arrivals)
			if test.want == 200 {
				is.True(time.Since(began) < time.Second) // within the route's target
			}
		})
	}
}

func TestSilentUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	release := make(chan struct{})
	defer close(release)
	silent := w.upstream("a", hangUntil(release))
	w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, succeed("ok"))
	for range 5 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).body, "ok")
	}
	is.Equal(silent.count(), silencesToEject)
}

// Where every answer is slow, giving up would only add to the load.
func TestSlowUpstreamsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[1].Target = 50 * time.Millisecond
	w := newWorld(t, doc)
	slow := func(rw http.ResponseWriter, req *http.Request) {
		time.Sleep(100 * time.Millisecond)
		succeed("ok")(rw, req)
	}
	logs := []*upstreamLog{w.upstream("a", slow), w.upstream("b", slow)}
	w.gateway.responseTimes.of((&Request{Service: "svc", Route: &doc.Routes[1]}).timesKey()).observe(100 * time.Millisecond)
	for range 5 {
		is.Equal(w.do(w.request("GET", "/many/x", "")).status, 200)
	}
	is.Equal(logs[0].count()+logs[1].count(), 5)
}

func TestPatience(t *testing.T) {
	is := is.New(t)
	var u responseTime
	is.Equal(u.headTimeout(time.Second), 700*time.Millisecond) // nothing known
	u.observe(50 * time.Millisecond)
	is.Equal(u.headTimeout(time.Second), 400*time.Millisecond)
	u = responseTime{}
	u.observe(200 * time.Millisecond)
	is.Equal(u.headTimeout(time.Second), 800*time.Millisecond)
	u.observe(time.Minute)
	is.True(u.headTimeout(time.Second) > 10*time.Second) // general slowness is no silence
	is.True(u.headTimeout(0) > 0)
}
