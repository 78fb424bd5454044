package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/routing"
)

// failingReader returns its error.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// directRequest returns a request of a route that isn't sent by a caller.
func (tg *testGateway) directRequest(route string) *Request {
	tg.t.Helper()
	g := tg.gateway
	req := httptest.NewRequest("POST", "/"+route+"/x", nil)
	table := g.routingTable.Load()
	found, ok := table.Match(testHost, "/"+route+"/x")
	if !ok {
		tg.t.Fatal("no route")
	}
	conn, detach := g.intake.Attach(req)
	tg.t.Cleanup(detach)
	return &Request{
		ID: "direct", Service: "svc", Table: table, Route: found, Host: testHost, Target: "/" + route + "/x", Header: req.Header, conn: conn,
		Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second), answer: newAnswerWriter(httptest.NewRecorder(), req, false, ""),
	}
}

// silentAttempt returns an attempt of the request at the upstream, whose successor is reserved and which the silence timer
// has just ended.
func (tg *testGateway) silentAttempt(r *Request, upstream string) (*attempt, context.Context) {
	tg.t.Helper()
	ctx, cancel := context.WithCancelCause(tg.t.Context())
	a := &attempt{gateway: tg.gateway, request: r, choice: choice{upstream: tg.gateway.fleet.memberOf("svc", upstream).Upstream}, startedAt: time.Now(), cancel: cancel}
	r.attempts++
	a.idleTimer = newIdleTimer(a.reserveAfterSilence)
	a.idleTimer.start(time.Millisecond)
	<-ctx.Done()
	if !errors.Is(context.Cause(ctx), errResponseTimeout) {
		tg.t.Fatal(context.Cause(ctx))
	}
	return a, ctx
}

// The head of a call's answer may arrive at the moment at which the silence timer ends the run. The answer counted as cut off by its
// upstream, and the request was refused its reserved attempt if no second retry was left.
func TestRunEndedForSilenceCountsAsCutOff(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, stopDocument())
	tg.startUpstream("first", respondOK("whole"))
	tg.startUpstream("second", respondOK("whole"))
	r := tg.directRequest("many")
	a, ctx := tg.silentAttempt(r, "first")
	head := http.Header{"T-Id": {r.ID}, "T-Stamp": {"stamp"}}
	result := a.readBuffered(tg.t.Context(), &http.Response{StatusCode: 200, Header: head, Body: io.NopCloser(failingReader{ctx.Err()})})
	is.Equal(result.outcome, outcomeSilent)
	is.True(errors.Is(result.err, errResponseTimeout))
}

// A run that was ended for its successor was refused that if its last data, a failure, arrived in the meantime and the retry budget was used
// up, though the successor's retry had been charged.
func TestReservedAttemptNeedsASecondRetry(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, stopDocument())
	tg.startUpstream("first", respondOK("whole"))
	tg.startUpstream("second", respondOK("whole"))
	r := tg.directRequest("many")
	tg.silentAttempt(r, "first")
	tg.gateway.retryBudgets.get("svc").ratio = 0
	d := &dispatch{gateway: tg.gateway}
	defer d.releaseSuccessor(r)
	is.True(d.shouldRetry(t.Context(), r, attemptResult{outcome: outcomeFailed}))
	is.True(d.shouldRetry(t.Context(), r, attemptResult{outcome: outcomeBroken, err: context.Canceled}))
	is.True(d.shouldRetry(t.Context(), r, attemptResult{outcome: outcomeRefused}))
}

// A reserved attempt that isn't made, because the run's data arrived in the meantime, kept its retry charged, so that other requests
// were refused theirs.
func TestRetryOfAnUnusedSuccessorStaysCharged(t *testing.T) {
	tests := map[string]func(tg *testGateway, r *Request, next *successor){
		"released":         func(_ *testGateway, _ *Request, next *successor) { next.release() },
		"run ended before": func(_ *testGateway, _ *Request, next *successor) { next.run.runEnd.decided = true; next.commit() },
		"answer whole, or gone": func(tg *testGateway, r *Request, next *successor) {
			next.commit()
			(&dispatch{gateway: tg.gateway}).releaseSuccessor(r)
		},
	}
	for desc, end := range tests {
		t.Run(desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, stopDocument())
			tg.startUpstream("first", respondOK("whole"))
			tg.startUpstream("second", respondOK("whole"))
			r := tg.directRequest("stream")
			a := &attempt{gateway: tg.gateway, request: r, choice: choice{upstream: tg.gateway.fleet.memberOf("svc", "first").Upstream}, cancel: func(error) {}}
			r.attempts++
			next := a.reserveSuccessor(failover.Silence, "", false)
			is.True(next != nil)
			is.Equal(tg.gateway.retryBudgets.get("svc").retryCount(), 1)
			end(tg, r, next)
			is.Equal(tg.gateway.retryBudgets.get("svc").retryCount(), 0)
			is.Equal(tg.requestsInFlight(), 0)
		})
	}
}

// A stream that had begun was cut off though an upstream accepted requests again well before its deadline: the wait included the
// time over which refused callers are spread.
func TestBegunStreamWaitsAsLongAsRefusedCallers(t *testing.T) {
	for range 6 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			doc := stopDocument()
			for i := range doc.Routes {
				doc.Routes[i].MaxAttempts = 6
			}
			tg := newTestGateway(t, doc)
			var requests, refused atomic.Int32
			tg.startUpstream("u1", func(w http.ResponseWriter, req *http.Request) {
				switch {
				case requests.Add(1) == 1:
					streamEvents(1, 2, true)(w, req)
				case refused.Add(1) == 1:
					w.Header().Set("Retry-After", "1")
					respondNotRun(w, req)
				default:
					resumeStream(4)(w, req)
				}
			})
			got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "1600"))
			is.NoErr(got.err)
			is.Equal(got.body, eventTexts(1, 4))
		})
	}
}

// A stream that had begun was cut off at once when its upstream left, if the only other one was cold and had just got the
// requests that it may get in a second, though it accepts others a second later.
func TestBegunStreamIsCutBecauseUpstreamsAreCold(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, stopDocument())
	tg.gateway.fleet.shard("svc").coldBound = ratelease.ColdBound{Rate: 2, Overrun: 1}
	tg.startUpstream("first", func(w http.ResponseWriter, req *http.Request) {
		streamEvents(1, 2, false)(w, req)
		u := tg.gateway.fleet.memberOf("svc", "first").Upstream
		u.Leaving = true
		tg.gateway.fleet.ApplyEntry(u, 9)
		panic(http.ErrAbortHandler)
	})
	tg.startUpstreamOf(Upstream{ID: "cold", Zone: "z2", Version: "v1", ColdFor: time.Minute}, resumeStream(4))
	cold := tg.gateway.fleet.memberOf("svc", "cold")
	fill := func() {
		cold.shard.mu.Lock()
		defer cold.shard.mu.Unlock()
		for now := boottime.Now(); cold.coldBoundAllows(now); {
			cold.recordSent(now)
		}
	}
	fill()
	got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "9000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 4))
	// A request that hasn't begun is refused at once.
	fill()
	waits := tg.gateway.metrics.set.GetOrCreateCounter(`quetzalweir_gateway_upstream_waits_total{service="svc"}`)
	before := waits.Get()
	is.Equal(tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "9000")).status, http.StatusServiceUnavailable)
	is.Equal(waits.Get(), before)
}

// A new document, and changes of upstreams, don't end a run in progress, and its request gets a further attempt by the document of its arrival.
func TestChangesInTheMiddleOfAStreamCutIt(t *testing.T) {
	document := func(change func(doc *routing.Document)) func(is *is.I, tg *testGateway) {
		return func(is *is.I, tg *testGateway) {
			doc := stopDocument()
			doc.Version++
			change(&doc)
			table, err := routing.New(doc)
			is.NoErr(err)
			tg.gateway.routingTable.Store(table)
			tg.gateway.fleet.SetServices(doc.Services)
		}
	}
	tests := map[string]func(is *is.I, tg *testGateway){
		"routes gone":   document(func(doc *routing.Document) { doc.Routes = nil }),
		"key gone":      document(func(doc *routing.Document) { doc.Accounts[0].Keys = []string{"key-2"} }),
		"account gone":  document(func(doc *routing.Document) { doc.Accounts = nil }),
		"service gone":  document(func(doc *routing.Document) { doc.Routes, doc.Services = nil, nil }),
		"short timeout": document(func(doc *routing.Document) { doc.Routes[2].Timeout = time.Millisecond }),
		"one attempt":   document(func(doc *routing.Document) { doc.Routes[2].MaxAttempts = 1 }),
		"not resumable": document(func(doc *routing.Document) { doc.Routes[2].Resumable = false }),
		"other models":  document(func(doc *routing.Document) { doc.Routes[2].Models = []string{"tiny", "huge"} }),
		"small limits": document(func(doc *routing.Document) {
			doc.Limits = routing.Limits{MaxBodyBytes: 1, MaxHeaderBytes: 1, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
		}),
		"zone evacuated":    func(_ *is.I, tg *testGateway) { tg.gateway.fleet.SetEvacuated(map[string]bool{"z1": true}, 9) },
		"upstream removed":  func(_ *is.I, tg *testGateway) { tg.gateway.fleet.RemoveEntry("first", 9, false) },
		"upstream unusable": func(_ *is.I, tg *testGateway) { tg.gateway.fleet.WithdrawUpstream("first", 9) },
		"upstream leaves": func(_ *is.I, tg *testGateway) {
			u := tg.gateway.fleet.memberOf("svc", "first").Upstream
			u.Leaving = true
			tg.gateway.fleet.ApplyEntry(u, 9)
		},
		"upstream restarts": func(_ *is.I, tg *testGateway) {
			u := tg.gateway.fleet.memberOf("svc", "first").Upstream
			u.Incarnation++
			tg.gateway.fleet.ApplyEntry(u, 9)
		},
		"version completed": func(_ *is.I, tg *testGateway) {
			tg.gateway.fleet.ApplyEntry(Upstream{ID: "second", Service: "svc", Address: tg.gateway.fleet.memberOf("svc", "second").Address, Zone: "z2", Version: "v2", Slots: 8}, 9)
			tg.gateway.rollouts.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 3}, false)
			tg.gateway.rollouts.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, BaseVersion: "v1", OrderRevision: 3, Revision: 4})
		},
	}
	for desc, change := range tests {
		for _, cut := range []bool{false, true} {
			t.Run(desc+map[bool]string{false: ", run goes on", true: ", run breaks off"}[cut], func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				tg := newTestGateway(t, stopDocument())
				first := tg.startUpstream("first", func(w http.ResponseWriter, req *http.Request) {
					streamEvents(1, 2, false)(w, req)
					change(is, tg)
					time.Sleep(50 * time.Millisecond)
					if cut {
						panic(http.ErrAbortHandler)
					}
					streamEvents(3, 4, false)(w, req)
				})
				second := tg.startUpstreamOf(Upstream{ID: "second", Zone: "z2", Version: "v1"}, resumeStream(4))
				got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "9000"))
				is.NoErr(got.err)
				is.Equal(got.body, eventTexts(1, 4))
				is.Equal(first.count(), 1)
				is.Equal(second.count() == 1, cut)
			})
		}
	}
}

// The end of a large answer was lost in a planned stop if its caller had sent the next request on the connection: the connection was closed
// while that request was unread, at which the system discards what it hasn't delivered yet.
func TestAnswerBeforeAPipelinedRequestIsLostInAStop(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	tg := newTestGateway(t, stopDocument())
	running := make(chan struct{})
	tg.startUpstream("u1", func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("T-Id") != "p1" {
			respondOK("second")(w, req)
			return
		}
		close(running)
		time.Sleep(400 * time.Millisecond)
		respondOK(strings.Repeat("x", size))(w, req)
	})
	stop, stopped := tg.runGateway(stopDocument(), 6*time.Second)
	conn, err := net.Dial("tcp", tg.gateway.settings.CallerAddress)
	is.NoErr(err)
	defer conn.Close()
	send := func(id string) {
		_, err := io.WriteString(conn, "GET /many/x HTTP/1.1\r\nHost: "+testHost+"\r\nT-Id: "+id+"\r\nT-Key: key-1\r\nT-Deadline: 9000\r\n\r\n")
		is.NoErr(err)
	}
	send("p1")
	<-running
	stop()
	time.Sleep(100 * time.Millisecond)
	send("p2")
	time.Sleep(time.Second) // the answer fills the buffers
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	n, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{&slowReader{resp.Body}}, make([]byte, 64<<10))
	t.Logf("%d of %d bytes, %v", n, size, err)
	is.NoErr(err)
	is.Equal(n, int64(size))
	is.NoErr(<-stopped)
}

// slowReader reads a little slower than the answer is written.
type slowReader struct{ io.Reader }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return r.Reader.Read(p)
}
