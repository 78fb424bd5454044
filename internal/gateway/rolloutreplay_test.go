package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	"github.com/quetzalweir/quetzalweir/routing"
)

const (
	replayHosts    = 7
	replayDuration = 16 * time.Second
	replayAnswer   = 30 * time.Millisecond
)

// rolloutReplay plays a roll-out in virtual time: hosts with the product's own decisions, a store, the
// exchange of evidence between the hosts, and requests at a constant rate.
type rolloutReplay struct {
	*rolloutHosts
	rand *rand.Rand
	// perSecond is the rate of the service's requests.
	perSecond int
	// failureRate returns the fraction of the new version's answers that fail, given the number of
	// requests that it ran in the last second.
	failureRate func(runs int) float64
	// slowdown returns the factor by which an answer of the new version takes longer than one of the old
	// version; nil for a plain service, whose answers all take replayAnswer.
	slowdown func(*rand.Rand) float64
	// patience is the time after which callers leave that have got no answer; 0 if they don't leave.
	patience time.Duration
	// runs holds the times of the requests that the new version ran in the last second.
	runs []time.Time
	// queue holds the answers and exchanges to come. They have no timers of their own, as the race detector can
	// crash when timers of a synctest bubble lapse on several threads. began is the queue's start in the
	// bubble's time.
	queue *simulate.Queue
	began time.Time
}

// after schedules an action.
func (p *rolloutReplay) after(d time.Duration, act func()) {
	p.queue.After(d, func() {
		p.sleepUntilQueueTime()
		act()
	})
}

// advance lets time pass and carries out the actions that are due.
func (p *rolloutReplay) advance(d time.Duration) {
	p.queue.Run(p.queue.Now().Sub(simulate.Epoch) + d)
	p.sleepUntilQueueTime()
}

// sleepUntilQueueTime lets the bubble's time pass up to that of the queue.
func (p *rolloutReplay) sleepUntilQueueTime() {
	time.Sleep(time.Until(p.began.Add(p.queue.Now().Sub(simulate.Epoch))))
}

// playRollout plays a roll-out of a plain service until its status is final, at most for the given time, and
// returns the state and the time since the order.
func playRollout(t *testing.T, seed uint64, perSecond int, limit time.Duration, failureRate func(runs int) float64) (state RolloutState, took time.Duration) {
	return newRolloutReplay(t, seed, perSecond, failureRate).play(limit)
}

func newRolloutReplay(t *testing.T, seed uint64, perSecond int, failureRate func(runs int) float64) *rolloutReplay {
	return &rolloutReplay{
		rolloutHosts: newRolloutHosts(t, replayHosts), rand: rand.New(rand.NewPCG(seed, 0)),
		perSecond: perSecond, failureRate: failureRate, queue: simulate.New(),
	}
}

// play plays the roll-out until its status is final, at most for the given time, and returns the state and the
// time since the order.
func (p *rolloutReplay) play(limit time.Duration) (state RolloutState, took time.Duration) {
	for _, g := range p.hosts {
		g.settings.CanaryHeadroom = 30
		g.rollouts.requestRamp, g.rollouts.sessionRamp = newRamp(0.15, 0), newRamp(0.15, sessionsFrom)
		g.fleet.ApplyEntry(Upstream{ID: "new-2", Service: "svc", Version: "v2", Address: "127.0.0.1:3", Slots: 4}, 1)
	}
	// The hosts' first calls of the store are held when the order arrives.
	time.Sleep(time.Second)
	p.began = time.Now()
	p.order("v2", replayDuration)
	ordered := time.Now()
	nextExchange := ordered
	for i := 0; time.Since(ordered) < limit; i++ {
		p.advance(time.Second / time.Duration(p.perSecond))
		if time.Now().After(nextExchange) {
			nextExchange = time.Now().Add(exchange.Interval)
			p.exchangeEvidence()
		}
		if state, ok := p.state(); ok && state != RolloutRunning {
			return state, time.Since(ordered)
		}
		p.request(i)
	}
	state, _ = p.state()
	return state, time.Since(ordered)
}

// exchangeEvidence passes to each host the sums of the others' evidence, after the time of an exchange.
func (p *rolloutReplay) exchangeEvidence() {
	var reports [][]exchange.Evidence
	for _, g := range p.hosts {
		reports = append(reports, g.rollouts.ownEvidence())
	}
	p.after(exchange.Interval, func() {
		for i, g := range p.hosts {
			var others [][]exchange.Evidence
			for k, report := range reports {
				if k != i {
					others = append(others, report)
				}
			}
			g.rollouts.setRemoteEvidence(exchange.SumEvidence(others...))
		}
	})
}

// request sends a request to a host. Half of the requests belong to sessions. On one of two routes, a
// fifth of the requests fail at each of two attempts, with each version.
func (p *rolloutReplay) request(i int) {
	g := p.hosts[p.rand.IntN(len(p.hosts))]
	r := &Request{ID: fmt.Sprint("r", i), Service: "svc", Route: &routing.Route{Name: "reliable"}}
	if i%2 == 0 {
		r.Session = fmt.Sprint("s", p.rand.IntN(40))
	}
	alwaysFails := false
	if i%4 == 1 {
		r.Route, alwaysFails = &routing.Route{Name: "failing"}, p.rand.Float64() < 0.2
	}
	p.attempt(g, r, alwaysFails)
	if alwaysFails {
		p.attempt(g, r, alwaysFails)
	}
}

// attempt sends the request to an upstream of the version that the host chooses.
func (p *rolloutReplay) attempt(g *Gateway, r *Request, fails bool) {
	upstream := p.rand.IntN(2)
	c := choiceOf(fmt.Sprint("old-", upstream), "v1")
	if g.rollouts.versionFilter(r)("v2") {
		c = choiceOf(fmt.Sprint("new-", upstream), "v2")
		fails = p.rand.Float64() < p.runOnNew() || fails
	}
	c.chosenAt = boottime.Now()
	result := attemptResult{outcome: outcomeDone, firstByte: replayAnswer}
	if p.slowdown != nil {
		c.placement.ExpectedTime = time.Duration(50+p.rand.IntN(350)) * time.Millisecond
		result.firstByte = time.Duration(float64(c.placement.ExpectedTime) * p.engineNoise())
		if c.upstream.Version == "v2" {
			result.firstByte = time.Duration(float64(result.firstByte) * p.slowdown(p.rand))
		}
	}
	if fails {
		result.outcome = outcomeFailed
	}
	g.rollouts.observeStart(r, c)
	took := result.firstByte
	if p.patience > 0 && took > p.patience {
		took, result = p.patience, attemptResult{outcome: outcomeAbandoned, err: context.Canceled}
	}
	p.after(took, func() { g.rollouts.observeResult(r, c, result, false) })
}

// engineNoise returns an engine's time as a multiple of the expected one. One answer in three waits for prompts
// of other hosts, and one in six takes more than twice as long as expected.
func (p *rolloutReplay) engineNoise() float64 {
	noise := 0.85 * math.Exp(0.3*p.rand.NormFloat64())
	if p.rand.IntN(3) == 0 {
		noise *= 1 + 1.5*p.rand.ExpFloat64()
	}
	return noise
}

// runOnNew records a run on the new version and returns the fraction of its answers that fail now.
func (p *rolloutReplay) runOnNew() float64 {
	p.runs = append(p.runs, time.Now())
	for time.Since(p.runs[0]) > time.Second {
		p.runs = p.runs[1:]
	}
	return p.failureRate(len(p.runs))
}

// A version that failed requests only under the full load was completed on the answers that it had given
// with little load.
func TestVersionThatFailsAtFullLoadIsNotCompleted(t *testing.T) {
	for _, perSecond := range []int{90, 180} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(perSecond, " requests a second, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					state, took := playRollout(t, seed, perSecond, replayDuration+10*time.Second, func(runs int) float64 {
						if 3*runs > 2*perSecond {
							return 0.25
						}
						return 0
					})
					t.Logf("%s after %s", state, took)
					is.New(t).Equal(state, RolloutReverted)
				})
			})
		}
	}
}

// The evidence that is required from full load must not delay the completion of a sound version beyond
// the roll-out's duration.
func TestSoundVersionIsCompletedInTime(t *testing.T) {
	for _, perSecond := range []int{16, 30, 90, 180} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(perSecond, " requests a second, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					state, took := playRollout(t, seed, perSecond, replayDuration+10*time.Second, func(int) float64 { return 0 })
					t.Logf("%s after %s", state, took)
					is.Equal(state, RolloutCompleted)
					is.True(took <= replayDuration)
				})
			})
		}
	}
}

// slowVersions are ways in which a new version can be slow.
var slowVersions = []struct {
	desc     string
	slowdown func(*rand.Rand) float64
}{
	{"a fifth of the answers 8 times", func(rng *rand.Rand) float64 {
		if rng.IntN(5) == 0 {
			return 8
		}
		return 1
	}},
	{"all answers 2.4 times", func(*rand.Rand) float64 { return 2.4 }},
}

// A version that was slow on a part of its requests was completed, since the times of an old version with
// busy engines vary more than the test permitted the new one's to.
func TestSlowVersionIsNotCompleted(t *testing.T) {
	for _, slow := range slowVersions {
		for _, perSecond := range []int{19, 90} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprint(slow.desc, ", ", perSecond, " requests a second, seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newRolloutReplay(t, seed, perSecond, func(int) float64 { return 0 })
						p.slowdown = slow.slowdown
						state, took := p.play(replayDuration + 10*time.Second)
						t.Logf("%s after %s", state, took)
						is.New(t).Equal(state, RolloutReverted)
					})
				})
			}
		}
	}
}

// The attempts that callers abandon were no evidence, so that a version without any answer was completed where
// requests are few.
func TestVersionWithoutAnswersIsNotCompleted(t *testing.T) {
	for _, perSecond := range []int{1, 3, 19} {
		t.Run(fmt.Sprint(perSecond, " requests a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newRolloutReplay(t, 0, perSecond, func(int) float64 { return 0 })
				p.slowdown, p.patience = func(*rand.Rand) float64 { return 1e6 }, 2*time.Second
				state, took := p.play(replayDuration + 10*time.Second)
				t.Logf("%s after %s", state, took)
				is.New(t).True(state != RolloutCompleted)
			})
		})
	}
}
