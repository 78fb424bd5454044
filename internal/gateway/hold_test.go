package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// holdTest is a gateway with one engine, in virtual time. Its requests have a target of 4 s, so that
// they are held for at most half a second.
type holdTest struct {
	*is.I
	ctx   context.Context
	g     *Gateway
	log   lockedBuffer
	table *routing.Table
	ended chan string
}

// runHoldTest runs the test in virtual time, in which a goroutine that doesn't end fails the test.
func runHoldTest(t *testing.T, run func(h *holdTest)) {
	synctest.Test(t, func(t *testing.T) {
		h := &holdTest{I: is.New(t), ctx: t.Context(), ended: make(chan string, 2*admission.MaxHeldItems)}
		h.g = New(Settings{Zone: "z1", Headers: testHeaders(), AcceptConfidence: 50, Features: Features{HoldRequests: FeatureOn}}, zerolog.New(&h.log))
		var err error
		h.table, err = routing.New(testDocument())
		h.NoErr(err)
		h.g.routingTable.Store(h.table)
		h.g.fleet.ApplyEntry(Upstream{ID: "a", Service: "svc", Address: "127.0.0.1:1", Zone: "z1", Version: "v1", Slots: 8}, 1)
		run(h)
		h.Equal(h.g.holds.count.Load(), int64(0))
		h.Equal(len(h.g.holds.held), 0)
	})
}

// setWork makes the host expect that the engine has the work queued now, which declines with time.
func (h *holdTest) setWork(work time.Duration) {
	const ahead = 100 * time.Second // keeps the report from expiring
	id := h.g.fleet.shard("svc").members["a"].idHash
	h.g.fleet.setRemoteWork(exchange.Work{id: float64((work - ahead).Milliseconds())}, boottime.Now().Add(ahead))
}

func (h *holdTest) request(deadline time.Duration) *Request {
	now := boottime.Now()
	return &Request{
		ID: "r1", Service: "svc", Table: h.table, Arrived: now, Deadline: now.Add(deadline), Prompt: Prompt{TokensIn: 100, Model: "small"},
		Route:  &routing.Route{Name: "stream", Target: 4 * time.Second, MaxAttempts: 3},
		answer: newAnswerWriter(httptest.NewRecorder(), httptest.NewRequest("POST", "/", nil), false, ""),
	}
}

// start makes the decision on a request in a goroutine, which sends the result: the refusal, or "sent"
// once an engine would be chosen.
func (h *holdTest) start(ctx context.Context, r *Request) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, boottime.Until(r.Deadline))
		defer cancel()
		held, err := (&dispatch{gateway: h.g}).hold(ctx, r, &modelSequence{})
		h.g.holds.started(held)
		if err != nil {
			h.ended <- resultcode.FromError(err).Code.String()
			return
		}
		h.ended <- "sent"
	}()
	synctest.Wait()
}

func (h *holdTest) results(n int) []string {
	var list []string
	for range n {
		list = append(list, <-h.ended)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// A request must be sent at once while an engine is idle or can begin it in time, held for an eighth
// of its target otherwise, and refused at once if its first event is expected after its deadline.
func TestRequestsAreHeldWhileEnginesAreBusy(t *testing.T) {
	tests := []struct {
		work, deadline, took time.Duration
		want, why            string
	}{
		{0, 10 * time.Millisecond, 0, "sent", ""},
		{3 * time.Second, 10 * time.Second, 0, "sent", ""},
		{6 * time.Second, 10 * time.Second, 500 * time.Millisecond, "sent", `"why":"late"`},
		{6 * time.Second, 3 * time.Second, 0, "engines-saturated", `"why":"unmeetable"`},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.work, test.deadline), func(t *testing.T) {
			runHoldTest(t, func(h *holdTest) {
				h.setWork(test.work)
				start, r := time.Now(), h.request(test.deadline)
				h.start(h.ctx, r)
				h.Equal(h.results(1), []string{test.want})
				h.Equal(time.Since(start), test.took)
				h.True(strings.Contains(h.log.String(), test.why))
				h.Equal(strings.Contains(h.log.String(), `"event":"held"`), test.why != "")
			})
		})
	}
}

// A prompt that is larger than the KV cache of every engine is refused as too large under load, too. As
// one that engines have no room for now, it was sent again and again.
func TestPromptTooLargeForEveryEngineIsNotRetried(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.g.settings.Features.EngineState = FeatureOn
		doc := testDocument()
		doc.Services[0].Engines = routing.EngineSpec{MemoryTokens: 5000}
		table, err := routing.New(doc)
		h.NoErr(err)
		h.setWork(6 * time.Second)
		for tokens, want := range map[int]resultcode.Code{5001: resultcode.BodyTooLarge, 5000: resultcode.EnginesSaturated} {
			r := h.request(3 * time.Second)
			r.Table, r.Prompt.TokensIn = table, tokens
			_, err := (&dispatch{gateway: h.g}).makeAttempt(h.ctx, r, &modelSequence{})
			h.Equal(resultcode.FromError(err).Code, want)
		}
	})
}

// A request must not be refused while the most suitable engine is expected to send its first event before
// the deadline, however late: a late answer is worth more than none. A refused caller must be told a time
// within a third of what it may still wait, or it doesn't return.
func TestOnlyUnmeetableRequestsAreRefusedAndMayReturn(t *testing.T) {
	for _, mode := range []FeatureMode{FeatureOff, FeatureOn} {
		runHoldTest(t, func(h *holdTest) {
			h.g.settings.Features.ReturnSchedule = mode
			refused := 0
			for work := time.Duration(0); work <= 12*time.Second; work += 250 * time.Millisecond {
				for _, deadline := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 3900 * time.Millisecond, 10 * time.Second} {
					h.setWork(work)
					r, d := h.request(deadline), &dispatch{gateway: h.g}
					e, _ := h.g.fleet.expectedStart(d.buildCriteria(r, "", false))
					held, err := d.hold(h.ctx, r, &modelSequence{})
					h.g.holds.started(held)
					if err == nil {
						continue
					}
					refused++
					h.Equal(resultcode.FromError(err).Code, resultcode.EnginesSaturated)
					h.True(e.FirstEvent > deadline)
					retry := resultcode.FromError(err).RetryAfter
					h.True(retry > 0 && retry <= time.Until(r.Deadline)/3)
				}
			}
			h.True(refused > 20)
		})
	}
}

// A held request must be sent as soon as an engine has room: after an attempt ended, at once.
func TestHeldRequestIsSentWhenAnEngineHasRoom(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(6 * time.Second)
		h.start(h.ctx, h.request(10*time.Second))
		time.Sleep(110 * time.Millisecond)
		h.setWork(time.Second)
		h.g.holds.wake(h.request(time.Second))
		start := time.Now()
		h.Equal(h.results(1), []string{"sent"})
		h.True(time.Since(start) <= 20*time.Millisecond)
		h.True(strings.Contains(h.log.String(), `"why":"in-time"`))
	})
}

// A request that an engine rejected after the request was held must not be held again for longer than
// what is left of the eighth of its target.
func TestHoldsOfAllAttemptsAreBounded(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(6 * time.Second)
		start, r := time.Now(), h.request(20*time.Second)
		for range 3 {
			h.start(h.ctx, r)
			h.Equal(h.results(1), []string{"sent"})
			h.Equal(time.Since(start), 500*time.Millisecond)
		}
		h.Equal(r.heldFor, 500*time.Millisecond)
	})
}

// The place of a caller that leaves must be free at once, and its request must not be sent.
func TestCallerLeavesWhileHeld(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(6 * time.Second)
		ctx, leave := context.WithCancel(h.ctx)
		h.start(ctx, h.request(10*time.Second))
		h.Equal(h.g.holds.count.Load(), int64(1))
		leave()
		synctest.Wait()
		h.Equal(h.g.holds.count.Load(), int64(0))
		h.Equal(h.results(1), []string{"caller-gone"})
		h.True(strings.Contains(h.log.String(), `"why":"caller-left"`))
	})
}

// A host that was frozen with a queue must decide on it by the present time: requests whose deadlines
// passed aren't sent, and those that can't be begun any more are refused.
func TestHostIsFrozenWithAQueue(t *testing.T) {
	tests := []struct {
		frozen time.Duration
		work   time.Duration
		want   string
	}{
		{2 * time.Second, 0, "sent"},
		{2 * time.Second, 5 * time.Second, "sent"},
		{5 * time.Second, 6 * time.Second, "engines-saturated"},
		{12 * time.Second, 0, "deadline-unmeetable"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.frozen, test.work), func(t *testing.T) {
			runHoldTest(t, func(h *holdTest) {
				h.setWork(6 * time.Second)
				for range 10 {
					h.start(h.ctx, h.request(10*time.Second))
				}
				h.Equal(h.g.holds.count.Load(), int64(10))
				defer boottime.SimulateSuspension(test.frozen)()
				h.setWork(test.work)
				h.Equal(h.results(10), []string{test.want})
			})
		})
	}
}

// The deadline of a held request may pass before its next decision, for example on a host that is
// short of processor time. The request must not be sent then.
func TestDeadlineWhileHeld(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		r := h.request(10 * time.Second)
		h.setWork(6 * time.Second)
		h.start(h.ctx, r)
		h.g.holds.timer.Stop() // no decision is made
		h.Equal(h.results(1), []string{"deadline-unmeetable"})
	})
}

// On a planned stop with a full queue, each request must be sent or refused at once, and no further
// one be held.
func TestStopWithAFullQueue(t *testing.T) {
	for work, want := range map[time.Duration]string{5 * time.Second: "sent", time.Minute: "engines-saturated"} {
		t.Run(want, func(t *testing.T) {
			runHoldTest(t, func(h *holdTest) {
				h.setWork(6 * time.Second)
				for range admission.MaxHeldItems {
					h.start(h.ctx, h.request(10*time.Second))
				}
				h.Equal(h.g.holds.count.Load(), int64(admission.MaxHeldItems))
				h.setWork(work)
				start := time.Now()
				h.g.stopping.Store(true)
				h.g.holds.endHolds()
				h.start(h.ctx, h.request(10*time.Second))
				h.Equal(h.results(admission.MaxHeldItems+1), []string{want})
				h.Equal(time.Since(start), time.Duration(0))
			})
		})
	}
}

// A request that may have run must not be refused as one that didn't run, nor be held.
func TestRequestThatRanIsNeitherHeldNorRefused(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(time.Minute)
		r := h.request(10 * time.Second)
		r.runState.Raise(runstate.MayHaveRun)
		h.start(h.ctx, r)
		h.Equal(h.results(1), []string{"sent"})
	})
}

// Requests must be neither held nor refused for services whose engines don't state the fourth figure
// of the load header, and for requests without a prompt.
func TestNoRequestIsHeldByDefault(t *testing.T) {
	tests := []struct {
		desc   string
		change func(g *Gateway, r *Request)
	}{
		{"three figures", func(g *Gateway, _ *Request) { g.settings.Features.HoldRequests = FeatureAuto }},
		{"off", func(g *Gateway, _ *Request) { g.settings.Features.HoldRequests = FeatureOff }},
		{"no prompt", func(_ *Gateway, r *Request) { r.Prompt.TokensIn = 0 }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			runHoldTest(t, func(h *holdTest) {
				h.setWork(time.Minute)
				r := h.request(10 * time.Second)
				test.change(h.g, r)
				h.start(h.ctx, r)
				h.Equal(h.results(1), []string{"sent"})
				h.True(!r.arrived)
				h.Equal(h.g.holds.saturation("svc"), 0.0)
			})
		})
	}
}

// While requests wait, only an answer that is probably wrong may be replaced by one of the better
// model, since each such attempt makes another request late.
func TestEscalationWhileRequestsWait(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		runHoldTest(t, func(h *holdTest) {
			h.g.hostCount.Store(1)
			h.g.settings.RetryHeadroom = 100
			accepts := func(confidence int) bool {
				models := &modelSequence{models: []string{"small", "large"}}
				r := h.request(10 * time.Second)
				route := *r.Route
				route.Kind, route.Resumable = routing.Stream, true // the request may run on both models
				r.Route = &route
				return (&dispatch{gateway: h.g}).acceptHead(r, &attempt{gateway: h.g, request: r}, models, attemptResult{confidence: confidence})
			}
			if saturated {
				h.setWork(time.Minute)
				for range 10 {
					h.start(h.ctx, h.request(10*time.Second))
				}
				h.Equal(h.results(10), []string{"engines-saturated"})
			}
			h.setWork(0)
			h.True(!accepts(5))
			h.Equal(accepts(40), saturated)
			h.True(accepts(60))
		})
	}
}

// A caller whose request can't be begun must get status 503, the code and a time to come back that is
// at most a third of what it waits; the engine must not get the request.
func TestSaturatedEnginesRefuseWithRetryAfter(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Timeout = 8 * time.Second
	}
	tg := newTestGateway(t, doc)
	requests := tg.startUpstream("a", streamEvents(1, 3, false))
	tg.gateway.settings.Features.HoldRequests = FeatureOn
	h := &holdTest{g: tg.gateway}
	answered := make(chan callerAnswer)
	h.setWork(6 * time.Second)
	req := tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "8000", "T-Tokens", "100,50")
	go func() { answered <- tg.do(req) }()
	eventually(t, "the request is held", func() bool { return tg.gateway.holds.count.Load() == 1 })
	h.setWork(9 * time.Second)
	got := <-answered
	is.Equal(got.status, 503)
	is.Equal(strings.TrimSpace(got.body), resultcode.EnginesSaturated.String())
	retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry > 0 && retry <= 8.0/3)
	is.Equal(requests.count(), 0)
}

// A request must not be refused while an engine is idle that the sample of a large service didn't
// contain, or whose KV cache is expected to have no room. It must be sent to that engine.
func TestNoRefusalBySampleWhileAnEngineIsIdle(t *testing.T) {
	for _, engines := range []int{140, 4} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			runHoldTest(t, func(h *holdTest) {
				doc := testDocument()
				doc.Services[0].Engines = routing.EngineSpec{Slots: 8, MemoryTokens: 300_000}
				h.table, _ = routing.New(doc)
				h.g.fleet.policy.engineState, h.g.settings.Features.EngineState = FeatureOn, FeatureOn
				work := exchange.Work{h.g.fleet.memberOf("svc", "a").idHash: 60_000}
				for i := range engines {
					u := Upstream{ID: fmt.Sprint("e", i), Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z1", Version: "v1", Slots: 8}
					h.g.fleet.ApplyEntry(u, 1)
					work[h.g.fleet.memberOf("svc", u.ID).idHash] = 60_000
				}
				delete(work, h.g.fleet.memberOf("svc", "e3").idHash)
				h.g.fleet.setRemoteWork(work, boottime.Now())
				h.g.fleet.shard("svc").engineStateOf(h.g.fleet.memberOf("svc", "e3"), boottime.Now()).tokens = 299_990
				d := &dispatch{gateway: h.g}
				for range 20 {
					r := h.request(6 * time.Second)
					_, err := d.hold(h.ctx, r, &modelSequence{})
					h.NoErr(err)
					a, err := d.startAttempt(r, &modelSequence{})
					h.NoErr(err)
					h.Equal(a.choice.upstream.ID, "e3")
					h.g.fleet.release(a.choice, attemptResult{outcome: outcomeAbandoned})
				}
			})
		})
	}
}

// A request whose goroutine panics before its engine is chosen must not delay the decisions on others.
func TestPanicBeforeTheChoiceDelaysNoOtherRequest(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(6 * time.Second)
		r, done := h.request(10*time.Second), make(chan any)
		go func() {
			defer func() { done <- recover() }()
			_, _ = (&dispatch{gateway: h.g}).makeAttempt(h.ctx, r, &modelSequence{})
		}()
		synctest.Wait()
		h.start(h.ctx, h.request(10*time.Second))
		h.g.holds.mu.Lock()
		r.Table = nil // makes startAttempt panic
		h.g.holds.mu.Unlock()
		start := time.Now()
		h.g.holds.endHolds()
		h.True(<-done != nil)
		h.Equal(h.results(1), []string{"sent"})
		h.Equal(time.Since(start), time.Duration(0))
	})
}

// A verdict that arrives while a request is held must keep it from engines, as one that arrived before:
// the request terminates the engines that run it.
func TestRequestIsQuarantinedWhileHeld(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Timeout, doc.Routes[i].Target = 8*time.Second, 4*time.Second
	}
	tg := newTestGateway(t, doc)
	requests := tg.startUpstream("a", streamEvents(1, 3, false))
	tg.gateway.settings.Features.HoldRequests = FeatureOn
	h := &holdTest{g: tg.gateway}
	h.setWork(6 * time.Second)
	answered := make(chan callerAnswer)
	req := tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "8000", "T-Tokens", "100,50")
	go func() { answered <- tg.do(req) }()
	eventually(t, "the request is held", func() bool { return tg.gateway.holds.count.Load() == 1 })
	digest := (&Request{Host: testHost, Method: "POST", Target: "/stream/x", Account: &routing.Account{Name: "acme"}, Body: []byte("body")}).content().Digest()
	v := quarantine.NewVerdict(quarantine.Finding{Digest: digest, Events: 5, Upstreams: 5}, "h2", boottime.Elapsed())
	tg.gateway.guard.ApplyStatus(exchange.QuarantineStatus{Verdicts: []quarantine.Verdict{v}})
	h.setWork(0)
	is.Equal(strings.TrimSpace((<-answered).body), resultcode.RequestQuarantined.String())
	is.Equal(requests.count(), 0)
}

// A caller may leave between the decision to send its request and the attempt, or during the attempt
// before a connection is there. The engine must not be ejected, since it isn't the cause.
func TestCallerLeavesAfterTheDecisionToSend(t *testing.T) {
	is := is.New(t)
	for range 20 { // the goroutine of the request finds both events, in any order
		runHoldTest(t, func(h *holdTest) {
			h.setWork(6 * time.Second)
			ctx, leave := context.WithCancel(h.ctx)
			done := make(chan struct{})
			go func() {
				defer close(done)
				result, err := (&dispatch{gateway: h.g}).makeAttempt(ctx, h.request(10*time.Second), &modelSequence{})
				h.True(result.outcome == outcomeAbandoned || resultcode.FromError(err).Code == resultcode.CallerGone)
			}()
			synctest.Wait()
			s := h.g.holds
			s.mu.Lock() // keeps the request from being sent before its caller leaves
			s.queue.EndHolds(boottime.Now())
			s.deliver(s.queue.Advance(boottime.Now(), func(*admission.Item) admission.Estimate { return admission.Estimate{} }))
			leave()
			s.mu.Unlock()
			<-done
			h.True(!h.g.fleet.memberOf("svc", "a").ejected(boottime.Now()))
		})
	}
	for _, held := range []*heldRequest{nil, {}} {
		ctx, leave := context.WithCancel(t.Context())
		leave()
		result := (&attempt{request: &Request{held: held}}).failureResult(ctx, context.Canceled)
		want := outcomeAbandoned
		if held == nil {
			want = outcomeUnsent // as before
		}
		is.Equal(result.outcome, want)
		is.True(result.notReached())
		is.Equal(result.guardOutcome(), guard.NotRun)
	}
}

// A prompt whose caller states too large a number of tokens must be refused, not sent because its expected
// time overflows and is negative, nor make the work of its engine negative.
func TestTooLargeTokenCountIsNoIdleEngine(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		r := h.request(10 * time.Second)
		r.Prompt.TokensIn = 1 << 62
		crit := (&dispatch{gateway: h.g}).buildCriteria(r, "", false)
		e, _ := h.g.fleet.expectedStart(crit)
		h.True(e.FirstEvent > time.Minute)
		h.True(e.work > time.Minute)
		_, ok := h.g.fleet.choose(crit)
		h.True(ok)
		next, _ := h.g.fleet.expectedStart(crit)
		h.True(next.Wait > time.Minute)
	})
}

// Requests that arrive every 15 ms must not postpone the decisions on those that are held, which are made
// every 20 ms: they were sent late although their engine was idle.
func TestNewRequestsPostponeNoDecision(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.g.fleet.ApplyEntry(Upstream{ID: "b", Service: "svc2", Address: "127.0.0.1:2", Zone: "z1", Version: "v1", Slots: 8}, 1)
		a, b := h.g.fleet.memberOf("svc", "a").idHash, h.g.fleet.memberOf("svc2", "b").idHash
		h.g.fleet.setRemoteWork(exchange.Work{a: 6000, b: 6000}, boottime.Now())
		h.start(h.ctx, h.request(10*time.Second))
		h.g.fleet.setRemoteWork(exchange.Work{b: 6000}, boottime.Now()) // the engine of svc is idle
		for range 3 {
			time.Sleep(15 * time.Millisecond)
			r := h.request(10 * time.Second)
			r.Service = "svc2"
			h.start(h.ctx, r)
		}
		h.Equal(len(h.ended), 1)
		h.results(4)
	})
}

// The answer to a request must not wait while decisions on held requests are made, and results of requests
// that don't concern the held ones' engines must cause no decision.
func TestResultWaitsForNoDecision(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.setWork(6 * time.Second)
		h.start(h.ctx, h.request(10*time.Second))
		h.setWork(0)
		h.g.holds.timer.Stop() // the decision is made after a result only
		time.Sleep(30 * time.Millisecond)
		plain, other := h.request(time.Second), h.request(time.Second)
		plain.Prompt.TokensIn, other.Service = 0, "other"
		for _, r := range []*Request{plain, other} {
			h.g.holds.wake(r)
			synctest.Wait()
			h.Equal(len(h.ended), 0)
		}
		h.g.holds.mu.Lock() // as while decisions are made
		h.g.holds.wake(h.request(time.Second))
		h.True(h.g.holds.saturation("svc") > 0)
		h.g.holds.mu.Unlock()
		synctest.Wait()
		h.Equal(len(h.ended), 1)
		h.results(1)
	})
}
