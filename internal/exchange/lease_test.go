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
// would send all its requests to them. Hosts always send as many requests as their leases
// permit, so the maximum number that reaches an upstream in a second is what the leases permit.

// coldBound permits 32 requests a second to a cold upstream.
var coldBound = ratelease.ColdBound{Rate: 18, Overrun: 1.5, Headroom: 5}

// coldRequests records the requests that hosts send to cold upstreams.
type coldRequests struct {
	at map[ratelease.UpstreamID][]time.Time
	// windows holds each host's own counts of the requests that it sent; a host that restarts
	// begins without any.
	windows map[string]map[ratelease.UpstreamID]*ratelease.Window
	// nonCompliant is the name of a host that ignores its leases; empty for none.
	nonCompliant string
}

func newColdRequests() *coldRequests {
	return &coldRequests{at: make(map[ratelease.UpstreamID][]time.Time), windows: make(map[string]map[ratelease.UpstreamID]*ratelease.Window)}
}

// send makes each host send all the requests that its leases permit now.
func (s *coldRequests) send(f *fleet) {
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

// run makes the hosts send requests for the span.
func (s *coldRequests) run(f *fleet, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.send(f)
	}
}

// maxPerSecond returns the maximum number of requests sent to one upstream in any second, and
// the mean rate per upstream in requests a second.
func (s *coldRequests) maxPerSecond() (maxPerSecond int, meanRate float64) {
	for _, at := range s.at {
		from := 0
		for i := range at {
			for at[i].Sub(at[from]) >= time.Second {
				from++
			}
			maxPerSecond = max(maxPerSecond, i-from+1)
		}
		if span := at[len(at)-1].Sub(at[0]).Seconds(); span > 0 {
			meanRate += float64(len(at)) / span / float64(len(s.at))
		}
	}
	return maxPerSecond, meanRate
}

// coldFleet starts an installation with the given number of cold upstreams.
func coldFleet(t *testing.T, size fleetSize, cold int) *fleet {
	f := newFleet(t, size.hosts, size.zones, 10)
	for i := range cold {
		f.cold = append(f.cold, ratelease.NewUpstreamID(fmt.Sprint("cold-", i)))
	}
	return f
}

// restart stops the hosts, and starts them again without their data 50 ms later.
func (f *fleet) restart(requests *coldRequests, hosts ...*fleetHost) {
	for _, h := range hosts {
		h.stop()
		h.mu.Lock()
		h.holding = ratelease.Holding{}
		h.mu.Unlock()
		delete(requests.windows, h.name)
	}
	time.Sleep(50 * time.Millisecond)
	for _, h := range hosts {
		f.start(h, false)
		time.Sleep(startInterval)
	}
}

// isolate disconnects the hosts for which isolated returns true from all others. A nil function
// reconnects all hosts.
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
	run  func(f *fleet, s *coldRequests, rnd *rand.Rand)
}{
	{"nothing", func(f *fleet, s *coldRequests, _ *rand.Rand) { s.run(f, 3*time.Second) }},
	{"all hosts restart", func(f *fleet, s *coldRequests, _ *rand.Rand) {
		f.restart(s, f.hosts...)
		s.run(f, 6*time.Second)
	}},
	{"hosts restart one after the other, hubs among them", func(f *fleet, s *coldRequests, rnd *rand.Rand) {
		for range 12 {
			n := len(f.hosts)
			if rnd.IntN(2) == 0 {
				n = min(3, n)
			}
			f.restart(s, f.hosts[rnd.IntN(n)])
			s.run(f, time.Duration(rnd.IntN(800))*time.Millisecond)
		}
	}},
	{"a zone is isolated and reconnected", func(f *fleet, s *coldRequests, rnd *rand.Rand) {
		zone := f.hosts[rnd.IntN(len(f.hosts))].zone
		for range 3 {
			f.isolate(func(h *fleetHost) bool { return h.zone == zone })
			s.run(f, time.Duration(200+rnd.IntN(3000))*time.Millisecond)
			f.isolate(nil)
			s.run(f, time.Duration(rnd.IntN(1500))*time.Millisecond)
		}
	}},
	{"single hosts are isolated", func(f *fleet, s *coldRequests, rnd *rand.Rand) {
		for range 8 {
			isolated := f.hosts[rnd.IntN(len(f.hosts))]
			f.isolate(func(h *fleetHost) bool { return h == isolated })
			s.run(f, time.Duration(rnd.IntN(1500))*time.Millisecond)
		}
		f.isolate(nil)
		s.run(f, time.Second)
	}},
	{"the set of cold upstreams changes often", func(f *fleet, s *coldRequests, rnd *rand.Rand) {
		all := f.cold
		for range 10 {
			f.mu.Lock()
			f.cold = slices.Clone(all[:1+rnd.IntN(len(all))])
			f.mu.Unlock()
			s.run(f, time.Duration(rnd.IntN(1000))*time.Millisecond)
		}
	}},
}

// scenarioSizes returns the sizes of the installations that the scenarios run on. scenarioSeeds
// returns the number of random seeds for a size.
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

// However outdated the hosts' data about each other are, no cold upstream receives more
// requests in any second than coldBound permits.
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
						s := newColdRequests()
						s.run(f, 5*time.Second)
						scenario.run(f, s, rnd)
						s.run(f, 2*time.Second)
						most, rate := s.maxPerSecond()
						greatest, mean = max(greatest, most), mean+rate/float64(seeds)
					})
				}
				t.Logf("at most %d requests in a second, %.0f permitted; mean rate %.1f a second", greatest, coldBound.Permitted(), mean)
				is := is.New(t)
				is.True(greatest <= int(coldBound.Permitted()))
				is.True(mean > coldBound.Rate/4) // the hosts use a part of what is permitted
			})
		}
	}
}

// If a single host ignores its leases, upstreams receive more requests than coldBound permits.
// This shows that the count in these tests detects such a fault.
func TestNonCompliantHostExceedsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := coldFleet(t, fleetSize{30, 3}, 20)
		s := newColdRequests()
		s.nonCompliant = f.hosts[20].name
		s.run(f, 5*time.Second)
		most, _ := s.maxPerSecond()
		is.New(t).True(most > int(coldBound.Permitted()))
	})
}

func TestLeaseOnTheWire(t *testing.T) {
	is := is.New(t)
	for _, lease := range []Lease{
		{Grants: Grants{{Upstream: 1, Parts: 1, PartsPerRoot: 4}, {Upstream: 1 << 63, Parts: 16, PartsPerRoot: 16}}, ForMs: 900, Roots: 3},
		{Unchanged: true, ForMs: 1200, Roots: 3},
	} {
		data, err := json.Marshal(Reply{Lease: lease})
		is.NoErr(err)
		var reply Reply
		is.NoErr(json.Unmarshal(data, &reply))
		is.Equal(reply.Lease, lease)
	}
}

// A host that already has the grants of its new lease isn't sent them again.
func TestUnchangedLeaseIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub"}, zerolog.Nop())
	h.lessor = ratelease.NewLessor(boottime.Now().Add(-time.Minute))
	h.reports["host"] = receivedReport{at: boottime.Now(), hosts: 1}
	grants := []ratelease.Grant{{Upstream: 1, Parts: 4, PartsPerRoot: 4}, {Upstream: 2, Parts: 4, PartsPerRoot: 4}, {Upstream: 3, Parts: 4, PartsPerRoot: 4}}
	h.divideLease(ratelease.RootLease(grants, 3), boottime.Now())
	first := h.leaseFor("host", 0)
	is.True(len(first.Grants) > 0 && !first.Unchanged)
	again := h.leaseFor("host", ratelease.GrantsDigest(first.Grants))
	is.Equal(again, Lease{Unchanged: true, ForMs: again.ForMs, Roots: 3})
	is.Equal(again.decode(first.Grants).Grants, []ratelease.Grant(first.Grants))
	h.divideLease(ratelease.RootLease(grants[:1], 3), boottime.Now())
	is.True(!h.leaseFor("host", ratelease.GrantsDigest(first.Grants)).Unchanged)
}

// A seed that reports to another seed of its zone uses the part that it holds as a root hub
// itself, since no other host is granted it.
func TestSeedThatReportsToAnotherUsesItsPart(t *testing.T) {
	is := is.New(t)
	grant := ratelease.Grant{Upstream: 1, Parts: 1, PartsPerRoot: 1}
	var held ratelease.Holding
	m := New(Options{
		Host: "second", Listen: "b", Seeds: []string{"a", "b", "c"},
		RootGrants: func(int) []ratelease.Grant { return []ratelease.Grant{grant} },
		OnHolding:  func(h ratelease.Holding, _ time.Time) { held = h },
	}, zerolog.Nop())
	m.hubAddress = "a"
	share := func() ratelease.Share {
		m.renewHolding()
		s, _ := held.Share(1, boottime.Now())
		return s
	}
	is.Equal(share().Parts, 0) // leases that it granted before a restart may still be valid
	m.ownHub.startedAt = boottime.Now().Add(-ratelease.HandoverDelay)
	is.Equal(share().Fraction(), 1.0/3)
	m.options.Listen = "d"
	is.Equal(share().Parts, 0) // the host isn't a seed
}
