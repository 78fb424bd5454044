package quarantine

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests simulate a service in virtual time, seeded: hosts that report losses to a tracker
// with a delay, sound requests that are retried when they are interrupted, and upstreams that
// are terminated by a poison request or for other reasons.

// simulation is one run.
type simulation struct {
	rnd      *rand.Rand
	tracker  *Tracker
	now      time.Duration
	queue    eventQueue
	scenario scenario

	upstreams       []*simUpstream // by slot
	nextIncarnation Incarnation
	next            uint64

	// soundRequests counts the sound requests, falsePositives those of them that got a verdict.
	soundRequests, falsePositives int
	poison                        Digest
	// terminations holds when the poison request terminated upstreams, poisonSends when it was
	// sent.
	terminations, poisonSends []time.Duration
	foundAt                   time.Duration
}

// scenario describes the load and the faults.
type scenario struct {
	name string
	// poisonInterval is the mean time between arrivals of the poison request; 0 for none.
	poisonInterval time.Duration
	// killInterval is the time between kills of a fraction of all upstreams, which stay down for
	// downtime; 0 for none.
	killInterval, downtime time.Duration
	killedFraction         float64
	// popularFraction is the fraction of sound requests that share one body.
	popularFraction float64
}

type simUpstream struct {
	incarnation Incarnation
	running     map[uint64]*simRun
	up          bool
}

type simRun struct {
	id      uint64
	sends   int
	started time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	slots              = 18
	soundRate          = 150 // a second
	soundMeanDuration  = 900 * time.Millisecond
	maxSends           = 6 // three by a host, and three for the caller's retry
	crashDelay         = 80 * time.Millisecond
	restartDelay       = 3500 * time.Millisecond
	maxReportDelay     = 600 * time.Millisecond
	simulatedTime      = time.Minute
	popularID          = 2
	poisonID           = 1
	hosts              = 7
	evaluationInterval = 150 * time.Millisecond
	permittedDelay     = 3 * time.Second
)

func newSimulation(seed uint64, s scenario) *simulation {
	p := &simulation{rnd: rand.New(rand.NewPCG(seed, 7)), tracker: NewTracker(), scenario: s, next: 100, poison: digest(poisonID), foundAt: -1}
	for range slots {
		p.upstreams = append(p.upstreams, &simUpstream{})
	}
	for i := range p.upstreams {
		p.start(i)
	}
	p.after(0, p.arrive)
	p.after(evaluationInterval, p.evaluate)
	if s.poisonInterval > 0 {
		p.after(2*time.Second, p.arrivePoison)
	}
	if s.killInterval > 0 {
		p.after(s.killInterval, p.kill)
	}
	return p
}

func (p *simulation) after(d time.Duration, do func()) { heap.Push(&p.queue, event{p.now + d, do}) }

func (p *simulation) exp(mean time.Duration) time.Duration {
	return time.Duration(p.rnd.ExpFloat64() * float64(mean))
}

func (p *simulation) run() {
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at > simulatedTime {
			return
		}
		p.now = e.at
		e.do()
	}
}

func (p *simulation) start(slot int) {
	p.nextIncarnation++
	p.upstreams[slot] = &simUpstream{incarnation: p.nextIncarnation, running: make(map[uint64]*simRun), up: true}
}

func (p *simulation) arrive() {
	p.after(p.exp(time.Second/soundRate), p.arrive)
	p.soundRequests++
	p.next++
	id := p.next << 8
	if p.rnd.Float64() < p.scenario.popularFraction {
		id = popularID
	}
	p.send(&simRun{id: id})
}

// send sends a sound request to a random upstream, if that is up.
func (p *simulation) send(r *simRun) {
	r.sends++
	u := p.upstreams[p.rnd.IntN(slots)]
	if !u.up || r.sends > maxSends {
		return
	}
	r.started = p.now
	p.next++
	key := p.next
	u.running[key] = r
	p.after(p.exp(soundMeanDuration), func() {
		if u.running[key] == r {
			delete(u.running, key)
			id := digest(r.id)
			p.after(p.reportDelay(), func() { p.tracker.RecordSurvival(id, p.now) })
		}
	})
}

// reportDelay returns the time until the tracker receives a host's observation.
func (p *simulation) reportDelay() time.Duration {
	return time.Duration(p.rnd.Int64N(int64(maxReportDelay)))
}

func (p *simulation) arrivePoison() {
	p.after(p.exp(p.scenario.poisonInterval), p.arrivePoison)
	p.sendPoison(1)
}

func (p *simulation) sendPoison(sends int) {
	if p.foundAt >= 0 && p.now > p.foundAt+maxReportDelay {
		return
	}
	slot := p.rnd.IntN(slots)
	u := p.upstreams[slot]
	if !u.up {
		return
	}
	p.poisonSends = append(p.poisonSends, p.now)
	p.next++
	u.running[p.next] = &simRun{id: poisonID, started: p.now}
	p.after(crashDelay, func() {
		if !u.up {
			return
		}
		p.terminations = append(p.terminations, p.now)
		p.terminate(slot, restartDelay)
		if sends < 3 {
			p.after(5*time.Millisecond, func() { p.sendPoison(sends + 1) })
		}
	})
}

// terminate terminates an upstream with all requests that it runs.
func (p *simulation) terminate(slot int, downtime time.Duration) {
	u := p.upstreams[slot]
	if !u.up {
		return
	}
	u.up = false
	terminatedAt := p.now
	reportDelays := make([]time.Duration, hosts)
	for i := range reportDelays {
		reportDelays[i] = p.reportDelay()
	}
	for _, key := range slices.Sorted(maps.Keys(u.running)) { // in an order that depends on the seed only
		r := u.running[key]
		loss := Loss{Digest: digest(r.id), Incarnation: u.incarnation, At: terminatedAt, Ran: terminatedAt - r.started}
		p.after(reportDelays[key%hosts], func() { p.tracker.RecordLoss(loss) })
		if r.id != poisonID {
			p.after(5*time.Millisecond, func() { p.send(r) })
		}
	}
	u.running = nil
	p.after(downtime, func() { p.start(slot) })
}

func (p *simulation) kill() {
	p.after(p.scenario.killInterval, p.kill)
	for i := range p.upstreams {
		if p.rnd.Float64() < p.scenario.killedFraction {
			p.terminate(i, p.scenario.downtime)
		}
	}
}

func (p *simulation) evaluate() {
	p.after(evaluationInterval, p.evaluate)
	for _, f := range p.tracker.FindPoisonRequests(p.now) {
		if f.Digest == p.poison {
			p.foundAt = p.now
		} else {
			p.falsePositives++
		}
	}
}

// lateSends returns how often the poison request was sent later than permitted.
func (p *simulation) lateSends() int {
	if len(p.terminations) < 3 {
		return 0
	}
	n := 0
	for _, at := range p.poisonSends {
		if at > p.terminations[2]+permittedDelay {
			n++
		}
	}
	return n
}

// In each scenario, over all seeds, hardly any sound request gets a verdict and the poison
// request is found in time.
func TestFalsePositiveRate(t *testing.T) {
	const seeds = 40
	scenarios := []scenario{
		{name: "often", poisonInterval: 250 * time.Millisecond},
		{name: "at times", poisonInterval: 4 * time.Second},
		{name: "rarely", poisonInterval: 12 * time.Second},
		{name: "often, and a popular body", poisonInterval: 250 * time.Millisecond, popularFraction: 0.2},
		{name: "a third is killed", killInterval: 5 * time.Second, downtime: 3 * time.Second, killedFraction: 0.33, popularFraction: 0.2},
		{name: "a seventh goes down by turns", killInterval: time.Second, downtime: 700 * time.Millisecond, killedFraction: 0.15, popularFraction: 0.05},
		{name: "a third goes down by turns", killInterval: time.Second, downtime: 500 * time.Millisecond, killedFraction: 0.33, popularFraction: 0.05},
		{name: "often, and a seventh by turns", poisonInterval: 250 * time.Millisecond, killInterval: time.Second, downtime: 700 * time.Millisecond, killedFraction: 0.15},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			soundRequests, falsePositives, lateSends, terminations, slowest := 0, 0, 0, 0, time.Duration(0)
			for seed := range uint64(seeds) {
				p := newSimulation(seed, s)
				p.run()
				soundRequests += p.soundRequests
				falsePositives += p.falsePositives
				lateSends = max(lateSends, p.lateSends())
				terminations = max(terminations, len(p.terminations))
				if len(p.terminations) >= 3 && p.foundAt >= 0 {
					slowest = max(slowest, p.foundAt-p.terminations[2])
				}
				is.True(p.foundAt >= 0 || len(p.terminations) < minEventsAnyShare+1) // it is found if it keeps arriving
			}
			t.Logf("%d sound requests, %d of them with a verdict; at most %d terminations, found %v after the third, %d sends later than permitted",
				soundRequests, falsePositives, terminations, slowest, lateSends)
			is.True(lateSends <= 3)
			is.True(falsePositives*100_000 <= soundRequests)
		})
	}
}
