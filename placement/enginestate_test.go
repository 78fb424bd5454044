package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stateRequest is a request in the replays of this file, in milliseconds of work at the mean engine.
type stateRequest struct {
	kind            *requestKind
	arrived         int
	host            int
	prefill, decode float64
}

// requestKind is a kind of requests of which the given number arrives per second.
type requestKind struct {
	tokens, decode, priority, target int
	perSecond                        float64
	done, late, preempted            int
	totalTook                        int
}

// stateEngine is an engine that processes as many requests as it has slots. It prefills one prompt
// at a time, and preempts the least urgent request for a more urgent one.
type stateEngine struct {
	speed            float64 // the duration of work, as a multiple of that at the mean engine
	slots            int
	running, waiting []*stateRequest
	slowdown         Slowdown
	received         int
	// history holds the load at the last steps, the newest last.
	history []engineSnapshot
}

// engineSnapshot is the load of an engine that hosts receive: prefill work and requests.
type engineSnapshot struct {
	work     float64
	requests int
}

const stepMs = 5

func (e *stateEngine) step(now int) {
	byPriority := func(a, b *stateRequest) int {
		return cmp.Or(a.kind.priority-b.kind.priority, a.arrived-b.arrived)
	}
	slices.SortStableFunc(e.waiting, byPriority)
	slices.SortStableFunc(e.running, byPriority)
	for len(e.waiting) > 0 {
		if n := len(e.running); n == e.slots {
			last := e.running[n-1]
			if last.kind.priority <= e.waiting[0].kind.priority {
				break
			}
			last.kind.preempted++
			e.running, e.waiting = e.running[:n-1], append(e.waiting, last)
		}
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	slices.SortStableFunc(e.running, byPriority)
	left := stepMs / e.speed
	for _, r := range e.running {
		if r.prefill > 0 {
			used := min(left, r.prefill)
			r.prefill, left = r.prefill-used, left-used
			if r.prefill == 0 && now-r.arrived > r.kind.target {
				r.kind.late++
			}
		} else {
			r.decode -= stepMs / e.speed
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *stateRequest) bool {
		ended := r.prefill == 0 && r.decode <= 0
		if ended {
			r.kind.done++
			r.kind.totalTook += now - r.arrived
		}
		return ended
	})
	s := engineSnapshot{requests: len(e.running) + len(e.waiting)}
	for _, r := range slices.Concat(e.running, e.waiting) {
		s.work += r.prefill
	}
	e.history = append(e.history, s)
}

// stateReplay replays requests of several kinds that arrive at hosts with old views of the engines.
type stateReplay struct {
	engines []*stateEngine
	kinds   []*requestKind
	hosts   int
	// draws is the number of engines that each decision considers.
	draws int
	// byState is set if the hosts use the engines' states.
	byState bool
	// busiest is the mean, over the time, of the requests at the busiest engine divided by those at
	// the mean engine.
	busiest float64
	// full is the number of requests sent to a full engine while a considered one had a free slot.
	full int
}

// run replays the given time in virtual time. An engine's load as a host sees it was current 150 to
// 450 ms ago, except for the host's own requests since then.
func (f *stateReplay) run(seconds int) {
	arrivals, rng := rand.New(rand.NewPCG(5, 8)), rand.New(rand.NewPCG(3, 7))
	estimator, holdTime := NewPrefillEstimator(), time.Second
	observeRepeatedly(estimator, "m", 10_000, overhead+10_000*tokenTime)
	rate, meanPrefill := 0.0, 0.0
	for _, k := range f.kinds {
		rate += k.perSecond / float64(len(f.engines))
		meanPrefill += k.perSecond * (20 + float64(k.tokens)/10)
	}
	meanPrefill /= rate * float64(len(f.engines))
	type sent struct{ at, engine int }
	recent := make([][]sent, f.hosts)
	for now := 0; now < 1000*seconds; now += stepMs {
		for _, kind := range f.kinds {
			for range drawPoisson(kind.perSecond*stepMs/1000, arrivals.Float64) {
				host := arrivals.IntN(f.hosts)
				age := 150 + 150*((host+now/stepMs)%3)
				recent[host] = slices.DeleteFunc(recent[host], func(s sent) bool { return s.at < now-age })
				list, picked := make([]Candidate, 0, f.draws), rng.Perm(len(f.engines))[:f.draws]
				for _, i := range picked {
					e, view := f.engines[i], engineSnapshot{}
					if n := len(e.history) - age/stepMs; n >= 0 && n < len(e.history) {
						view = e.history[n]
					}
					speed := 1.0
					if f.byState {
						speed = BoundSlowdown(e.slowdown.Factor(atMs(now)))
					}
					view.work = max(0, view.work*speed-float64(age))
					for _, s := range recent[host] {
						if s.engine == i {
							view.requests++
							view.work += float64(kind.tokens) / 10 * speed
						}
					}
					c := Candidate{QueuedWork: time.Duration(view.work) * time.Millisecond, OwnerRank: rng.Uint64()}
					if f.byState {
						unseen := DrawUnseen(rate*float64(age)/1000, rng.Float64)
						c.UnseenWork = time.Duration(unseen.Prefills*meanPrefill) * time.Millisecond
						c.Slowdown = e.slowdown.Factor(atMs(now))
						c.SlotWait = SlotWait(float64(view.requests)+unseen.Requests, e.slots, holdTime, c.Slowdown)
					}
					list = append(list, c)
				}
				request := &Request{Model: "m", Prompt: &Prompt{Tokens: kind.tokens}, Target: time.Duration(kind.target) * time.Millisecond}
				engine := picked[Place(estimator, request, list).Index]
				e := f.engines[engine]
				load := func(e *stateEngine) int { return len(e.running) + len(e.waiting) }
				if load(e) >= e.slots && slices.ContainsFunc(picked, func(i int) bool { return load(f.engines[i]) < f.engines[i].slots }) {
					f.full++
				}
				if len(e.waiting) == 0 && load(e) < e.slots {
					e.slowdown.Observe(e.speed*(0.8+0.4*rng.Float64()), AnswerWeight, atMs(now))
				}
				e.received++
				e.waiting = append(e.waiting, &stateRequest{kind: kind, arrived: now, host: host, prefill: 20 + float64(kind.tokens)/10, decode: float64(kind.decode)})
				recent[host] = append(recent[host], sent{now, engine})
			}
		}
		total, most := 0, 0
		for _, e := range f.engines {
			e.step(now)
			requests := e.history[len(e.history)-1].requests
			total, most = total+requests, max(most, requests)
		}
		if now > 5000 && total > 0 {
			f.busiest += float64(most*len(f.engines)) / float64(total) / float64(200*seconds-1000)
		}
	}
}

// atMs returns the time that is the given number of milliseconds after the begin of a replay.
func atMs(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

// newStateReplay returns a replay before the given number of engines with 12 slots, whose speeds
// are distributed evenly from 0.6 to 1.6 if uneven is set.
func newStateReplay(engines, hosts int, uneven, byState bool, kinds ...requestKind) *stateReplay {
	f := &stateReplay{hosts: hosts, draws: 7, byState: byState}
	for i := range engines {
		speed := 1.0
		if uneven {
			speed = 0.6 + float64(i)/float64(engines-1)
		}
		f.engines = append(f.engines, &stateEngine{speed: speed, slots: 12})
	}
	for _, k := range kinds {
		f.kinds = append(f.kinds, &k)
	}
	return f
}

// Load: 60 engines of speed 0.6 to 1.6, 30 hosts, prompts of 2,368 tokens (target 2 s) and 9,190
// tokens (target 2 s), which need about 75% of the engines' time. If the speeds don't count, slow engines
// get as many prompts as fast ones and answer late.
func TestReplayEnginesOfDifferentSpeeds(t *testing.T) {
	is := is.New(t)
	late := func(byState bool) (n int) {
		f := newStateReplay(60, 30, true, byState,
			requestKind{tokens: 2368, decode: 200, priority: 3, target: 2000, perSecond: 90},
			requestKind{tokens: 9190, decode: 100, priority: 3, target: 2000, perSecond: 20})
		f.run(60)
		for _, k := range f.kinds {
			n += k.late
			t.Log("by state", byState, "done", k.done, "late", k.late, "mean ms", k.totalTook/k.done)
		}
		return n
	}
	before, after := late(false), late(true)
	is.True(2*after < before)
}

// Load: 60 engines with 12 slots, 30 hosts, streams that hold a slot for 2.5 s at the lowest priority
// and urgent prompts. Streams queue no prefill, so the rule that counts only queued work chooses full
// engines although others have free slots; the streams there are preempted again and again.
func TestReplayFullEnginesAreAvoided(t *testing.T) {
	is := is.New(t)
	run := func(byState bool) (full, preempted int) {
		f := newStateReplay(60, 30, false, byState,
			requestKind{tokens: 715, decode: 2500, priority: 9, target: 1500, perSecond: 200},
			requestKind{tokens: 568, decode: 300, priority: 0, target: 2000, perSecond: 150})
		f.run(40)
		t.Log("by state", byState, "full", f.full, "preempted", f.kinds[0].preempted, "stream ms", f.kinds[0].totalTook/f.kinds[0].done, "late", f.kinds[0].late, f.kinds[1].late)
		return f.full, f.kinds[0].preempted
	}
	fullBefore, preemptedBefore := run(false)
	fullAfter, preemptedAfter := run(true)
	is.True(3*fullAfter < 2*fullBefore)
	is.True(3*preemptedAfter < 2*preemptedBefore)
}

// Load: 140 engines with 12 slots, 90 hosts with views that are 150 to 450 ms old, streams and
// medium prompts. If all hosts chose by the same old views among all engines, they would choose the
// same free engine until the next update; with samples of seven the load stays as even as it was.
func TestReplayHostsWithOldViews(t *testing.T) {
	is := is.New(t)
	run := func(byState bool, draws int) float64 {
		f := newStateReplay(140, 90, true, byState,
			requestKind{tokens: 715, decode: 2000, priority: 9, target: 1500, perSecond: 400},
			requestKind{tokens: 2368, decode: 300, priority: 3, target: 2000, perSecond: 150})
		f.draws = draws
		f.run(15)
		t.Log("by state", byState, "draws", draws, "busiest", f.busiest, "full", f.full, "preempted", f.kinds[0].preempted, "late", f.kinds[0].late, f.kinds[1].late)
		return f.busiest
	}
	before, after, all := run(false, 7), run(true, 7), run(true, 140)
	is.True(after < before)
	is.True(after < all)
}

// A wrong figure of an engine or a corrupt message must neither exclude the engine nor make it the
// only choice.
func TestWrongFiguresAreBounded(t *testing.T) {
	is := is.New(t)
	now := atMs(0)
	for _, wrong := range []float64{0, -3, math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		var s Slowdown
		s.Observe(wrong, AnswerWeight, now)
		s.Observe(1, wrong, now)
		for range 9 {
			s.Observe(1, AnswerWeight, now)
		}
		is.True(s.Factor(now) >= 1 && s.Factor(now) < 1.4)
		is.True(BoundSlowdown(wrong) >= MinSlowdown && BoundSlowdown(wrong) <= MaxSlowdown)
		wait := SlotWait(wrong, 12, time.Second, wrong)
		is.True(wait >= 0 && wait <= MaxSlowdown*maxSlotQueue*time.Second)
		is.True(DrawUnseen(wrong, rand.Float64).Prefills < 4*maxUnseen)
	}
	is.Equal(SlotWait(12, 0, time.Second, 1), time.Duration(0)) // unknown number of slots
}

// After the last sample, a factor must approach 1, so that an engine that was slow gets requests
// again. Data of one sample counts in part, because it may contain an unknown wait.
func TestSlowdownDecaysToOne(t *testing.T) {
	is := is.New(t)
	var s Slowdown
	is.Equal(s.Factor(atMs(0)), 0.0)
	s.Observe(2, AnswerWeight, atMs(0))
	is.Equal(s.Factor(atMs(0)), 1+AnswerWeight/fullSlowdownWeight)
	s.Observe(2, fullSlowdownWeight-AnswerWeight, atMs(0))
	is.Equal(s.Factor(atMs(0)), 2.0)
	is.Equal(s.Factor(atMs(0).Add(slowdownHalfLife)), 1.5)
	is.Equal(s.Factor(atMs(0).Add(2*slowdownHalfLife)), 1.25)
}

// An engine without room for the request is chosen only if all lack it. Without states, engines are
// chosen by their work and their caches.
func TestEngineWithoutMemoryIsLastChoice(t *testing.T) {
	is := is.New(t)
	estimator, r := NewPrefillEstimator(), &Request{Model: "m", Prompt: &Prompt{Tokens: 1000}}
	choose := func(list ...Candidate) int { return Place(estimator, r, list).Index }
	is.Equal(choose(Candidate{LacksMemory: true, OwnerRank: 1}, Candidate{QueuedWork: 9 * time.Second}), 1)
	is.Equal(choose(Candidate{LacksMemory: true, OwnerRank: 1}, Candidate{QueuedWork: time.Second, LacksMemory: true}), 0)
	is.Equal(choose(Candidate{Slowdown: 1.6, OwnerRank: 1}, Candidate{}), 1)
	is.Equal(choose(Candidate{SlotWait: time.Second, OwnerRank: 1}, Candidate{}), 1)
	is.Equal(Place(estimator, r, []Candidate{{QueuedWork: time.Second}}), Place(estimator, r, []Candidate{{QueuedWork: time.Second, Slowdown: 1}}))
	is.True(LacksMemory(300_000, 20_000, 319_068))
	is.True(!LacksMemory(300_000, 19_068, 319_068))
	is.True(!LacksMemory(1e9, 1, 0))
}

// Work that is drawn to spread the hosts' choices must not count in the expected time. When it did,
// first events were expected after 514 ms that came after 189 ms, and better answers weren't asked
// for because they were expected late.
func TestUnseenWorkDoesNotDelayExpectedTime(t *testing.T) {
	is := is.New(t)
	r := &Request{Model: "m", Prompt: &Prompt{Tokens: 1000}, Target: time.Second}
	candidates := []Candidate{{QueuedWork: 100 * time.Millisecond, UnseenWork: 900 * time.Millisecond}, {QueuedWork: 150 * time.Millisecond}}
	is.Equal(Place(NewPrefillEstimator(), r, candidates).Index, 1)
	withUnseen := Place(NewPrefillEstimator(), r, candidates[:1])
	candidates[0].UnseenWork = 0
	is.Equal(withUnseen.ExpectedTime, Place(NewPrefillEstimator(), r, candidates[:1]).ExpectedTime)
}
