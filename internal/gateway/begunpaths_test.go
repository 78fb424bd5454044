package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
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
