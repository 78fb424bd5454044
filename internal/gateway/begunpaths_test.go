package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
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
		"run ended before": func(_ *testGateway, _ *Request, next *successor) { next.run.end.made = true; next.begin() },
		"answer whole, or gone": func(tg *testGateway, r *Request, next *successor) {
			next.begin()
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
