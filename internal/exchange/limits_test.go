package exchange

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

// The load of these tests: upstreams in need name limits, each host hears of that by its own
// requests, and every host has more requests than all limits together permit. What a host
// sends goes to the upstreams that are open to it, so what reaches a limited one is what
// the hosts' leases permit.

// hostLimit is what a host knows of an upstream's limit.
type hostLimit struct {
	named   ratelease.Named
	bucket  ratelease.Bucket
	pending bool
}

// limit is the host's record of the upstream. The lock is held.
func (h *fleetHost) limit(u ratelease.Upstream) *hostLimit {
	if h.limits[u] == nil {
		h.limits[u] = &hostLimit{}
	}
	return h.limits[u]
}

func (h *fleetHost) limitGrants(roots int) []ratelease.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	var grants []ratelease.Grant
	for u, l := range h.limits {
		if l.named.Limited(h.contact, time.Now()) {
			parts := l.named.Split(roots)
			grants = append(grants, ratelease.Grant{Upstream: u, Parts: parts, Of: parts})
		}
	}
	return grants
}

func (h *fleetHost) limitWords() []ratelease.Word {
	h.mu.Lock()
	defer h.mu.Unlock()
	var words []ratelease.Word
	for u, l := range h.limits {
		if l.pending {
			words = append(words, l.named.Say(u, time.Now()))
			l.pending = false
		}
	}
	return words
}

func (h *fleetHost) knownLimits() []ratelease.Word {
	h.mu.Lock()
	defer h.mu.Unlock()
	var words []ratelease.Word
	for u, l := range h.limits {
		if l.named.Limited(h.contact, time.Now()) {
			words = append(words, l.named.Say(u, time.Now()))
		}
	}
	return words
}

func (h *fleetHost) takeLimits(words []ratelease.Word, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	told := make(map[ratelease.Upstream]bool)
	for _, word := range words {
		told[word.Upstream] = true
		h.limit(word.Upstream).named.Take(word, time.Now())
	}
	for u, l := range h.limits {
		if whole && l.named.Told() && !told[u] {
			l.named.Take(ratelease.Word{Upstream: u, Ended: true}, time.Now())
		}
	}
}

// sends says whether the host may send the upstream a request now, and counts it.
func (h *fleetHost) sends(u ratelease.Upstream, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limit(u)
	if !l.named.Limited(h.contact, now) {
		return true
	}
	allowance := ratelease.Allowance{}
	if share, ok := h.holding.Share(u, now); ok {
		allowance = l.named.Limit().Allowance(share)
	}
	if !l.bucket.Room(allowance, now) {
		return false
	}
	l.bucket.Take()
	return true
}

// hears takes in an answer.
func (h *fleetHost) hears(u ratelease.Upstream, limit ratelease.Limit, named bool, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limit(u)
	now := time.Now()
	switch {
	case named:
		l.pending = l.named.Observe(limit, now) || l.pending
	case l.named.Limited(h.contact, now):
		l.pending = l.named.ObserveNone(sentAt, now) || l.pending
	}
}

// limitedUpstream is an upstream that names a limit for a while.
type limitedUpstream struct {
	name  ratelease.Upstream
	limit ratelease.Limit
	// from and until are when it names the limit.
	from, until time.Time
	// sent are the arrivals of hosts that had been told for half a second, all are all while
	// it had the limit.
	sent, all []time.Time
	after     int
}

func (u *limitedUpstream) names(now time.Time) bool {
	return !now.Before(u.from) && now.Before(u.until)
}

// limitPlay is the traffic of a fleet to upstreams with limits.
type limitPlay struct {
	fleet     *fleet
	upstreams []*limitedUpstream
	rnd       *rand.Rand
	// told is when a host passed on a limit first, since its start.
	told map[*fleetHost]map[ratelease.Upstream]time.Time
	// excused are hosts that started or were cut lately, until a time.
	excused map[*fleetHost]time.Time
	answers []pendingAnswer
}

// pendingAnswer is an answer that is on its way.
type pendingAnswer struct {
	host     *fleetHost
	upstream *limitedUpstream
	sentAt   time.Time
	at       time.Time
	named    bool
}

// answerTime is the time to an answer's head.
const answerTime = 80 * time.Millisecond

func newLimitPlay(f *fleet, rnd *rand.Rand, limits int) *limitPlay {
	p := &limitPlay{fleet: f, rnd: rnd, told: make(map[*fleetHost]map[ratelease.Upstream]time.Time), excused: make(map[*fleetHost]time.Time)}
	for i := range limits {
		p.upstreams = append(p.upstreams, &limitedUpstream{name: ratelease.UpstreamOf(fmt.Sprint("u-", i)), limit: ratelease.Limit(rnd.IntN(60)) / 10})
	}
	return p
}

// step has each host try some upstreams, and hear answers.
func (p *limitPlay) step() {
	now := time.Now()
	for len(p.answers) > 0 && !p.answers[0].at.After(now) {
		a := p.answers[0]
		p.answers = p.answers[1:]
		a.host.hears(a.upstream.name, a.upstream.limit, a.named, a.sentAt)
		if _, ok := p.told[a.host][a.upstream.name]; a.named && !ok {
			if p.told[a.host] == nil {
				p.told[a.host] = make(map[ratelease.Upstream]time.Time)
			}
			p.told[a.host][a.upstream.name] = now
		}
	}
	for _, h := range p.fleet.hosts {
		for range 2 {
			u := p.upstreams[p.rnd.IntN(len(p.upstreams))]
			if !h.sends(u.name, now) {
				continue
			}
			p.answers = append(p.answers, pendingAnswer{host: h, upstream: u, sentAt: now, at: now.Add(answerTime), named: u.names(now)})
			told, ok := p.told[h][u.name]
			switch {
			case !u.names(now):
				u.after++
			case ok && now.Sub(told) >= 500*time.Millisecond && now.After(p.excused[h]):
				u.sent = append(u.sent, now)
				fallthrough
			default:
				u.all = append(u.all, now)
			}
		}
	}
}

func (p *limitPlay) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.step()
	}
}

// most is the greatest number of arrivals in four seconds of windows that end later than a
// time.
func mostOf(at []time.Time, after time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= 4*time.Second {
			from++
		}
		if at[from].Add(4 * time.Second).After(after) {
			most = max(most, i-from+1)
		}
	}
	return most
}

// contactTime is from the first naming to the windows that count, and how long a host is
// excused that started or was cut off.
const contactTime = 3 * time.Second

// limitScenes are what goes wrong while upstreams name limits.
var limitScenes = []struct {
	name string
	play func(p *limitPlay)
}{
	{"nothing", func(p *limitPlay) { p.run(10 * time.Second) }},
	{"hosts start again one after the other, hubs among them", func(p *limitPlay) {
		for range 10 {
			n := len(p.fleet.hosts)
			if p.rnd.IntN(2) == 0 {
				n = min(3, n)
			}
			p.restart(p.fleet.hosts[p.rnd.IntN(n)])
			p.run(time.Duration(p.rnd.IntN(1500)) * time.Millisecond)
		}
		p.run(5 * time.Second)
	}},
	{"all hosts start again", func(p *limitPlay) {
		p.restart(p.fleet.hosts...)
		p.run(10 * time.Second)
	}},
	{"a zone is cut off, and joined again", func(p *limitPlay) {
		zone := p.fleet.hosts[p.rnd.IntN(len(p.fleet.hosts))].zone
		for range 3 {
			p.isolate(func(h *fleetHost) bool { return h.zone == zone })
			p.run(time.Duration(500+p.rnd.IntN(4000)) * time.Millisecond)
			p.isolate(nil)
			p.run(time.Duration(p.rnd.IntN(2500)) * time.Millisecond)
		}
		p.run(5 * time.Second)
	}},
	{"limits change", func(p *limitPlay) {
		for range 8 {
			u := p.upstreams[p.rnd.IntN(len(p.upstreams))]
			u.limit *= ratelease.Limit(0.9 + 0.2*p.rnd.Float64())
			p.run(time.Second)
		}
	}},
}

// restart starts hosts again. They are excused until their hubs know them.
func (p *limitPlay) restart(hosts ...*fleetHost) {
	for _, h := range hosts {
		h.stop()
		delete(p.told, h)
		p.excused[h] = time.Now().Add(contactTime)
		p.answers = slices.DeleteFunc(p.answers, func(a pendingAnswer) bool { return a.host == h })
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		h.mu.Lock()
		h.holding = ratelease.Holding{}
		h.mu.Unlock()
		p.fleet.start(h, false)
		time.Sleep(startsApart)
	}
}

// isolate cuts hosts off, or joins all. Those that were cut off are excused for a while.
func (p *limitPlay) isolate(apart func(h *fleetHost) bool) {
	p.fleet.isolate(apart)
	for _, h := range p.fleet.hosts {
		if apart != nil && apart(h) {
			p.excused[h] = time.Now().Add(time.Hour)
		} else if apart == nil && !p.excused[h].IsZero() {
			p.excused[h] = time.Now().Add(contactTime)
		}
	}
}

// Whatever hosts believe of each other, those that were told of a limit keep it together;
// the limit is used, and its end is noticed.
func TestLimitsOfAFleet(t *testing.T) {
	for _, size := range sceneSizes() {
		seeds := sceneSeeds(size)
		for _, scene := range limitScenes {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", scene.name), func(t *testing.T) {
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) { playLimits(t, size, scene.play, seed) })
				}
			})
		}
	}
}

func playLimits(t *testing.T, size fleetSize, scene func(*limitPlay), seed uint64) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(t, size.hosts, size.zones, 10)
	p := newLimitPlay(f, rnd, 4+rnd.IntN(8))
	time.Sleep(5 * time.Second)
	from := time.Now()
	for _, u := range p.upstreams {
		u.from, u.until = from, from.Add(time.Hour)
	}
	p.run(5 * time.Second)
	scene(p)
	span := time.Since(from)
	for _, u := range p.upstreams {
		u.until = time.Now()
	}
	var used, most, permitted float64
	for _, u := range p.upstreams {
		got := mostOf(u.sent, u.from.Add(contactTime))
		if float64(got) > u.limit.Permitted() {
			t.Errorf("%v a second: %d in a window, %.0f permitted", u.limit, got, u.limit.Permitted())
		}
		if float64(got)/u.limit.Permitted() > most/max(1, permitted) {
			most, permitted = float64(got), u.limit.Permitted()
		}
		used += float64(len(u.all)) / span.Seconds() / float64(u.limit+0.25)
	}
	p.run(15 * time.Second)
	late := 0
	for _, u := range p.upstreams {
		u.after = 0
	}
	p.run(2 * time.Second)
	for _, u := range p.upstreams {
		if float64(u.after) <= u.limit.Permitted()*2 {
			late++
		}
	}
	t.Logf("%.0f in a window, %.0f permitted; %.2f of the limits were used; %d of %d upstreams held back later",
		most, permitted, used/float64(len(p.upstreams)), late, len(p.upstreams))
	is.True(used/float64(len(p.upstreams)) > 0.3)
	is.Equal(late, 0)
}

func TestLimitWordsInMessages(t *testing.T) {
	is := is.New(t)
	words := LimitWords{
		{Upstream: 1 << 63, Limit: 1.5, Age: 250 * time.Millisecond},
		{Upstream: 2, Ended: true},
		{Upstream: 3, Limit: 0, Age: time.Hour},
	}
	data, err := json.Marshal(words)
	is.NoErr(err)
	var got LimitWords
	is.NoErr(json.Unmarshal(data, &got))
	words[2].Age = maxWordAge
	is.Equal(got, words)
}
