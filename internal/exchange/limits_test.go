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

// The load of these tests: overloaded upstreams announce limits in the answers to each host's
// own requests, and every host has more requests than all limits together permit. Hosts send to
// any upstream that accepts requests, so what reaches a limited upstream is what the hosts'
// leases permit.

// hostLimit is a host's record of an upstream's limit; pending reports that the hub must be
// sent an update of it.
type hostLimit struct {
	state   ratelease.LimitState
	bucket  ratelease.Bucket
	pending bool
}

// limit returns the host's record of the upstream's limit. The caller holds the lock.
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
		if l.state.Limited(h.contact, time.Now()) {
			parts := l.state.PartCount(roots)
			grants = append(grants, ratelease.Grant{Upstream: u, Parts: parts, PartsPerRoot: parts})
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
			updates = append(updates, l.state.NextUpdate(u, time.Now()))
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
		if l.state.Limited(h.contact, time.Now()) {
			updates = append(updates, l.state.NextUpdate(u, time.Now()))
		}
	}
	return updates
}

func (h *fleetHost) applyLimits(updates []ratelease.LimitUpdate, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	received := make(map[ratelease.UpstreamID]bool)
	for _, update := range updates {
		received[update.Upstream] = true
		h.limit(update.Upstream).state.Apply(update, time.Now())
	}
	for u, l := range h.limits {
		if complete && l.state.HasHubLimit() && !received[u] {
			l.state.Apply(ratelease.LimitUpdate{Upstream: u, Ended: true}, time.Now())
		}
	}
}

// trySend reports whether the host may send a request to the upstream now, and counts the
// request if it may.
func (h *fleetHost) trySend(u ratelease.UpstreamID, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limit(u)
	if !l.state.Limited(h.contact, now) {
		return true
	}
	allowance := ratelease.Allowance{}
	if share, ok := h.holding.Share(u, now); ok {
		allowance = l.state.Limit().Allowance(share)
	}
	if !l.bucket.Allows(allowance, now) {
		return false
	}
	l.bucket.Take()
	return true
}

// observe processes the answer to a request sent at sentAt; announced reports whether it
// announced the limit.
func (h *fleetHost) observe(u ratelease.UpstreamID, limit ratelease.Limit, announced bool, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limit(u)
	now := time.Now()
	switch {
	case announced:
		l.pending = l.state.Observe(limit, now) || l.pending
	case l.state.Limited(h.contact, now):
		l.pending = l.state.ObserveUnlimited(sentAt, now) || l.pending
	}
}

// limitedUpstream is an upstream that announces a limit for a while.
type limitedUpstream struct {
	id    ratelease.UpstreamID
	limit ratelease.Limit
	// from and until are the times between which the upstream announces the limit.
	from, until time.Time
	// informedSends holds the times of the requests by hosts that had observed the limit at
	// least half a second before. allSends holds the times of all requests. Both cover the time
	// while the upstream announced the limit; sendsAfterLimit counts the requests while it
	// announced none.
	informedSends, allSends []time.Time
	sendsAfterLimit         int
}

func (u *limitedUpstream) announcesLimit(now time.Time) bool {
	return !now.Before(u.from) && now.Before(u.until)
}

// limitTraffic simulates the requests of a fleet to upstreams that announce limits.
type limitTraffic struct {
	fleet     *fleet
	upstreams []*limitedUpstream
	rnd       *rand.Rand
	// firstObservedAt is when each host first observed each upstream's limit since the host's
	// start.
	firstObservedAt map[*fleetHost]map[ratelease.UpstreamID]time.Time
	// excusedUntil holds the hosts that recently started or were disconnected, and the time
	// until which their requests don't count as informed.
	excusedUntil map[*fleetHost]time.Time
	answers      []pendingAnswer
}

// pendingAnswer is an answer in transit, which arrives at the given time.
type pendingAnswer struct {
	host      *fleetHost
	upstream  *limitedUpstream
	sentAt    time.Time
	at        time.Time
	announced bool
}

// headerDelay is the time from a request until the headers of its answer arrive.
const headerDelay = 80 * time.Millisecond

func newLimitTraffic(f *fleet, rnd *rand.Rand, limits int) *limitTraffic {
	l := &limitTraffic{fleet: f, rnd: rnd, firstObservedAt: make(map[*fleetHost]map[ratelease.UpstreamID]time.Time), excusedUntil: make(map[*fleetHost]time.Time)}
	for i := range limits {
		l.upstreams = append(l.upstreams, &limitedUpstream{id: ratelease.NewUpstreamID(fmt.Sprint("u-", i)), limit: ratelease.Limit(rnd.IntN(60)) / 10})
	}
	return l
}

// step processes the answers that have arrived, and makes each host try to send two requests to
// random upstreams.
func (l *limitTraffic) step() {
	now := time.Now()
	for len(l.answers) > 0 && !l.answers[0].at.After(now) {
		a := l.answers[0]
		l.answers = l.answers[1:]
		a.host.observe(a.upstream.id, a.upstream.limit, a.announced, a.sentAt)
		if _, ok := l.firstObservedAt[a.host][a.upstream.id]; a.announced && !ok {
			if l.firstObservedAt[a.host] == nil {
				l.firstObservedAt[a.host] = make(map[ratelease.UpstreamID]time.Time)
			}
			l.firstObservedAt[a.host][a.upstream.id] = now
		}
	}
	for _, h := range l.fleet.hosts {
		for range 2 {
			u := l.upstreams[l.rnd.IntN(len(l.upstreams))]
			if !h.trySend(u.id, now) {
				continue
			}
			l.answers = append(l.answers, pendingAnswer{host: h, upstream: u, sentAt: now, at: now.Add(headerDelay), announced: u.announcesLimit(now)})
			observedAt, ok := l.firstObservedAt[h][u.id]
			switch {
			case !u.announcesLimit(now):
				u.sendsAfterLimit++
			case ok && now.Sub(observedAt) >= 500*time.Millisecond && now.After(l.excusedUntil[h]):
				u.informedSends = append(u.informedSends, now)
				fallthrough
			default:
				u.allSends = append(u.allSends, now)
			}
		}
	}
}

func (l *limitTraffic) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.step()
	}
}

// maxPerWindow returns the maximum number of requests, sent at the given times, in a window of
// four seconds that ends after the given time.
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

// settleDelay is the time from the first announcement of a limit until requests count against
// it, and how long a host is excused after it started or was reconnected.
const settleDelay = 3 * time.Second

// limitScenarios are faults that occur while upstreams announce limits.
var limitScenarios = []struct {
	name string
	run  func(l *limitTraffic)
}{
	{"nothing", func(l *limitTraffic) { l.run(10 * time.Second) }},
	{"hosts restart one after the other, hubs among them", func(l *limitTraffic) {
		for range 10 {
			n := len(l.fleet.hosts)
			if l.rnd.IntN(2) == 0 {
				n = min(3, n)
			}
			l.restart(l.fleet.hosts[l.rnd.IntN(n)])
			l.run(time.Duration(l.rnd.IntN(1500)) * time.Millisecond)
		}
		l.run(5 * time.Second)
	}},
	{"all hosts restart", func(l *limitTraffic) {
		l.restart(l.fleet.hosts...)
		l.run(10 * time.Second)
	}},
	{"a zone is isolated and reconnected", func(l *limitTraffic) {
		zone := l.fleet.hosts[l.rnd.IntN(len(l.fleet.hosts))].zone
		for range 3 {
			l.isolate(func(h *fleetHost) bool { return h.zone == zone })
			l.run(time.Duration(500+l.rnd.IntN(4000)) * time.Millisecond)
			l.isolate(nil)
			l.run(time.Duration(l.rnd.IntN(2500)) * time.Millisecond)
		}
		l.run(5 * time.Second)
	}},
	{"limits change", func(l *limitTraffic) {
		for range 8 {
			u := l.upstreams[l.rnd.IntN(len(l.upstreams))]
			u.limit *= ratelease.Limit(0.9 + 0.2*l.rnd.Float64())
			l.run(time.Second)
		}
	}},
}

// restart restarts the hosts, and excuses them until their hubs have had time to send them the
// limits.
func (l *limitTraffic) restart(hosts ...*fleetHost) {
	for _, h := range hosts {
		h.stop()
		delete(l.firstObservedAt, h)
		l.excusedUntil[h] = time.Now().Add(settleDelay)
		l.answers = slices.DeleteFunc(l.answers, func(a pendingAnswer) bool { return a.host == h })
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		h.mu.Lock()
		h.holding = ratelease.Holding{}
		h.mu.Unlock()
		l.fleet.start(h, false)
		time.Sleep(startInterval)
	}
}

// isolate disconnects the hosts for which isolated returns true, or reconnects all hosts if it
// is nil. Hosts that were disconnected are excused for settleDelay after that.
func (l *limitTraffic) isolate(isolated func(h *fleetHost) bool) {
	l.fleet.isolate(isolated)
	for _, h := range l.fleet.hosts {
		if isolated != nil && isolated(h) {
			l.excusedUntil[h] = time.Now().Add(time.Hour)
		} else if isolated == nil && !l.excusedUntil[h].IsZero() {
			l.excusedUntil[h] = time.Now().Add(settleDelay)
		}
	}
}

// However outdated the hosts' data about each other are, those that have observed a limit don't
// exceed it together. They use a part of the limit, and detect when it has ended.
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
	l := newLimitTraffic(f, rnd, 4+rnd.IntN(8))
	time.Sleep(5 * time.Second)
	from := time.Now()
	for _, u := range l.upstreams {
		u.from, u.until = from, from.Add(time.Hour)
	}
	l.run(5 * time.Second)
	scenario(l)
	span := time.Since(from)
	for _, u := range l.upstreams {
		u.until = time.Now()
	}
	var usedFraction, most, permitted float64
	for _, u := range l.upstreams {
		sends := maxPerWindow(u.informedSends, u.from.Add(settleDelay))
		if float64(sends) > u.limit.Permitted() {
			t.Errorf("limit of %v a second: %d requests in a window, %.0f permitted", u.limit, sends, u.limit.Permitted())
		}
		if float64(sends)/u.limit.Permitted() > most/max(1, permitted) {
			most, permitted = float64(sends), u.limit.Permitted()
		}
		usedFraction += float64(len(u.allSends)) / span.Seconds() / float64(u.limit+0.25)
	}
	l.run(15 * time.Second)
	stillLimited := 0
	for _, u := range l.upstreams {
		u.sendsAfterLimit = 0
	}
	l.run(2 * time.Second)
	for _, u := range l.upstreams {
		if float64(u.sendsAfterLimit) <= u.limit.Permitted()*2 {
			stillLimited++
		}
	}
	t.Logf("at most %.0f requests in a window, %.0f permitted; %.2f of the limits used; %d of %d upstreams still limited after the end",
		most, permitted, usedFraction/float64(len(l.upstreams)), stillLimited, len(l.upstreams))
	is.True(usedFraction/float64(len(l.upstreams)) > 0.3)
	is.Equal(stillLimited, 0)
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
