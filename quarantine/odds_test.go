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

// These tests play a service in virtual time, by seeds: hosts that tell a tracker late what
// they lost, sound requests that are sent again when they are broken off, and upstreams
// that end by a request or by themselves.

// play is one run.
type play struct {
	rnd     *rand.Rand
	tracker *Tracker
	now     time.Duration
	queue   eventQueue
	scene   scene

	upstreams       []*playUpstream // by place
	nextIncarnation Incarnation
	next            uint64

	// sound is how many sound requests came, judged how many of them were found to
	// blame, wrongly.
	sound, judged int
	fatal         Digest
	// ends is when upstreams ended by the fatal request, sends when it was sent.
	ends, sends []time.Duration
	foundAt     time.Duration
}

// scene is what happens.
type scene struct {
	name string
	// fatalEvery is the mean time between the fatal request's arrivals; 0 for none.
	fatalEvery time.Duration
	// killEvery is the time between kills of a part of all upstreams for killedFor; 0 for
	// none.
	killEvery, killedFor time.Duration
	killedPart           float64
	// popular is the part of sound requests that share one body.
	popular float64
}

type playUpstream struct {
	incarnation Incarnation
	running     map[uint64]*playRun
	up          bool
}

type playRun struct {
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
	places       = 18
	soundRate    = 150 // a second
	soundMean    = 900 * time.Millisecond
	mostSends    = 6 // three by a host, and three for the caller's repeat
	fatalAfter   = 80 * time.Millisecond
	startsAgain  = 3500 * time.Millisecond
	tellsWithin  = 600 * time.Millisecond
	playTime     = time.Minute
	popularID    = 2
	fatalID      = 1
	hostsInPlay  = 7
	judgeInPlay  = 150 * time.Millisecond
	toldEveryone = 3 * time.Second
)

func newPlay(seed uint64, s scene) *play {
	p := &play{rnd: rand.New(rand.NewPCG(seed, 7)), tracker: NewTracker(), scene: s, next: 100, fatal: digest(fatalID), foundAt: -1}
	for range places {
		p.upstreams = append(p.upstreams, &playUpstream{})
	}
	for i := range p.upstreams {
		p.start(i)
	}
	p.after(0, p.arrive)
	p.after(judgeInPlay, p.judge)
	if s.fatalEvery > 0 {
		p.after(2*time.Second, p.arriveFatal)
	}
	if s.killEvery > 0 {
		p.after(s.killEvery, p.kill)
	}
	return p
}

func (p *play) after(d time.Duration, do func()) { heap.Push(&p.queue, event{p.now + d, do}) }

func (p *play) exp(mean time.Duration) time.Duration {
	return time.Duration(p.rnd.ExpFloat64() * float64(mean))
}

func (p *play) run() {
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at > playTime {
			return
		}
		p.now = e.at
		e.do()
	}
}

func (p *play) start(place int) {
	p.nextIncarnation++
	p.upstreams[place] = &playUpstream{incarnation: p.nextIncarnation, running: make(map[uint64]*playRun), up: true}
}

func (p *play) arrive() {
	p.after(p.exp(time.Second/soundRate), p.arrive)
	p.sound++
	p.next++
	id := p.next << 8
	if p.rnd.Float64() < p.scene.popular {
		id = popularID
	}
	p.send(&playRun{id: id})
}

// send sends a sound request to an upstream that is up.
func (p *play) send(r *playRun) {
	r.sends++
	l := p.upstreams[p.rnd.IntN(places)]
	if !l.up || r.sends > mostSends {
		return
	}
	r.started = p.now
	p.next++
	key := p.next
	l.running[key] = r
	p.after(p.exp(soundMean), func() {
		if l.running[key] == r {
			delete(l.running, key)
			id := digest(r.id)
			p.after(p.delay(), func() { p.tracker.Survive(id, p.now) })
		}
	})
}

// delay is the time until the tracker hears what a host saw.
func (p *play) delay() time.Duration { return time.Duration(p.rnd.Int64N(int64(tellsWithin))) }

func (p *play) arriveFatal() {
	p.after(p.exp(p.scene.fatalEvery), p.arriveFatal)
	p.sendFatal(1)
}

func (p *play) sendFatal(sends int) {
	if p.foundAt >= 0 && p.now > p.foundAt+tellsWithin {
		return
	}
	place := p.rnd.IntN(places)
	l := p.upstreams[place]
	if !l.up {
		return
	}
	p.sends = append(p.sends, p.now)
	p.next++
	l.running[p.next] = &playRun{id: fatalID, started: p.now}
	p.after(fatalAfter, func() {
		if !l.up {
			return
		}
		p.ends = append(p.ends, p.now)
		p.end(place, startsAgain)
		if sends < 3 {
			p.after(5*time.Millisecond, func() { p.sendFatal(sends + 1) })
		}
	})
}

// end ends an upstream with all that it runs.
func (p *play) end(place int, back time.Duration) {
	l := p.upstreams[place]
	if !l.up {
		return
	}
	l.up = false
	at := p.now
	late := make([]time.Duration, hostsInPlay)
	for i := range late {
		late[i] = p.delay()
	}
	for _, key := range slices.Sorted(maps.Keys(l.running)) { // in an order that the seed decides
		r := l.running[key]
		loss := Loss{Digest: digest(r.id), Incarnation: l.incarnation, At: at, Ran: at - r.started}
		p.after(late[key%hostsInPlay], func() { p.tracker.Lose(loss) })
		if r.id != fatalID {
			p.after(5*time.Millisecond, func() { p.send(r) })
		}
	}
	l.running = nil
	p.after(back, func() { p.start(place) })
}

func (p *play) kill() {
	p.after(p.scene.killEvery, p.kill)
	for i := range p.upstreams {
		if p.rnd.Float64() < p.scene.killedPart {
			p.end(i, p.scene.killedFor)
		}
	}
}

func (p *play) judge() {
	p.after(judgeInPlay, p.judge)
	for _, f := range p.tracker.Judge(p.now) {
		if f.Digest == p.fatal {
			p.foundAt = p.now
		} else {
			p.judged++
		}
	}
}

// late is how often the fatal request was sent later than permitted.
func (p *play) late() int {
	if len(p.ends) < 3 {
		return 0
	}
	n := 0
	for _, at := range p.sends {
		if at > p.ends[2]+toldEveryone {
			n++
		}
	}
	return n
}

// How often a sound request is judged for another's fault, and whether the fatal one is
// found in time: on all seeds of each scene.
func TestOdds(t *testing.T) {
	const seeds = 40
	scenes := []scene{
		{name: "often", fatalEvery: 250 * time.Millisecond},
		{name: "at times", fatalEvery: 4 * time.Second},
		{name: "rarely", fatalEvery: 12 * time.Second},
		{name: "often, and a popular body", fatalEvery: 250 * time.Millisecond, popular: 0.2},
		{name: "a third is killed", killEvery: 5 * time.Second, killedFor: 3 * time.Second, killedPart: 0.33, popular: 0.2},
		{name: "a seventh goes down by turns", killEvery: time.Second, killedFor: 700 * time.Millisecond, killedPart: 0.15, popular: 0.05},
		{name: "a third goes down by turns", killEvery: time.Second, killedFor: 500 * time.Millisecond, killedPart: 0.33, popular: 0.05},
		{name: "often, and a seventh by turns", fatalEvery: 250 * time.Millisecond, killEvery: time.Second, killedFor: 700 * time.Millisecond, killedPart: 0.15},
	}
	for _, s := range scenes {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			sound, judged, late, ends, worst := 0, 0, 0, 0, time.Duration(0)
			for seed := range uint64(seeds) {
				p := newPlay(seed, s)
				p.run()
				sound += p.sound
				judged += p.judged
				late = max(late, p.late())
				ends = max(ends, len(p.ends))
				if len(p.ends) >= 3 && p.foundAt >= 0 {
					worst = max(worst, p.foundAt-p.ends[2])
				}
				is.True(p.foundAt >= 0 || len(p.ends) < sureEvents+1) // it is found if it goes on
			}
			t.Logf("%d sound requests, %d of them judged; at most %d ends, found %v after the third, %d sends later than permitted",
				sound, judged, ends, worst, late)
			is.True(late <= 3)
			is.True(judged*100_000 <= sound)
		})
	}
}
