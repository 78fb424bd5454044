package gateway

import (
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	"github.com/quetzalweir/quetzalweir/routing"
)

// loadReplay plays a roll-out of a service whose answers are streams of seconds, and the time after its
// completion, with the product's own decisions: hosts choose upstreams by the data that they have on their load.
type loadReplay struct {
	*rolloutReplay
	loadCase
	// running holds the requests in progress by upstream.
	running map[string]int
	// sent, sentNew and completedAt are as of the end of the roll-out's duration. failed are the times of the new
	// version's failed answers since the order. served and refused count requests that ended since lateFrom.
	sent, sentNew   int
	failed          []time.Duration
	served, refused int
	completedAt     time.Duration
}

// loadCase is a service and its traffic.
type loadCase struct {
	name string
	// upstreams is the number of upstreams of each version, runTime the mean time of a run. The new version fails half of
	// the requests that reach an upstream with failsFrom requests or more; 0 if it is sound.
	upstreams, failsFrom int
	runTime              time.Duration
	// perSecond is the rate of requests, which is burst times as high from burstAt to the end.
	perSecond int
	burst     float64
	burstAt   time.Duration
	// end is when the play ends.
	end time.Duration
}

const (
	loadSlots = 64
	loadZones = 3
	// loadReplayEnd is when a play ends, lateFrom when a limit has to be in force: some time after the latest burst.
	loadReplayEnd = 44 * time.Second
	lateFrom      = 30 * time.Second
	// maxBadAnswers is the number of bad answers after which a version may get no requests any more.
	maxBadAnswers = 50
)

// loadReplaySeeds returns the number of seeds with which each case is played. The race detector can crash in its own code when
// timers of a bubble lapse on two threads, the more often the more bubbles there are.
func loadReplaySeeds() uint64 {
	if raceEnabled {
		return 1
	}
	return 3
}

func newLoadReplay(t *testing.T, seed uint64, c loadCase) *loadReplay {
	p := &loadReplay{loadCase: c, running: make(map[string]int)}
	p.rolloutReplay = newRolloutReplay(t, seed, c.perSecond, nil)
	return p
}

// play plays the roll-out and the time after it.
func (p *loadReplay) play() {
	for i, g := range p.hosts {
		g.settings.CanaryShare, g.settings.CanaryHeadroom = 0.15, 30
		g.rollouts.requestRamp, g.rollouts.sessionRamp = newRamp(0.15, 0), newRamp(0.15, sessionsFrom)
		g.fleet.policy.singleHost = false
		g.fleet.policy.census.set(len(p.hosts))
		g.settings.Zone = fmt.Sprint("z", i%loadZones)
		for _, id := range []string{"old", "new"} {
			g.fleet.RemoveEntry(id, 2, false)
		}
		for i := range p.upstreams {
			p.list(g, fmt.Sprint("old-", i), "v1")
			p.list(g, fmt.Sprint("new-", i), "v2")
		}
	}
	time.Sleep(time.Second)
	p.began = time.Now()
	p.queue = simulate.New()
	p.order("v2", replayDuration)
	ordered := time.Now()
	nextExchange := ordered
	for i := 0; time.Since(ordered) < p.end; i++ {
		rate := float64(p.loadCase.perSecond)
		if time.Since(ordered) >= p.burstAt {
			rate *= p.burst
		}
		p.advance(time.Duration(float64(time.Second) / rate))
		if time.Now().After(nextExchange) {
			nextExchange = time.Now().Add(exchange.Interval)
			p.exchangeEvidence()
			p.exchangeWork()
		}
		if state, _ := p.state(); state == RolloutCompleted && p.completedAt == 0 {
			p.completedAt = time.Since(ordered)
			for _, g := range p.hosts {
				for i := range p.upstreams {
					g.fleet.RemoveEntry(fmt.Sprint("old-", i), 2, false)
				}
			}
		}
		p.request(i, ordered)
	}
}

func (p *loadReplay) list(g *Gateway, id, version string) {
	zone := fmt.Sprint("z", len(g.fleet.shard("svc").members)/2%loadZones)
	g.fleet.ApplyEntry(Upstream{ID: id, Service: "svc", Version: version, Zone: zone, Address: "127.0.0.1:" + fmt.Sprint(1000+len(g.fleet.shard("svc").members)), Slots: loadSlots}, 1)
}

// exchangeWork passes to each host the others' requests in flight, after the time of an exchange.
func (p *loadReplay) exchangeWork() {
	reported := make([]exchange.Work, len(p.hosts))
	for i, g := range p.hosts {
		reported[i] = g.fleet.workInFlight()
	}
	at := time.Now()
	p.after(exchange.Interval, func() {
		for i, g := range p.hosts {
			others := make(exchange.Work)
			for k, work := range reported {
				for id, w := range work {
					if k != i {
						others[id] += w
					}
				}
			}
			g.fleet.setRemoteWork(others, at)
		}
	})
}

// request sends a request to a host, which makes up to three attempts.
func (p *loadReplay) request(i int, ordered time.Time) {
	g := p.hosts[p.rand.IntN(len(p.hosts))]
	r := &Request{ID: fmt.Sprint("r", i), Service: "svc", Route: &routing.Route{Name: "route"}}
	p.attempt(g, r, ordered, 1)
}

func (p *loadReplay) attempt(g *Gateway, r *Request, ordered time.Time, n int) {
	c, ok := g.fleet.choose(criteria{service: "svc", zone: g.settings.Zone, admitsVersion: g.rollouts.versionFilter(r)})
	if !ok {
		if time.Since(ordered) >= lateFrom {
			p.refused++
		}
		return
	}
	id, isNew := c.upstream.ID, c.upstream.Version == "v2"
	if time.Since(ordered) < replayDuration {
		p.sent++
		if isNew {
			p.sentNew++
		}
	}
	fails := isNew && p.failsFrom > 0 && p.running[id] >= p.failsFrom && p.rand.IntN(2) == 0
	p.running[id]++
	g.rollouts.observeStart(r, &c)
	end := func(result attemptResult, headCounted bool) {
		p.running[id]--
		g.fleet.release(c, result)
		g.rollouts.observeResult(r, &c, result, headCounted)
	}
	if fails {
		p.after(10*time.Millisecond, func() {
			end(attemptResult{outcome: outcomeFailed}, false)
			p.failed = append(p.failed, time.Since(ordered))
			if n < 3 {
				p.attempt(g, r, ordered, n+1)
			}
		})
		return
	}
	p.after(replayAnswer, func() {
		g.rollouts.observeHead(r, &c, replayAnswer)
		g.rollouts.observeFirstEvent(r, &c, replayAnswer)
	})
	p.after(replayAnswer+time.Duration(p.rand.ExpFloat64()*float64(p.runTime)), func() {
		end(attemptResult{outcome: outcomeDone, firstByte: replayAnswer}, true)
		if time.Since(ordered) >= lateFrom {
			p.served++
		}
	})
}

// permitted returns the number of requests that the new version was permitted within the roll-out's duration.
func (p *loadReplay) permitted() int { return int(0.15*float64(p.sent)) + 30 }

// playBursts plays roll-outs of a sound version in which the traffic rises before or while the version has the full load.
func playBursts(t *testing.T, check func(t *testing.T, p *loadReplay)) {
	for _, perSecond := range []int{19, 60, 180} {
		for _, burstAt := range []time.Duration{10 * time.Second, 14 * time.Second, 14800 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d_a_second_burst_at_%v", perSecond, burstAt), func(t *testing.T) {
				for seed := range loadReplaySeeds() {
					synctest.Test(t, func(t *testing.T) {
						p := newLoadReplay(t, seed, loadCase{upstreams: 9, runTime: 3 * time.Second, perSecond: perSecond, burst: 2.5, burstAt: burstAt, end: replayDuration + 4*time.Second})
						p.play()
						t.Logf("seed %d: %d of %d requests, %d are permitted; completed after %v", seed, p.sentNew, p.sent, p.permitted(), p.completedAt)
						check(t, p)
					})
				}
			})
		}
	}
}

// A new version got more requests than permitted where the traffic rose while it had the full load.
func TestBurstDuringARolloutDoesNotExceedTheShare(t *testing.T) {
	playBursts(t, func(t *testing.T, p *loadReplay) { is.New(t).True(p.sentNew <= p.permitted()) })
}

// What bounds the share of a new version in a burst must not delay the completion of a sound one.
func TestSoundVersionBesideABurstIsCompletedInTime(t *testing.T) {
	playBursts(t, func(t *testing.T, p *loadReplay) {
		is.New(t).True(p.completedAt > 0 && p.completedAt <= replayDuration)
	})
}

// loadLimitCases are ways in which a version meets a load after its completion above which it fails.
var loadLimitCases = []loadCase{
	{name: "burst_after_the_completion", upstreams: 9, failsFrom: 32, runTime: 3 * time.Second, perSecond: 40, burst: 3, burstAt: 19 * time.Second, end: loadReplayEnd},
	{name: "burst_during_the_roll-out", upstreams: 9, failsFrom: 32, runTime: 3 * time.Second, perSecond: 40, burst: 3, burstAt: 14 * time.Second, end: loadReplayEnd},
	{name: "load_that_builds_up", upstreams: 6, failsFrom: 32, runTime: 6 * time.Second, perSecond: 40, burst: 1, end: loadReplayEnd},
}

func playLoadLimits(t *testing.T, check func(t *testing.T, p *loadReplay)) {
	for _, c := range loadLimitCases {
		for seed := range loadReplaySeeds() {
			t.Run(fmt.Sprintf("%s_seed_%d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newLoadReplay(t, seed, c)
					p.play()
					t.Logf("%d failed, %d of them late; late: served %d, refused %d", len(p.failed), p.failedLate(), p.served, p.refused)
					check(t, p)
				})
			})
		}
	}
}

// failedLate returns the number of failed answers since lateFrom.
func (p *loadReplay) failedLate() int {
	return len(p.failed) - sort.Search(len(p.failed), func(i int) bool { return p.failed[i] >= lateFrom })
}

// A version that fails requests above some load was completed at a lower load. When the traffic rose, hosts went on sending
// it all requests.
func TestCompletedVersionIsLimitedToTheLoadThatItBears(t *testing.T) {
	playLoadLimits(t, func(t *testing.T, p *loadReplay) { is.New(t).True(20*p.failedLate() <= p.served) })
}

// Before the limit is in force, a completed version that fails above a load must not give as many bad answers as end its use,
// and with it, the version is used up to the load at which its answers fail.
func TestCompletedVersionIsNotSentMoreThanItBears(t *testing.T) {
	playLoadLimits(t, func(t *testing.T, p *loadReplay) {
		is := is.New(t)
		borne := float64(p.upstreams*p.failsFrom) / p.runTime.Seconds() * (loadReplayEnd - lateFrom).Seconds()
		is.True(len(p.failed) < maxBadAnswers)
		is.True(float64(p.served) >= 0.6*min(borne, float64(p.served+p.refused)))
	})
}

// Requests to a sound version aren't limited, whatever the load.
func TestSoundCompletedVersionIsNotLimited(t *testing.T) {
	for seed := range loadReplaySeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newLoadReplay(t, seed, loadCase{upstreams: 9, runTime: 3 * time.Second, perSecond: 40, burst: 3, burstAt: 19 * time.Second, end: loadReplayEnd})
				p.play()
				is.Equal(p.refused, 0)
			})
		})
	}
}
