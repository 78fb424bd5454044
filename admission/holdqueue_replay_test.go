package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayKind is a kind of requests, with the number that arrives in a second at the usual load, which
// takes about 0.6 of the engines' time.
type replayKind struct {
	name               string
	priority           int
	work, target, wait time.Duration
	perSecond          float64
}

var replayKinds = []replayKind{
	{"long", 1, 350 * time.Millisecond, 2 * time.Second, 8 * time.Second, 10},
	{"short", 0, 90 * time.Millisecond, 2 * time.Second, 5 * time.Second, 40},
	{"stream", 2, 40 * time.Millisecond, 1500 * time.Millisecond, 20 * time.Second, 30},
}

type replayRequest struct {
	Item
	kind, host, engine int
	// error is the factor by which waits expected for this request err.
	error             float64
	offeredAt, sentAt time.Time
	left              time.Duration
	returned          bool
}

type replayCounts struct{ arrived, inTime, late, lost, rejected int }

// replay plays 9 hosts before engines that prefill one prompt at a time, the most urgent first, in
// steps of a millisecond. A host's view of an engine's queue is 150 to 450 ms old, apart from its own
// requests since then, and expected waits err by up to a factor of two. Rejected callers return once.
type replay struct {
	random    *rand.Rand
	arrivals  *rand.Rand
	now       time.Time
	queues    []*HoldQueue // nil without queues
	requests  map[*Item]*replayRequest
	sent      [9][]*replayRequest
	engines   [][]*replayRequest
	views     [][][3]time.Duration // by time in milliseconds and engine, the queued work of each priority
	returning []*replayRequest
	counts    []replayCounts
	// longestHold is the longest time for which a request was kept, less the permitted one. rejectedIdle
	// counts rejections while an engine was idle.
	longestHold  time.Duration
	rejectedIdle int
}

func newReplay(engines int, hold bool) *replay {
	p := &replay{random: rand.New(rand.NewPCG(1, 2)), arrivals: rand.New(rand.NewPCG(3, 4)), requests: map[*Item]*replayRequest{}, engines: make([][]*replayRequest, engines), counts: make([]replayCounts, len(replayKinds))}
	for range p.sent {
		if hold {
			p.queues = append(p.queues, NewHoldQueue(1<<20))
		}
	}
	return p
}

func (p *replay) estimate(it *Item) Estimate {
	r := p.requests[it]
	age := 150 + (len(p.views)+33*r.host)%300
	ahead := make([]time.Duration, len(p.engines))
	for i := range ahead {
		if at := len(p.views) - 1 - age; at >= 0 {
			for _, work := range p.views[at][i][:it.Priority+1] {
				ahead[i] += work
			}
			ahead[i] = max(0, ahead[i]-time.Duration(age)*time.Millisecond)
		}
	}
	for _, other := range slices.Backward(p.sent[r.host]) {
		if p.now.Sub(other.sentAt) >= time.Duration(age)*time.Millisecond {
			break
		}
		if other.Priority <= it.Priority {
			ahead[other.engine] += other.Work
		}
	}
	r.engine = p.random.IntN(len(ahead))
	for i := range ahead {
		if ahead[i] < ahead[r.engine] {
			r.engine = i
		}
	}
	wait := time.Duration(r.error * float64(ahead[r.engine]))
	return Estimate{FirstEvent: wait + it.Work, Wait: wait}
}

func (p *replay) offer(r *replayRequest) {
	r.host, r.offeredAt = p.random.IntN(len(p.sent)), p.now
	r.error = []float64{0.5, 0.7, 1, 1.4, 2}[p.random.IntN(5)]
	p.requests[&r.Item] = r
	e := p.estimate(&r.Item)
	if p.queues == nil {
		p.apply(Decision{Item: &r.Item, Verdict: Send})
		return
	}
	for _, d := range p.queues[r.host].Offer(&r.Item, e, p.now) {
		p.apply(d)
	}
}

func (p *replay) apply(d Decision) {
	r := p.requests[d.Item]
	if d.Verdict == Keep {
		return
	}
	p.longestHold = max(p.longestHold, p.now.Sub(r.offeredAt)-r.Target/maxHoldDivisor)
	if d.Verdict == Send {
		p.estimate(d.Item)
		r.sentAt = p.now
		p.engines[r.engine] = append(p.engines[r.engine], r)
		p.sent[r.host] = append(p.sent[r.host], r)
		if p.queues != nil {
			p.queues[r.host].Started(d.Item)
		}
		return
	}
	if slices.ContainsFunc(p.engines, func(queue []*replayRequest) bool { return len(queue) == 0 }) {
		p.rejectedIdle++
	}
	if r.returned {
		p.counts[r.kind].rejected++
		return
	}
	again := &replayRequest{Item: r.Item, kind: r.kind, left: r.Work, returned: true}
	again.Arrived = p.now.Add(SpreadRetryAfter(d.RetryAfter, r.Deadline.Sub(p.now), p.random.Float64()))
	p.returning = append(p.returning, again)
}

// run plays a load for the duration and then until no request is left. load returns the factor of the
// usual load of a kind.
func (p *replay) run(duration time.Duration, load func(kind string, at time.Duration) float64) []replayCounts {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < duration+40*time.Second; at += time.Millisecond {
		p.now = start.Add(at)
		for i, k := range replayKinds {
			expected := 0.0
			if at < duration {
				expected = k.perSecond / 1000 * load(k.name, at)
			}
			for ; p.arrivals.Float64() < expected; expected-- {
				p.counts[i].arrived++
				p.offer(&replayRequest{kind: i, left: k.work, Item: Item{Priority: k.priority, Work: k.work, Target: k.target, Arrived: p.now, Deadline: p.now.Add(k.wait)}})
			}
		}
		for _, r := range slices.Clone(p.returning) {
			if !r.Arrived.After(p.now) {
				p.returning = slices.DeleteFunc(p.returning, func(other *replayRequest) bool { return other == r })
				p.offer(r)
			}
		}
		for _, q := range p.queues {
			for decisions := q.Advance(p.now, p.estimate); len(decisions) > 0; decisions = q.Advance(p.now, p.estimate) {
				for _, d := range decisions {
					p.apply(d)
				}
			}
		}
		p.work()
	}
	return p.counts
}

// work lets the engines work for a millisecond and records their queues.
func (p *replay) work() {
	view := make([][3]time.Duration, len(p.engines))
	for i, queue := range p.engines {
		if len(queue) > 0 {
			r := queue[0]
			if r.left -= time.Millisecond; r.left <= 0 {
				switch c := &p.counts[r.kind]; {
				case p.now.After(r.Deadline):
					c.lost++
				case p.now.Sub(r.Arrived) > r.Target:
					c.late++
				default:
					c.inTime++
				}
				queue = slices.Delete(queue, 0, 1)
				slices.SortStableFunc(queue, func(a, b *replayRequest) int { return a.Priority - b.Priority })
				p.engines[i] = queue
			}
		}
		for _, r := range queue {
			view[i][r.Priority] += r.left
		}
	}
	p.views = append(p.views, view)
}

// checkReplay plays the load with and without queues. With them, each request must end, none may be
// kept for longer than permitted or rejected while an engine is idle, and no fewer may be served in
// time or at all, apart from 2 in 100 by chance. The result is the number of requests that begin after
// their deadlines, for which engines work in vain, without and with queues.
func checkReplay(t *testing.T, engines int, load func(kind string, at time.Duration) float64) (lostBefore, lostAfter int) {
	is := is.New(t)
	without, with := newReplay(engines, false), newReplay(engines, true)
	before, after := without.run(20*time.Second, load), with.run(20*time.Second, load)
	inTime, served := 0, 0
	for i, k := range replayKinds {
		t.Logf("%s: without %+v, with %+v", k.name, before[i], after[i])
		is.Equal(after[i].arrived, after[i].inTime+after[i].late+after[i].lost+after[i].rejected)
		inTime += 100*after[i].inTime - 98*before[i].inTime
		served += 100*(after[i].inTime+after[i].late) - 98*(before[i].inTime+before[i].late)
		lostBefore, lostAfter = lostBefore+before[i].lost, lostAfter+after[i].lost
	}
	is.True(inTime >= 0)
	is.True(served >= 0)
	is.True(with.longestHold <= estimateInterval)
	is.Equal(with.rejectedIdle, 0)
	return lostBefore, lostAfter
}

// Load: the usual one, and 8 times the long prompts from the 5th to the 12th second.
func TestReplayBurstOfLongPromptsOverShortOnes(t *testing.T) {
	lostBefore, lostAfter := checkReplay(t, 14, func(kind string, at time.Duration) float64 {
		if kind == "long" && at > 5*time.Second && at < 12*time.Second {
			return 8
		}
		return 1
	})
	is.New(t).True(lostAfter < lostBefore)
}

// Load: 1.7 times the usual one, with half of the engines.
func TestReplayServiceAtHalfItsEngines(t *testing.T) {
	lostBefore, lostAfter := checkReplay(t, 7, func(string, time.Duration) float64 { return 1.7 })
	is.New(t).True(lostAfter < lostBefore)
}

// Load: the requests of 12 s at the usual load within 200 ms, and the usual load after that.
func TestReplayManyRequestsReturnAtOnce(t *testing.T) {
	checkReplay(t, 14, func(_ string, at time.Duration) float64 {
		if at < 200*time.Millisecond {
			return 60
		}
		return 1
	})
}
