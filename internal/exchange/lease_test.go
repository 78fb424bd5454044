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
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// The load of these tests: all upstreams of a zone restart at once and are idle, and each host
// would send all its requests to them. Hosts always send as much as their leases permit, so the
// greatest number of requests that reaches an upstream in a second is what the leases permit.

// coldBound permits 32 requests a second.
var coldBound = ratelease.Bound{Rate: 18, Overrun: 1.5, Headroom: 5}

// coldSends records the requests sent to cold upstreams.
type coldSends struct {
	at map[ratelease.UpstreamID][]time.Time
	// windows holds the hosts' own counts; a host that restarts begins without any.
	windows map[string]map[ratelease.UpstreamID]*ratelease.Window
	// nonCompliant is a host that ignores its leases; empty for none.
	nonCompliant string
}

func newColdSends() *coldSends {
	return &coldSends{at: make(map[ratelease.UpstreamID][]time.Time), windows: make(map[string]map[ratelease.UpstreamID]*ratelease.Window)}
}

// send makes each host send as much as it may.
func (s *coldSends) send(f *fleet) {
	now := time.Now()
	for _, h := range f.hosts {
		h.mu.Lock()
		holding := h.holding
		h.mu.Unlock()
		windows := s.windows[h.name]
		if windows == nil {
			windows = make(map[ratelease.UpstreamID]*ratelease.Window)
			s.windows[h.name] = windows
		}
		if h.name == s.nonCompliant {
			for _, u := range f.cold {
				s.at[u] = append(s.at[u], now)
			}
			continue
		}
		for _, g := range holding.Lease(now).Grants {
			u := g.Upstream
			if windows[u] == nil {
				windows[u] = &ratelease.Window{}
			}
			share, _ := holding.Share(u, now)
			for windows[u].Allows(now, coldBound.RequestsPerSpan(share)) {
				windows[u].Record(now)
				s.at[u] = append(s.at[u], now)
			}
		}
	}
}

// run sends for the span.
func (s *coldSends) run(f *fleet, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.send(f)
	}
}

// most returns the greatest number of requests sent to one upstream in any second, and the mean
// rate.
func (s *coldSends) most() (most int, rate float64) {
	for _, at := range s.at {
		from := 0
		for i := range at {
			for at[i].Sub(at[from]) >= time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
		if span := at[len(at)-1].Sub(at[0]).Seconds(); span > 0 {
			rate += float64(len(at)) / span / float64(len(s.at))
		}
	}
	return most, rate
}

// coldFleet starts an installation with cold upstreams.
func coldFleet(t *testing.T, size fleetSize, cold int) *fleet {
	f := newFleet(t, size.hosts, size.zones, 10)
	for i := range cold {
		f.cold = append(f.cold, ratelease.NewUpstreamID(fmt.Sprint("cold-", i)))
	}
	return f
}

// restart stops the hosts and starts them again a moment later.
func (f *fleet) restart(s *coldSends, hosts ...*fleetHost) {
	for _, h := range hosts {
		h.stop()
		h.mu.Lock()
		h.holding = ratelease.Holding{}
		h.mu.Unlock()
		delete(s.windows, h.name)
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		f.start(h, false)
		time.Sleep(startInterval)
	}
}

// isolate disconnects the hosts that match from all others. A nil function reconnects all
// hosts.
func (f *fleet) isolate(isolated func(h *fleetHost) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isolated == nil {
		f.disconnected = nil
		return
	}
	f.disconnected = func(from, to *fleetHost) bool { return isolated(from) != isolated(to) }
}

// coldScenarios are faults that occur while upstreams are cold.
var coldScenarios = []struct {
	name string
	run  func(f *fleet, s *coldSends, rnd *rand.Rand)
}{
	{"nothing", func(f *fleet, s *coldSends, _ *rand.Rand) { s.run(f, 3*time.Second) }},
	{"all hosts start again", func(f *fleet, s *coldSends, _ *rand.Rand) {
		f.restart(s, f.hosts...)
		s.run(f, 6*time.Second)
	}},
	{"hosts start again one after the other, hubs among them", func(f *fleet, s *coldSends, rnd *rand.Rand) {
		for range 12 {
			n := len(f.hosts)
			if rnd.IntN(2) == 0 {
				n = min(3, n)
			}
			f.restart(s, f.hosts[rnd.IntN(n)])
			s.run(f, time.Duration(rnd.IntN(800))*time.Millisecond)
		}
	}},
	{"a zone is cut off, and joined again", func(f *fleet, s *coldSends, rnd *rand.Rand) {
		zone := f.hosts[rnd.IntN(len(f.hosts))].zone
		for range 3 {
			f.isolate(func(h *fleetHost) bool { return h.zone == zone })
			s.run(f, time.Duration(200+rnd.IntN(3000))*time.Millisecond)
			f.isolate(nil)
			s.run(f, time.Duration(rnd.IntN(1500))*time.Millisecond)
		}
	}},
	{"single hosts are cut off", func(f *fleet, s *coldSends, rnd *rand.Rand) {
		for range 8 {
			apart := f.hosts[rnd.IntN(len(f.hosts))]
			f.isolate(func(h *fleetHost) bool { return h == apart })
			s.run(f, time.Duration(rnd.IntN(1500))*time.Millisecond)
		}
		f.isolate(nil)
		s.run(f, time.Second)
	}},
	{"other upstreams become cold every moment", func(f *fleet, s *coldSends, rnd *rand.Rand) {
		all := f.cold
		for range 10 {
			f.mu.Lock()
			f.cold = slices.Clone(all[:1+rnd.IntN(len(all))])
			f.mu.Unlock()
			s.run(f, time.Duration(rnd.IntN(1000))*time.Millisecond)
		}
	}},
}

// scenarioSizes returns the installations that scenarios run on; scenarioSeeds returns the
// number of random seeds for each.
func scenarioSizes() []fleetSize {
	if raceEnabled {
		return []fleetSize{{7, 3}, {30, 3}}
	}
	return []fleetSize{{7, 3}, {77, 3}, {440, 32}}
}

func scenarioSeeds(size fleetSize) uint64 {
	if size.hosts < 100 && !raceEnabled {
		return 4
	}
	return 1
}

// Whatever stale data the hosts have of each other, no cold upstream gets more requests in any
// second than the bound permits.
func TestColdUpstreamsOfAFleet(t *testing.T) {
	for _, size := range scenarioSizes() {
		seeds := scenarioSeeds(size)
		for _, scenario := range coldScenarios {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", scenario.name), func(t *testing.T) {
				greatest, mean := 0, 0.0
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) {
						rnd := rand.New(rand.NewPCG(seed, 1))
						f := coldFleet(t, size, 20+rnd.IntN(81))
						s := newColdSends()
						s.run(f, 5*time.Second)
						scenario.run(f, s, rnd)
						s.run(f, 2*time.Second)
						most, rate := s.most()
						greatest, mean = max(greatest, most), mean+rate/float64(seeds)
					})
				}
				t.Logf("%d in a second at most, %.0f permitted; %.1f a second in the mean", greatest, coldBound.Permitted(), mean)
				is := is.New(t)
				is.True(greatest <= int(coldBound.Permitted()))
				is.True(mean > coldBound.Rate/4) // the upstreams aren't left idle
			})
		}
	}
}

// A single host that ignores its leases exceeds the bound, and the test's count detects it.
func TestNonCompliantHostExceedsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := coldFleet(t, fleetSize{30, 3}, 20)
		s := newColdSends()
		s.nonCompliant = f.hosts[20].name
		s.run(f, 5*time.Second)
		most, _ := s.most()
		is.New(t).True(most > int(coldBound.Permitted()))
	})
}

func TestLeaseOnTheWire(t *testing.T) {
	is := is.New(t)
	for _, lease := range []Lease{
		{Grants: Grants{{Upstream: 1, Parts: 1, Of: 4}, {Upstream: 1 << 63, Parts: 16, Of: 16}}, ForMs: 900, Roots: 3},
		{Unchanged: true, ForMs: 1200, Roots: 3},
	} {
		data, err := json.Marshal(Reply{Lease: lease})
		is.NoErr(err)
		var reply Reply
		is.NoErr(json.Unmarshal(data, &reply))
		is.Equal(reply.Lease, lease)
	}
}

// A host isn't sent grants again that it already has.
func TestUnchangedLeaseIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub"}, zerolog.Nop())
	h.lessor = ratelease.NewLessor(boottime.Now().Add(-time.Minute))
	h.reports["host"] = receivedReport{at: boottime.Now(), hosts: 1}
	grants := []ratelease.Grant{{Upstream: 1, Parts: 4, Of: 4}, {Upstream: 2, Parts: 4, Of: 4}, {Upstream: 3, Parts: 4, Of: 4}}
	h.assignLease(ratelease.RootLease(grants, 3), boottime.Now())
	first := h.leaseFor("host", 0)
	is.True(len(first.Grants) > 0 && !first.Unchanged)
	again := h.leaseFor("host", ratelease.Digest(first.Grants))
	is.Equal(again, Lease{Unchanged: true, ForMs: again.ForMs, Roots: 3})
	is.Equal(again.decode(first.Grants).Grants, []ratelease.Grant(first.Grants))
	h.assignLease(ratelease.RootLease(grants[:1], 3), boottime.Now())
	is.True(!h.leaseFor("host", ratelease.Digest(first.Grants)).Unchanged)
}

// A seed that reports to another seed of its zone uses its own root's part, which no other host
// has.
func TestSeedThatReportsToAnotherUsesItsPart(t *testing.T) {
	is := is.New(t)
	grant := ratelease.Grant{Upstream: 1, Parts: 1, Of: 1}
	var held ratelease.Holding
	m := New(Options{
		Host: "second", Listen: "b", Seeds: []string{"a", "b", "c"},
		RootGrants: func(int) []ratelease.Grant { return []ratelease.Grant{grant} },
		OnHolding:  func(h ratelease.Holding, _ time.Time) { held = h },
	}, zerolog.Nop())
	m.current = "a"
	share := func() ratelease.Share {
		m.applyOwnLease()
		s, _ := held.Share(1, boottime.Now())
		return s
	}
	is.Equal(share().Parts, 0) // leases from before its restart may still be valid
	m.hub.startedAt = boottime.Now().Add(-ratelease.HandoverDelay)
	is.Equal(share().Part(), 1.0/3)
	m.options.Listen = "d"
	is.Equal(share().Parts, 0) // the host isn't a seed
}
