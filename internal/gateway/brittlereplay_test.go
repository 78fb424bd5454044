package gateway

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/placement"
)

// overrunCase is a service whose hosts get load times what its engines can process. The engines have room for
// waiting requests until they have been brittle for some seconds, and then for room requests only.
type overrunCase struct {
	hosts, engines, slots, room, limit int
	work                               time.Duration
	load                               float64
	// partialHub has the hub of one zone lack the data of the other zones for some seconds. isolated leaves the hosts
	// without their number and each other's requests. exchangeEnds has all hosts lose each other's data.
	partialHub, isolated, exchangeEnds bool
	// plain is set for a service without prompts.
	plain bool
}

func (c overrunCase) String() string {
	text := fmt.Sprintf("%d hosts, %d engines of %d slots, room %d, limit %d, work %v, load %.1f", c.hosts, c.engines, c.slots, c.room, c.limit, c.work, c.load)
	if c.partialHub {
		text += ", a hub starts"
	}
	if c.isolated {
		text += ", no hub"
	}
	if c.exchangeEnds {
		text += ", the exchange ends"
	}
	if c.plain {
		text += ", plain"
	}
	return text
}

const (
	overrunStep = 5 * time.Millisecond
	// overrunStatedAt is when the engines begin to state that they are brittle, overrunEffectAt when their
	// room shrinks from overrunFormerRoom and they terminate.
	overrunStatedAt   = 2 * time.Second
	overrunEffectAt   = 6 * time.Second
	overrunEnd        = 18 * time.Second
	overrunFormerRoom = 25
	// overrunRestart is the time in which a terminated engine starts again, overrunDetection the time in which
	// all hosts detect its termination.
	overrunRestart   = 3 * time.Second
	overrunDetection = 300 * time.Millisecond
	// loadsInterval is the time between two exchanges of the loads of engines, which hosts get from the hub
	// of their zone. It may leave out all but the busiest replayListed engines.
	loadsInterval = 2 * exchange.Interval
	replayListed  = 36
	replayZones   = 3
	// maxSends is the number of engines that one attempt of a caller is sent to at most.
	maxSends = 3
	// partialHubAt and partialHubTime are when and for how long a hub lacks the data of the other zones. The exchange ends
	// at the same time.
	partialHubAt   = 8 * time.Second
	partialHubTime = 3 * time.Second
)

// overrunReplay plays the hosts' choices of engines in virtual time, with the product's own decisions.
type overrunReplay struct {
	overrunCase
	rand    *rand.Rand
	start   time.Time
	hosts   []*replayHost
	engines []*replayEngine
	byID    map[string]*replayEngine
	// hubs are the loads of engines by the reports to the hub of each zone, hubsElsewhere those that each hub
	// got last from the others.
	hubs, hubsElsewhere []exchange.EngineLoads
	returns             []replayReturn

	terminations, rejections, refusals, answers int
	busy                                        float64
	samples                                     int
}

type replayHost struct {
	*Fleet
	zone     int
	reported exchange.EngineLoads
}

type replayEngine struct {
	Upstream
	running, waiting []*replayRequest
	rejected         []time.Duration
	backAt           time.Duration
}

type replayRequest struct {
	host     *replayHost
	choice   choice
	excluded []string
	sends    int
	tokens   int
	work     time.Duration
	sentAt   time.Duration
	endsAt   time.Duration
	// returned is set once the caller was refused and will send the request again.
	returned bool
	// headLoad is the load that the head of the answer stated.
	headLoad string
}

// replayReturn is a refused request whose caller sends it again at a time.
type replayReturn struct {
	at      time.Duration
	request *replayRequest
}

func newOverrunReplay(c overrunCase, seed uint64) *overrunReplay {
	time.Sleep(max(0, -boottime.Elapsed())) // a test's clock begins before that of the process
	r := &overrunReplay{overrunCase: c, rand: rand.New(rand.NewPCG(seed, 0)), start: time.Now(), byID: make(map[string]*replayEngine)}
	for range replayZones {
		r.hubs, r.hubsElsewhere = append(r.hubs, exchange.EngineLoads{}), append(r.hubsElsewhere, exchange.EngineLoads{})
	}
	for i := range c.engines {
		u := Upstream{ID: fmt.Sprintf("e%d", i), Service: "svc", Zone: fmt.Sprintf("z%d", i%replayZones), Version: "v1", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Slots: c.slots, Incarnation: 1}
		e := &replayEngine{Upstream: u}
		r.engines, r.byID[u.ID] = append(r.engines, e), e
	}
	for i := range c.hosts {
		h := &replayHost{Fleet: NewFleet(time.Second, zerolog.Nop()), zone: i % replayZones, reported: exchange.EngineLoads{}}
		h.policy.singleHost, h.policy.engineState, h.policy.seed = false, FeatureOn, fmt.Sprintf("h%d", i)
		if !c.isolated {
			h.policy.census.set(c.hosts)
		}
		for _, e := range r.engines {
			h.ApplyEntry(e.Upstream, 1)
		}
		s := h.shard("svc")
		s.servesPrompts, s.contended, s.contendedAt = !c.plain, true, time.Now()
		for range 20 {
			s.prefillRates.Observe("m", 1000, 20*time.Millisecond, time.Now())
			s.prefillRates.Observe("m", 4000, 80*time.Millisecond, time.Now())
		}
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *overrunReplay) now() time.Duration { return time.Since(r.start) }

// play returns the number of terminations and the share of the slots in use after the room shrank.
func (r *overrunReplay) play() (terminations int, use float64) {
	perStep := r.load * float64(r.overrunCase.engines*r.slots) / r.work.Seconds() * overrunStep.Seconds()
	for step := 0; r.now() < overrunEnd; step++ {
		time.Sleep(overrunStep)
		r.advanceEngines()
		r.exchangeLoads(step)
		r.sendReturns()
		for n := perStep * min(1, r.now().Seconds()) * 2 * r.rand.Float64(); r.rand.Float64() < n; n-- {
			r.send(r.newRequest())
		}
	}
	return r.terminations, r.busy / float64(max(1, r.samples))
}

func (r *overrunReplay) newRequest() *replayRequest {
	const sigma = 0.8
	work := time.Duration(float64(r.work) * math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2))
	return &replayRequest{host: r.hosts[r.rand.IntN(len(r.hosts))], tokens: 500 + r.rand.IntN(2500), work: work}
}

// send sends the request to engines until one accepts it.
func (r *overrunReplay) send(q *replayRequest) {
	for q.sends < maxSends {
		crit := criteria{service: "svc", zone: fmt.Sprintf("z%d", q.host.zone), admitsVersion: anyVersion, excludedIDs: q.excluded, model: "m", priority: 5}
		if crit.engines.Slots = r.slots; !r.plain {
			crit.prompt = &placement.Prompt{Tokens: q.tokens}
		}
		c, ok := q.host.choose(crit)
		if !ok {
			r.refuse(q)
			return
		}
		q.choice, q.sends, q.excluded, q.sentAt = c, q.sends+1, append(q.excluded, c.upstream.ID), r.now()
		e := r.byID[c.upstream.ID]
		switch {
		case r.now() < e.backAt || c.upstream.Incarnation != e.Incarnation:
			q.host.release(c, attemptResult{outcome: outcomeUnsent})
		case len(e.running) < r.slots || len(e.waiting) < r.roomNow():
			e.waiting = append(e.waiting, q)
			return
		default:
			r.reject(e, q)
		}
	}
}

// refuse has the caller of the refused request return once.
func (r *overrunReplay) refuse(q *replayRequest) {
	r.refusals++
	if !q.returned && q.sends == 0 {
		q.returned = true
		r.returns = append(r.returns, replayReturn{at: r.now() + time.Second + time.Duration(r.rand.Int64N(int64(time.Second))), request: q})
	}
}

func (r *overrunReplay) sendReturns() {
	now, due := r.now(), []*replayRequest{}
	r.returns = slices.DeleteFunc(r.returns, func(b replayReturn) bool {
		if b.at <= now {
			due = append(due, b.request)
		}
		return b.at <= now
	})
	for _, q := range due {
		r.send(q)
	}
}

func (r *overrunReplay) roomNow() int {
	if r.now() < overrunEffectAt {
		return overrunFormerRoom
	}
	return r.room
}

// limitNow returns the limit that answers state; 0 if they state none.
func (r *overrunReplay) limitNow() int {
	if r.now() < overrunStatedAt {
		return 0
	}
	return r.limit
}

func (e *replayEngine) load(slots int) string {
	return fmt.Sprintf("%d,%d,%d,100", len(e.running), len(e.waiting), slots)
}

// reject rejects the request, and terminates the engine if it rejected too many in a second.
func (r *overrunReplay) reject(e *replayEngine, q *replayRequest) {
	h, c, now := q.host, q.choice, r.now()
	h.observeBrittle(&c, r.limitNow(), true)
	h.observeNotice(&c, notice.Notice{Brittle: r.limitNow()}, false)
	h.release(c, attemptResult{outcome: outcomeRefused, status: 503, load: e.load(r.slots)})
	if now < overrunEffectAt {
		return
	}
	r.rejections++
	e.rejected = append(slices.DeleteFunc(e.rejected, func(at time.Duration) bool { return now-at >= time.Second }), now)
	if len(e.rejected) > r.limit {
		r.terminate(e)
	}
}

func (r *overrunReplay) terminate(e *replayEngine) {
	r.terminations++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.rejected, e.backAt = nil, nil, nil, r.now()+overrunRestart
	for _, q := range lost {
		q.host.release(q.choice, attemptResult{outcome: outcomeBroken})
	}
	for _, q := range lost {
		r.send(q)
	}
}

// advanceEngines ends and begins requests.
func (r *overrunReplay) advanceEngines() {
	now := r.now()
	for _, e := range r.engines {
		if e.backAt > 0 && now >= e.backAt-overrunRestart+overrunDetection && now < e.backAt-overrunRestart+overrunDetection+overrunStep {
			for _, h := range r.hosts {
				h.ejectTerminated(e.exchangeHash())
			}
		}
		if e.backAt > 0 && now >= e.backAt {
			e.backAt, e.Incarnation = 0, e.Incarnation+1
			for _, h := range r.hosts {
				h.ApplyEntry(e.Upstream, 1)
			}
		}
		ended := 0
		e.running = slices.DeleteFunc(e.running, func(q *replayRequest) bool {
			if q.endsAt > now {
				return false
			}
			ended++
			r.answers++
			if r.plain {
				q.headLoad = e.load(r.slots) // the answer is complete when its head is sent
			}
			q.host.release(q.choice, attemptResult{outcome: outcomeDone, status: 200, load: q.headLoad})
			return true
		})
		for len(e.waiting) > 0 && len(e.running) < r.slots {
			q := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.running = append(e.running, q)
			q.endsAt = now + q.work
			q.headLoad = e.load(r.slots)
			q.host.observeBrittle(&q.choice, r.limitNow(), false)
			q.host.observeNotice(&q.choice, notice.Notice{Brittle: r.limitNow()}, true)
			q.host.headReceived(&q.choice, now-q.sentAt+20*time.Millisecond)
			q.host.headLoadReceived(&q.choice, q.headLoad)
		}
		if now >= overrunEffectAt {
			r.busy, r.samples = r.busy+float64(len(e.running))/float64(r.slots), r.samples+1
		}
	}
}

// exchangeLoads has a part of the hosts report the loads of engines to the hub of their zone, so that each does
// so once in loadsInterval, and get the sums of the others. The hubs get each other's as often.
func (r *overrunReplay) exchangeLoads(step int) {
	if r.isolated || r.exchangeEnds && r.now() >= partialHubAt {
		return
	}
	steps := int(loadsInterval / overrunStep)
	for zone := range r.hubs {
		if step%steps == zone*steps/replayZones {
			sum := exchange.EngineLoads{}
			for other, loads := range r.hubs {
				if other != zone {
					addLoads(sum, loads, 1)
				}
			}
			r.hubsElsewhere[zone] = sum
		}
	}
	for i, h := range r.hosts {
		if step%steps != i%steps {
			continue
		}
		hub := r.hubs[h.zone]
		addLoads(hub, h.reported, -1)
		h.reported = exchange.EngineLoads{}
		if own := h.ownEngineStates(0); own != nil {
			h.reported = own.Loads
		}
		others := exchange.EngineLoads{}
		addLoads(others, hub, 1)
		if partial := r.partialHub && h.zone == 0 && r.now() >= partialHubAt && r.now() < partialHubAt+partialHubTime; partial {
			h.policy.census.set((len(r.hosts) + replayZones - 1) / replayZones)
		} else {
			h.policy.census.set(len(r.hosts))
			addLoads(others, r.hubsElsewhere[h.zone], 1)
		}
		addLoads(hub, h.reported, 1)
		h.setRemoteEngineStates(&exchange.EngineStates{Loads: listed(others)}, boottime.Now())
	}
}

func addLoads(sum, loads exchange.EngineLoads, sign float64) {
	for id, e := range loads {
		sum[id] = exchange.EngineLoad{Requests: sum[id].Requests + sign*e.Requests, Tokens: max(0, sum[id].Tokens+sign*e.Tokens), Service: e.Service}
		if sum[id].Requests <= 0 {
			delete(sum, id)
		}
	}
}

// listed returns the loads as a hub replies them: those of the busiest engines, and the sum over the others.
func listed(loads exchange.EngineLoads) exchange.EngineLoads {
	ids := make([]exchange.EngineID, 0, len(loads))
	for id := range loads {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b exchange.EngineID) int {
		return cmp.Or(cmp.Compare(loads[b].Requests, loads[a].Requests), cmp.Compare(a, b))
	})
	kept, others := exchange.EngineLoads{}, exchange.OtherEngines(exchange.HashService("svc"))
	for i, id := range ids {
		if i < replayListed-1 {
			kept[id] = loads[id]
			continue
		}
		kept[others] = exchange.EngineLoad{Requests: kept[others].Requests + loads[id].Requests, Tokens: kept[others].Tokens + loads[id].Tokens, Service: loads[id].Service}
	}
	return kept
}

// overrunSeeds and allOverruns extend the search by hand.
var (
	overrunSeeds = flag.Int("brittle.seeds", 1, "number of seeds of each overrun case")
	allOverruns  = flag.Bool("brittle.all", false, "play the slow overrun cases, too")
)

var overrunCases = []overrunCase{
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 8, work: 1500 * time.Millisecond, load: 1.2},
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 2, work: 1500 * time.Millisecond, load: 1.2},
	{hosts: 30, engines: 60, slots: 12, room: 0, limit: 8, work: 1500 * time.Millisecond, load: 1.2},
	{hosts: 48, engines: 30, slots: 12, room: 4, limit: 4, work: 1500 * time.Millisecond, load: 2, partialHub: true},
	{hosts: 48, engines: 30, slots: 12, room: 4, limit: 4, work: 1500 * time.Millisecond, load: 2, isolated: true},
	{hosts: 48, engines: 30, slots: 12, room: 4, limit: 4, work: 1500 * time.Millisecond, load: 2, exchangeEnds: true},
	{hosts: 88, engines: 3, slots: 6, room: 2, limit: 20, work: 60 * time.Millisecond, load: 0.3, plain: true},
	{hosts: 88, engines: 3, slots: 6, room: 2, limit: 20, work: 60 * time.Millisecond, load: 1, plain: true},
	{hosts: 88, engines: 3, slots: 6, room: 2, limit: 20, work: 60 * time.Millisecond, load: 2, plain: true},
	{hosts: 88, engines: 3, slots: 6, room: 2, limit: 20, work: 1500 * time.Millisecond, load: 2, plain: true},
	{hosts: 7, engines: 3, slots: 6, room: 2, limit: 5, work: 60 * time.Millisecond, load: 3, plain: true},
}

var slowOverrunCases = []overrunCase{
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 8, work: 1500 * time.Millisecond, load: 2},
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 8, work: 1500 * time.Millisecond, load: 0.8},
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 30, work: 1500 * time.Millisecond, load: 1.2},
	{hosts: 88, engines: 140, slots: 12, room: 4, limit: 8, work: 200 * time.Millisecond, load: 1.2},
	{hosts: 88, engines: 60, slots: 48, room: 4, limit: 8, work: 1500 * time.Millisecond, load: 1.2},
	{hosts: 7, engines: 18, slots: 64, room: 4, limit: 8, work: 1500 * time.Millisecond, load: 1.2},
}

// Where hosts far outnumber the slots, they must not make brittle upstreams reject more requests than these bear,
// and yet use most of the slots.
func TestBrittleUpstreamsAreOverrunByManyHosts(t *testing.T) {
	cases := overrunCases
	if *allOverruns {
		cases = append(slices.Clone(cases), slowOverrunCases...)
	}
	for _, c := range cases {
		for seed := range *overrunSeeds {
			t.Run(fmt.Sprintf("%v, seed %d", c, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { c.test(t, uint64(seed)) })
			})
		}
	}
}

// test fails if more upstreams terminate than operators permit (two, and a tenth of all), or if requests are kept from
// free slots.
func (c overrunCase) test(t *testing.T, seed uint64) {
	is := is.New(t)
	r := newOverrunReplay(c, seed)
	terminations, use := r.play()
	t.Logf("%d of %d engines terminated; slots in use: %.2f; %d requests answered, %d rejected, %d refused", terminations, c.engines, use, r.answers, r.rejections, r.refusals)
	is.True(terminations <= 2+c.engines/10)
	is.True(use > min(0.5, 0.8*c.load))
}
