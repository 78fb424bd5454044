package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/streampace"
)

// newStreamAttempt returns an attempt of a resumable stream, which isn't sent, at an upstream of the gateway.
func newStreamAttempt(tg *testGateway) *attempt {
	tg.t.Helper()
	table, now := tg.gateway.routingTable.Load(), boottime.Now()
	route, _ := table.Match(testHost, "/stream/x")
	r := &Request{ID: "r", Service: "svc", Table: table, Route: route, Header: http.Header{}, Arrived: now, Deadline: now.Add(5 * time.Second), answer: &answerWriter{}}
	a, err := (&dispatch{gateway: tg.gateway}).startAttempt(r, &modelSequence{})
	if err != nil {
		tg.t.Fatal(err)
	}
	_, a.cancel = context.WithCancelCause(tg.t.Context())
	return a
}

// The mover and the silence timer may decide to end a run at the same time. They raced for the request's data, which the race
// detector shows, and the run must be ended once.
func TestMoveAndSilenceEndARunTwice(t *testing.T) {
	for range 20 {
		is := is.New(t)
		tg := newTestGateway(t, testDocument())
		for _, id := range []string{"u1", "u2", "u3"} {
			tg.startUpstream(id, respondOK("x"))
		}
		a := newStreamAttempt(tg)
		picked, ok := tg.gateway.fleet.choose((&dispatch{gateway: tg.gateway}).buildCriteria(a.request, "", false))
		is.True(ok)
		m := &streamMover{attempt: a, ctx: t.Context(), movable: true}
		var group sync.WaitGroup
		var ended atomic.Int32
		group.Go(func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.setMoved(&successor{run: a, choice: picked}, &streampace.Stream{}, streampace.Situation{}, streampace.Late) {
				ended.Add(1)
			}
		})
		group.Go(func() {
			if next := a.reserveAfterSilence(); next != nil && next.replaceRun(errResponseTimeout) {
				ended.Add(1)
			}
		})
		group.Wait()
		is.Equal(ended.Load(), int32(1))
		is.Equal(tg.requestsInFlight(), 2) // the run and its one successor
	}
}

// A run was copied while the silence timer ran out: the timer reserved a second successor beside that of the copy.
func TestRunIsCopiedWhileTheSilenceTimerRunsOut(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Timeout, doc.Routes[i].MaxPause = 4*time.Second, 400*time.Millisecond
	}
	tg := newTestGateway(t, doc)
	pace := tg.gateway.usualPaces.get("svc//stream")
	for range 10 {
		pace.usual.Update(nil, 20*time.Millisecond, time.Now())
	}
	pace.usual.AddLength(200, 40)
	tg.gateway.fleet.shard("svc").contended = true
	tg.gateway.settings.RunCopies = testRunCopies()
	tg.gateway.routingTable.Load().Service("svc").Engines.Moves = true
	var lastEvent atomic.Int64
	began := time.Now()
	tg.startUpstream("source", func(w http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path == "/copy": // responds 40 ms before the pause limit of 600 ms
			time.Sleep(time.Duration(lastEvent.Load()) + 560*time.Millisecond - time.Since(began))
			writeHandle(200)(w, req)
		case req.Method != http.MethodDelete:
			w.Header().Set("T-Load", "1,0,8,100")
			for i := 1; i <= 3; i++ {
				lastEvent.Store(int64(time.Since(began)))
				streamEvents(i, i, false)(w, req)
				if i < 3 {
					time.Sleep(300 * time.Millisecond)
				}
			}
			<-req.Context().Done()
		}
	})
	for _, id := range []string{"b", "c"} {
		tg.addEngine(id, "v1", engineStream(10*time.Millisecond, new(atomic.Int32)))
	}
	got := tg.do(tg.moveRequest("stream"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, moveTestEvents))
	is.Equal(tg.gateway.retryBudgets.get("svc").retryCount(), 0)
}

// A run was ended in favor of an upstream that is left out of the choice (ejected or rejecting requests): the stream was cut off, or a whole
// answer of low confidence replaced by 502.
func TestRunIsEndedForAnUpstreamThatIsLeftOut(t *testing.T) {
	tests := []struct {
		desc, path string
		first      http.HandlerFunc
		second     http.HandlerFunc
		leaveOut   func(m *member, now time.Time)
	}{
		{"silent stream", "/stream/x", eventsThenSilenceThen(1, 2, 4, 250*time.Millisecond), resetConnection, ejectMember},
		{"silent stream", "/stream/x", eventsThenSilenceThen(1, 2, 4, 250*time.Millisecond), respondNotRun, rejectRequests},
		{"low confidence", "/models/x", streamEvents(1, 4, false, "T-Confidence", "8"), respondNotRun, rejectRequests},
		{"low confidence", "/models/x", streamEvents(1, 4, false, "T-Confidence", "8"), resetConnection, ejectMember},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			for i := range doc.Routes {
				doc.Routes[i].MaxPause, doc.Routes[i].MaxAttempts = 100*time.Millisecond, 2
			}
			tg := newTestGateway(t, doc)
			tg.startUpstream("first", test.first)
			second := tg.startUpstreamOf(Upstream{ID: "second", Zone: "z2", Version: "v1"}, test.second)
			m, s := tg.gateway.fleet.memberOf("svc", "second"), tg.gateway.fleet.shard("svc")
			s.mu.Lock()
			m.ensureUsage()
			test.leaveOut(m, boottime.Now())
			s.mu.Unlock()
			got := tg.do(tg.newRequest("POST", test.path, "body", "T-Model", "*", "T-Tokens", "100,10"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventTexts(1, 4))
			is.Equal(second.count(), 0)
		})
	}
}

// eventsThenSilenceThen returns a handler that streams the events from..to, and after the pause those up to last.
func eventsThenSilenceThen(from, to, last int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		streamEvents(from, to, false)(w, req)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
			streamEvents(to+1, last, false)(w, req)
		case <-req.Context().Done():
		}
	}
}

func ejectMember(m *member, now time.Time) { m.eject(now) }

func rejectRequests(m *member, now time.Time) {
	for range 2 {
		m.observeResult(attemptResult{outcome: outcomeRefused}, now)
	}
}

// A retry that was charged in an earlier part of the window than the present one must be given back.
func TestRetryIsGivenBackLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newRetryBudget(0.5, 10*time.Second, func() float64 { return 0 })
		for range 10 {
			b.countRequest()
		}
		is.True(b.tryTake())
		time.Sleep(time.Second)
		is.True(b.tryTake())
		b.giveBack()
		is.Equal(b.retryCount(), 1)
		b.giveBack()
		is.Equal(b.retryCount(), 0)
		b.giveBack()
		is.Equal(b.retryCount(), 0)
	})
}
