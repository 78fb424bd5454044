package gateway

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/routing"
)

// contendedFleet returns a fleet with the engines of engineFleet, which state their slowdowns.
// Requests to them took two seconds, and the prefill times of model m are known.
func contendedFleet() (*Fleet, *shard) {
	f := engineFleet()
	s := f.shard("svc")
	s.contended, s.servesPrompts, s.meanRequestTime = true, true, 2*time.Second
	s.engineStates.meanRunTime = s.meanRequestTime
	for range 20 {
		s.prefillRates.Observe("m", 1000, 70*time.Millisecond, time.Now())
		s.prefillRates.Observe("m", 4000, 220*time.Millisecond, time.Now())
	}
	return f, s
}

func stateCriteria(tokens int, excludedIDs ...string) criteria {
	crit := unsharedPromptCriteria(tokens, excludedIDs...)
	crit.engines = routing.EngineSpec{Slots: 8, MemoryTokens: 20_000}
	return crit
}

// remoteLoads returns the states by which the other hosts have the given load at each of the engines.
func remoteLoads(load exchange.EngineLoad, ids ...string) *exchange.EngineStates {
	states := &exchange.EngineStates{Loads: make(exchange.EngineLoads)}
	for _, id := range ids {
		states.Loads[exchange.HashID(id).EngineID()] = load
	}
	return states
}

// Streams queue no prefill, so engines that are full by the other hosts' streams would look idle.
// Data that is too old must not count.
func TestFullEnginesAreAvoidedWhileDataIsRecent(t *testing.T) {
	for name, load := range map[string]exchange.EngineLoad{"slots": {Requests: 12}, "memory": {Tokens: 19_500}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _ := contendedFleet()
			counts := func(age time.Duration) map[string]int {
				n := make(map[string]int)
				for range 30 {
					f.setRemoteEngineStates(remoteLoads(load, "b", "c"), time.Now().Add(-age))
					c, _ := f.choose(stateCriteria(1000))
					n[c.upstream.ID]++
					f.headReceived(&c, 70*time.Millisecond)
					f.release(c, attemptResult{outcome: outcomeDone})
				}
				return n
			}
			is.Equal(counts(0)["a"], 30)
			is.Equal(counts(exchange.MaxWorkAge + time.Second)["b"], 30) // as without data
		})
	}
}

// A restarted engine must have no state, and what former requests report must not become its state.
func TestRestartedEngineHasNoState(t *testing.T) {
	is := is.New(t)
	f, s := contendedFleet()
	view := func() engineView {
		crit := stateCriteria(1000)
		return s.engineView(s.members["b"], &crit, 0, true, time.Now())
	}
	var former []choice
	for range 3 {
		c, _ := f.choose(stateCriteria(4000, "a", "c"))
		former = append(former, c)
	}
	f.headReceived(&former[0], 440*time.Millisecond)
	f.headLoadReceived(&former[0], "3,9,8,160")
	is.True(view().slowdown > 1)
	is.Equal(view().usedTokens, 12_000.0)
	is.True(view().slotWait > time.Second)
	f.ApplyEntry(Upstream{ID: "b", Incarnation: firstStart, Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 2)
	for _, c := range former {
		f.headLoadReceived(&c, "3,9,8,160")
		f.release(c, attemptResult{outcome: outcomeDone, load: "3,9,8,160"})
	}
	is.Equal(view().slowdown, 0.0)
	is.Equal(view().requests, 0.0)
	is.Equal(view().usedTokens, 0.0)
	is.Equal(s.members["b"].inFlight, 0)
}

// Slowdowns of other hosts count, and when the hub is lost, a host goes on with its own ones and the
// last sums, which decay.
func TestSlowdownsAfterTheLossOfAHub(t *testing.T) {
	is := is.New(t)
	f, s := contendedFleet()
	b, now := s.members["b"], time.Now()
	crit := stateCriteria(1000)
	slowdowns := func(weight float64) *exchange.EngineStates {
		return &exchange.EngineStates{Slice: 1, Slowdowns: exchange.Slowdowns{b.idHash.EngineID(): placement.Slowdown{Weight: weight, Sum: 1.6 * weight}}}
	}
	f.setRemoteEngineStates(slowdowns(20), now)
	is.True(math.Abs(s.engineView(b, &crit, 0, true, now).slowdown-1.6) < 0.01)
	received := s.engineStates.remoteSlowdowns[b.idHash.EngineID()].NewestAt
	f.setRemoteEngineStates(slowdowns(19), now) // no new samples
	is.Equal(s.engineStates.remoteSlowdowns[b.idHash.EngineID()].NewestAt, received)
	later := s.engineView(b, &crit, 0, true, now.Add(16*time.Second))
	is.True(later.slowdown > 1.1 && later.slowdown < 1.2)
	is.True(later.remoteAge < 0)

	c, _ := f.choose(stateCriteria(4000, "a", "c"))
	f.headReceived(&c, 440*time.Millisecond) // twice the expected time
	f.release(c, attemptResult{outcome: outcomeDone})
	states := f.ownEngineStates(exchange.SlowdownSlice(b.idHash.EngineID()))
	is.Equal(len(states.Slowdowns), 1)
	is.True(states.Slowdowns[b.idHash.EngineID()].Sum > 1.5*placement.AnswerWeight)
	s.engineStates.prunedAt = time.Time{}
	s.engineStates.prune(time.Now().Add(2 * engineStateRetention))
	is.Equal(len(s.engineStates.own)+len(s.engineStates.remoteSlowdowns), 0) // the state is bounded
}

// Unreadable or impossible figures must not change which engines are used.
func TestWrongLoadFigures(t *testing.T) {
	for _, load := range []string{"", "3", "x,y,8,z", "-4,-4,8,-140", "1,1,8,0", "1,1,8,NaN", "1,1,8,Inf", "999999999999999999999,1,8,1e300", "9999999,9999999,8,1e9"} {
		t.Run(load, func(t *testing.T) {
			is := is.New(t)
			f, s := contendedFleet()
			c, _ := f.choose(stateCriteria(1000, "a", "c"))
			f.headReceived(&c, 70*time.Millisecond)
			f.headLoadReceived(&c, load)
			crit := stateCriteria(1000)
			v := s.engineView(s.members["b"], &crit, 0, true, time.Now())
			is.True(v.slowdown >= 0.9 && v.slowdown <= 1.2)
			is.True(v.requests >= 1 && v.requests <= 2*maxStatedRequests)
			is.True(v.slotWait < 10*time.Second)
		})
	}
}

// Engines that state only three figures must be chosen without their state, with nothing counted or sent.
func TestEngineStateIsOffByDefault(t *testing.T) {
	is := is.New(t)
	for _, mode := range []FeatureMode{"", FeatureAuto, FeatureOff} {
		f, s := contendedFleet()
		s.contended, f.policy.engineState = mode == FeatureOff, mode
		f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: 99, Tokens: 1e6}, "b"), time.Now())
		c, _ := f.choose(stateCriteria(1000, "a", "c"))
		f.headReceived(&c, 300*time.Millisecond)
		f.headLoadReceived(&c, "9,9,8")
		f.release(c, attemptResult{outcome: outcomeDone, load: "9,9,8"})
		is.True(!c.engine.active)
		is.Equal(c.workAhead, time.Duration(0))
		is.Equal(len(s.engineStates.own), 0)
		is.Equal(f.ownEngineStates(1), nil)
		list := candidateList{members: []*member{s.members["b"]}}
		crit := stateCriteria(1000)
		for _, candidate := range s.placementCandidates(list, &crit, time.Now()) {
			is.Equal(candidate.Slowdown, 0.0)
			is.Equal(candidate.SlotWait, time.Duration(0))
			is.True(!candidate.LacksMemory)
		}
	}
}

// syncBuffer is a log that goroutines write to.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// An operator must see by the log and the metrics what a placement was based on. A prompt that no
// engine can hold must be refused without being sent; on other services it is sent.
func TestEngineStateOfOneRequest(t *testing.T) {
	for _, load := range []string{"3,0,8", "3,0,8,140"} {
		t.Run(load, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Services[0].Engines = routing.EngineSpec{Slots: 8, MemoryTokens: 5000}
			tg := newTestGateway(t, doc)
			log := &syncBuffer{}
			tg.gateway.log = zerolog.New(log)
			upstream := tg.startUpstream("a", streamEvents(1, 2, false, "T-Load", load))
			send := func(tokens int) int {
				return tg.do(tg.newRequest("POST", "/fixed/x", "body", "T-Model", "m", "T-Tokens", fmt.Sprint(tokens, ",10"))).status
			}
			contended := strings.Count(load, ",") == 3
			is.Equal(send(1000), http.StatusOK)
			is.Equal(send(1000), http.StatusOK)
			want := http.StatusOK
			if contended {
				want = http.StatusRequestEntityTooLarge
			}
			is.Equal(send(5001), want)
			is.Equal(upstream.count() == 2, contended)
			log.mu.Lock()
			defer log.mu.Unlock()
			is.Equal(strings.Contains(log.String(), `"slot_wait_ms"`), contended)
			is.Equal(strings.Contains(log.String(), `"memory_needed":1010`), contended)
			var metrics bytes.Buffer
			tg.gateway.metrics.write(&metrics)
			is.Equal(strings.Contains(metrics.String(), `quetzalweir_gateway_engine_choices_total{service="svc",engine="free"}`), contended)
		})
	}
}

// An engine that isn't in the hub's reply may be idle. It counted as being as full as the busy ones
// that were left out, of all services.
func TestIdleEngineIsNotAsFullAsOthers(t *testing.T) {
	is := is.New(t)
	f, s := contendedFleet()
	states := remoteLoads(exchange.EngineLoad{Requests: 24}, "b")
	service := exchange.HashService("svc")
	states.Loads[exchange.OtherEngines(service)] = exchange.EngineLoad{Requests: 24, Tokens: 19_000, Service: service}
	states.Loads[exchange.OtherEngines(service+1)] = exchange.EngineLoad{Requests: 900, Tokens: 1e6, Service: service + 1}
	f.setRemoteEngineStates(states, time.Now())
	crit := stateCriteria(1000)
	for _, id := range []string{"a", "c"} { // one of them has the 24 requests
		v := s.engineView(s.members[id], &crit, 0, true, time.Now())
		is.Equal(v.requests, 12.0)
		is.Equal(v.usedTokens, 9_500.0)
	}
	is.Equal(s.engineView(s.members["b"], &crit, 0, true, time.Now()).requests, 24.0)
}

// The sums of a hub that has few reports yet replaced an engine's own statement, which was 1 ms
// older: a full engine looked idle. The statement must count until it is older than MaxWorkAge.
func TestIncompleteSumsDontReplaceStatement(t *testing.T) {
	is := is.New(t)
	f, s := contendedFleet()
	c, _ := f.choose(stateCriteria(1000, "a", "c"))
	f.headReceived(&c, 70*time.Millisecond)
	f.headLoadReceived(&c, "8,16,8,100")
	crit, b := stateCriteria(1000), s.members["b"]
	is.Equal(s.engineView(b, &crit, 0, true, boottime.Now()).requests, 24.0)
	f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: 1}, "b"), boottime.Now())
	is.Equal(s.engineView(b, &crit, 0, true, boottime.Now()).requests, 24.0)
	f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: 30}, "b"), boottime.Now())
	is.Equal(s.engineView(b, &crit, 0, true, boottime.Now()).requests, 31.0)
	later := boottime.Now().Add(exchange.MaxWorkAge + time.Millisecond)
	f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: 1}, "b"), later)
	is.Equal(s.engineView(b, &crit, 0, true, later).requests, 2.0)
}

// The wait for a batch slot counted as work queued ahead, so that at 7 of 8 slots no answer was a
// sample of the slowdown or the prefill rate, when both matter most. An answer of a full engine is no
// sample, since its time contains a wait.
func TestAnswersUnderLoadAreSamples(t *testing.T) {
	for requests, want := range map[float64]bool{0: true, 7: true, 8: false, 12: false} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			is := is.New(t)
			f, s := contendedFleet()
			f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: requests}, "a", "b", "c"), time.Now())
			before := s.prefillRates.Timings(time.Now())["m"].Answers
			c, _ := f.choose(stateCriteria(1800))
			f.headReceived(&c, 110*time.Millisecond)
			is.Equal(s.prefillRates.Timings(time.Now())["m"].Answers > before, want)
			is.Equal(s.engineStates.own[s.members[c.upstream.ID].idHash].slowdown.Weight > 0, want)
		})
	}
}

// The stated maximum of generated tokens counted without bound: a request with 30,000 of them at a
// capacity of 20,000 excluded its engine at all hosts while it ran, and the largest number overflowed.
func TestStatedOutputIsBounded(t *testing.T) {
	for _, out := range []int{30_000, math.MaxInt, math.MinInt} {
		t.Run(fmt.Sprint(out), func(t *testing.T) {
			is := is.New(t)
			f, s := contendedFleet()
			crit := stateCriteria(1000, "a", "c")
			crit.outputTokens = out
			c, _ := f.choose(crit)
			is.True(c.engine.neededTokens >= 1000 && c.engine.neededTokens <= 20_000)
			next, b := stateCriteria(1000), s.members["b"]
			is.True(!s.engineView(b, &next, 0, true, time.Now()).lacksMemory)
			large := stateCriteria(19_500)
			large.outputTokens = out
			is.True(s.engineView(b, &large, 0, true, time.Now()).neededTokens <= 20_000)
			f.release(c, attemptResult{outcome: outcomeDone})
			is.Equal(s.engineView(b, &next, 0, true, time.Now()).usedTokens, 0.0)
		})
	}
}

// One wrong statement, such as 99999999 running requests, made the mean load so large that all waits
// for batch slots fell to microseconds for 422 statements.
func TestOneWrongStatementKeepsSlotWaits(t *testing.T) {
	is := is.New(t)
	f, s := contendedFleet()
	crit := stateCriteria(1000)
	wait := func() time.Duration {
		f.setRemoteEngineStates(remoteLoads(exchange.EngineLoad{Requests: 24}, "a", "c"), time.Now())
		return s.engineView(s.members["a"], &crit, 0, true, time.Now()).slotWait
	}
	before := wait()
	for _, load := range []string{"99999999,0,8,100", "-99999999,0,8,100"} {
		c, _ := f.choose(stateCriteria(1000, "a", "c"))
		f.headReceived(&c, 70*time.Millisecond)
		c.chosenAt = c.chosenAt.Add(-2 * time.Second)
		f.release(c, attemptResult{outcome: outcomeDone, load: load})
		is.True(wait() > before/2)
		is.True(wait() < 2*before)
	}
}

// Attempts that an engine rejects or doesn't receive take milliseconds. They counted in the mean time
// for which requests hold a slot, so that waits looked shorter the more engines rejected.
func TestRejectedAttemptsDontShortenSlotWaits(t *testing.T) {
	for _, o := range []outcome{outcomeRefused, outcomeUnsent, outcomeWithheld} {
		t.Run(o.String(), func(t *testing.T) {
			is := is.New(t)
			f, s := contendedFleet()
			for range 10 {
				c, _ := f.choose(stateCriteria(1000))
				f.release(c, attemptResult{outcome: o})
			}
			is.Equal(s.slotHoldTime(), 2*time.Second)
			is.True(s.meanRequestTime < 2*time.Second)
			c, _ := f.choose(stateCriteria(1000))
			c.chosenAt = time.Now().Add(-4 * time.Second)
			f.release(c, attemptResult{outcome: outcomeDone})
			is.True(s.slotHoldTime() > 2*time.Second)
		})
	}
}

// Requests must not leave the engine that caches their prompt because of drawn work: the draw is for
// engines between which hosts have no other preference.
func TestNoDrawWhereThePromptIsCached(t *testing.T) {
	is := is.New(t)
	_, s := contendedFleet()
	crit := stateCriteria(1000)
	crit.prompt = &placement.Prompt{Tokens: 1000, Parts: []placement.Part{{ID: "p", Tokens: 500}}, SharedParts: 1}
	s.engineStates.remoteLoadsAt, s.engineStates.meanRunTime, s.engineStates.boundedSlotLoad = time.Now(), time.Second, 1
	members := []*member{s.members["a"], s.members["b"]}
	drawn := func(cachedParts int) (n int) {
		for range 50 {
			candidates := []placement.Candidate{{CachedParts: cachedParts}, {}}
			s.addEngineStates(candidates, members, &crit, time.Now())
			if candidates[0].UnseenWork+candidates[1].UnseenWork > 0 {
				n++
			}
		}
		return n
	}
	s.queueStats.meanPrefillTime = float64(100 * time.Millisecond)
	is.True(drawn(0) > 0)
	is.Equal(drawn(1), 0)
}
