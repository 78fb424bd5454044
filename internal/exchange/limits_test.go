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

// The load of these tests: overloaded upstreams announce limits, each host learns them from the
// answers to its own requests, and every host has more requests than all limits together
// permit. Hosts send to any upstream that accepts requests, so what reaches a limited upstream
// is what the hosts' leases permit.

// hostLimit is a host's record of an upstream's limit.
type hostLimit struct {
	named   ratelease.LimitState
	bucket  ratelease.Bucket
	pending bool
}

// limit returns the host's record of the upstream. The caller holds the lock.
func (h *fleetHost) limit(u ratelease.UpstreamID) *hostLimit {
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
			parts := l.named.PartCount(roots)
			grants = append(grants, ratelease.Grant{Upstream: u, Parts: parts, Of: parts})
		}
	}
	return grants
}

func (h *fleetHost) newLimits() []ratelease.LimitUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	var updates []ratelease.LimitUpdate
	for u, l := range h.limits {
		if l.pending {
			updates = append(updates, l.named.NextUpdate(u, time.Now()))
			l.pending = false
		}
	}
	return updates
}

func (h *fleetHost) knownLimits() []ratelease.LimitUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	var updates []ratelease.LimitUpdate
	for u, l := range h.limits {
		if l.named.Limited(h.contact, time.Now()) {
			updates = append(updates, l.named.NextUpdate(u, time.Now()))
		}
	}
	return updates
}

func (h *fleetHost) takeLimits(updates []ratelease.LimitUpdate, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	received := make(map[ratelease.UpstreamID]bool)
	for _, update := range updates {
		received[update.Upstream] = true
		h.limit(update.Upstream).named.Apply(update, time.Now())
	}
	for u, l := range h.limits {
		if whole && l.named.HasHubLimit() && !received[u] {
			l.named.Apply(ratelease.LimitUpdate{Upstream: u, Ended: true}, time.Now())
		}
	}
}

// trySend reports whether the host may send a request to the upstream now, and counts it.
func (h *fleetHost) trySend(u ratelease.UpstreamID, now time.Time) bool {
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
	if !l.bucket.Allows(allowance, now) {
		return false
	}
	l.bucket.Take()
	return true
}

// observe processes an answer.
func (h *fleetHost) observe(u ratelease.UpstreamID, limit ratelease.Limit, named bool, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limit(u)
	now := time.Now()
	switch {
	case named:
		l.pending = l.named.Observe(limit, now) || l.pending
	case l.named.Limited(h.contact, now):
		l.pending = l.named.ObserveUnlimited(sentAt, now) || l.pending
	}
}

// limitedUpstream is an upstream that announces a limit for a while.
type limitedUpstream struct {
	name  ratelease.UpstreamID
	limit ratelease.Limit
	// from and until are when it announces the limit.
	from, until time.Time
	// informedSends are the requests of hosts that had observed the limit at least half a
	// second before. allSends are all requests while it announced the limit. sendsAfterLimit
	// counts the requests while it announces none.
	informedSends, allSends []time.Time
	sendsAfterLimit         int
}

func (u *limitedUpstream) namesLimit(now time.Time) bool {
	return !now.Before(u.from) && now.Before(u.until)
}

// limitTraffic is the traffic of a fleet to upstreams with limits.
type limitTraffic struct {
	fleet     *fleet
	upstreams []*limitedUpstream
	rnd       *rand.Rand
	// firstObservedAt is when each host first observed each limit since its start.
	firstObservedAt map[*fleetHost]map[ratelease.UpstreamID]time.Time
	// excusedUntil holds the hosts that recently started or were disconnected; their requests
	// don't count until then.
	excusedUntil map[*fleetHost]time.Time
	answers      []pendingAnswer
}

// pendingAnswer is an answer in transit.
type pendingAnswer struct {
	host     *fleetHost
	upstream *limitedUpstream
	sentAt   time.Time
	at       time.Time
	named    bool
}

// answerTime is the time until an answer's headers arrive.
const answerTime = 80 * time.Millisecond

func newLimitTraffic(f *fleet, rnd *rand.Rand, limits int) *limitTraffic {
	p := &limitTraffic{fleet: f, rnd: rnd, firstObservedAt: make(map[*fleetHost]map[ratelease.UpstreamID]time.Time), excusedUntil: make(map[*fleetHost]time.Time)}
	for i := range limits {
		p.upstreams = append(p.upstreams, &limitedUpstream{name: ratelease.NewUpstreamID(fmt.Sprint("u-", i)), limit: ratelease.Limit(rnd.IntN(60)) / 10})
	}
	return p
}

// step processes the answers that are due, and makes each host try some upstreams.
func (p *limitTraffic) step() {
	now := time.Now()
	for len(p.answers) > 0 && !p.answers[0].at.After(now) {
		a := p.answers[0]
		p.answers = p.answers[1:]
		a.host.observe(a.upstream.name, a.upstream.limit, a.named, a.sentAt)
		if _, ok := p.firstObservedAt[a.host][a.upstream.name]; a.named && !ok {
			if p.firstObservedAt[a.host] == nil {
				p.firstObservedAt[a.host] = make(map[ratelease.UpstreamID]time.Time)
			}
			p.firstObservedAt[a.host][a.upstream.name] = now
		}
	}
	for _, h := range p.fleet.hosts {
		for range 2 {
			u := p.upstreams[p.rnd.IntN(len(p.upstreams))]
			if !h.trySend(u.name, now) {
				continue
			}
			p.answers = append(p.answers, pendingAnswer{host: h, upstream: u, sentAt: now, at: now.Add(answerTime), named: u.namesLimit(now)})
			observedAt, ok := p.firstObservedAt[h][u.name]
			switch {
			case !u.namesLimit(now):
				u.sendsAfterLimit++
			case ok && now.Sub(observedAt) >= 500*time.Millisecond && now.After(p.excusedUntil[h]):
				u.informedSends = append(u.informedSends, now)
				fallthrough
			default:
				u.allSends = append(u.allSends, now)
			}
		}
	}
}

func (p *limitTraffic) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.step()
	}
}

// maxPerWindow returns the greatest number of arrivals in a window of four seconds that ends
// after the given time.
func maxPerWindow(at []time.Time, after time.Time) int {
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

// settleTime is the time from the first announcement to the windows that count, and how long a
// host is excused after it started or was reconnected.
const settleTime = 3 * time.Second

// limitScenarios are faults that occur while upstreams announce limits.
var limitScenarios = []struct {
	name string
	run  func(p *limitTraffic)
}{
	{"nothing", func(p *limitTraffic) { p.run(10 * time.Second) }},
	{"hosts start again one after the other, hubs among them", func(p *limitTraffic) {
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
	{"all hosts start again", func(p *limitTraffic) {
		p.restart(p.fleet.hosts...)
		p.run(10 * time.Second)
	}},
	{"a zone is cut off, and joined again", func(p *limitTraffic) {
		zone := p.fleet.hosts[p.rnd.IntN(len(p.fleet.hosts))].zone
		for range 3 {
			p.isolate(func(h *fleetHost) bool { return h.zone == zone })
			p.run(time.Duration(500+p.rnd.IntN(4000)) * time.Millisecond)
			p.isolate(nil)
			p.run(time.Duration(p.rnd.IntN(2500)) * time.Millisecond)
		}
		p.run(5 * time.Second)
	}},
	{"limits change", func(p *limitTraffic) {
		for range 8 {
			u := p.upstreams[p.rnd.IntN(len(p.upstreams))]
			u.limit *= ratelease.Limit(0.9 + 0.2*p.rnd.Float64())
			p.run(time.Second)
		}
	}},
}

// restart restarts hosts. They are excused until their hubs have their limits.
func (p *limitTraffic) restart(hosts ...*fleetHost) {
	for _, h := range hosts {
		h.stop()
		delete(p.firstObservedAt, h)
		p.excusedUntil[h] = time.Now().Add(settleTime)
		p.answers = slices.DeleteFunc(p.answers, func(a pendingAnswer) bool { return a.host == h })
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		h.mu.Lock()
		h.holding = ratelease.Holding{}
		h.mu.Unlock()
		p.fleet.start(h, false)
		time.Sleep(startInterval)
	}
}

// isolate disconnects hosts, or reconnects all. Those that were disconnected are excused for a
// while.
func (p *limitTraffic) isolate(isolated func(h *fleetHost) bool) {
	p.fleet.isolate(isolated)
	for _, h := range p.fleet.hosts {
		if isolated != nil && isolated(h) {
			p.excusedUntil[h] = time.Now().Add(time.Hour)
		} else if isolated == nil && !p.excusedUntil[h].IsZero() {
			p.excusedUntil[h] = time.Now().Add(settleTime)
		}
	}
}

// Whatever stale data the hosts have of each other, those that have learned a limit keep it
// together. The limit is used, and the hosts notice when it ends.
func TestLimitsOfAFleet(t *testing.T) {
	for _, size := range scenarioSizes() {
		seeds := scenarioSeeds(size)
		for _, scenario := range limitScenarios {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", scenario.name), func(t *testing.T) {
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) { runLimitScenario(t, size, scenario.run, seed) })
				}
			})
		}
	}
}

func runLimitScenario(t *testing.T, size fleetSize, scenario func(*limitTraffic), seed uint64) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(t, size.hosts, size.zones, 10)
	p := newLimitTraffic(f, rnd, 4+rnd.IntN(8))
	time.Sleep(5 * time.Second)
	from := time.Now()
	for _, u := range p.upstreams {
		u.from, u.until = from, from.Add(time.Hour)
	}
	p.run(5 * time.Second)
	scenario(p)
	span := time.Since(from)
	for _, u := range p.upstreams {
		u.until = time.Now()
	}
	var used, most, permitted float64
	for _, u := range p.upstreams {
		got := maxPerWindow(u.informedSends, u.from.Add(settleTime))
		if float64(got) > u.limit.Permitted() {
			t.Errorf("%v a second: %d in a window, %.0f permitted", u.limit, got, u.limit.Permitted())
		}
		if float64(got)/u.limit.Permitted() > most/max(1, permitted) {
			most, permitted = float64(got), u.limit.Permitted()
		}
		used += float64(len(u.allSends)) / span.Seconds() / float64(u.limit+0.25)
	}
	p.run(15 * time.Second)
	late := 0
	for _, u := range p.upstreams {
		u.sendsAfterLimit = 0
	}
	p.run(2 * time.Second)
	for _, u := range p.upstreams {
		if float64(u.sendsAfterLimit) <= u.limit.Permitted()*2 {
			late++
		}
	}
	t.Logf("%.0f in a window, %.0f permitted; %.2f of the limits were used; %d of %d upstreams held back later",
		most, permitted, used/float64(len(p.upstreams)), late, len(p.upstreams))
	is.True(used/float64(len(p.upstreams)) > 0.3)
	is.Equal(late, 0)
}

func TestLimitUpdatesOnTheWire(t *testing.T) {
	is := is.New(t)
	updates := LimitUpdates{
		{Upstream: 1 << 63, Limit: 1.5, Age: 250 * time.Millisecond},
		{Upstream: 2, Ended: true},
		{Upstream: 3, Limit: 0, Age: time.Hour},
	}
	data, err := json.Marshal(updates)
	is.NoErr(err)
	var got LimitUpdates
	is.NoErr(json.Unmarshal(data, &got))
	updates[2].Age = maxLimitAge
	is.Equal(got, updates)
}
