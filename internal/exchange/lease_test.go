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

// The load of these tests: a zone's upstreams return at once, idle, and each host would
// send all that it has to them. Hosts send as much as their leases permit at every moment,
// so the greatest number that reaches an upstream in a second is what the leases permit.

// coldBound permits 32 requests in a second.
var coldBound = ratelease.Bound{Rate: 18, Overrun: 1.5, Spare: 5}

// coldSends are the sends to cold upstreams.
type coldSends struct {
	at map[ratelease.Upstream][]time.Time
	// windows are the hosts' own counts; a host that starts again has none.
	windows map[string]map[ratelease.Upstream]*ratelease.Window
	// careless is a host that sends what it likes; none if it is empty.
	careless string
}

func newColdSends() *coldSends {
	return &coldSends{at: make(map[ratelease.Upstream][]time.Time), windows: make(map[string]map[ratelease.Upstream]*ratelease.Window)}
}

// send has each host send what it may.
func (s *coldSends) send(f *fleet) {
	now := time.Now()
	for _, h := range f.hosts {
		h.mu.Lock()
		holding := h.holding
		h.mu.Unlock()
		windows := s.windows[h.name]
		if windows == nil {
			windows = make(map[ratelease.Upstream]*ratelease.Window)
			s.windows[h.name] = windows
		}
		if h.name == s.careless {
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
			for windows[u].Room(now, coldBound.Each(share)) {
				windows[u].Note(now)
				s.at[u] = append(s.at[u], now)
			}
		}
	}
}

// run sends for a span.
func (s *coldSends) run(f *fleet, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.send(f)
	}
}

// most is the greatest number of sends to one upstream in any second, rate the mean one.
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

// coldFleet is an installation with cold upstreams.
func coldFleet(t *testing.T, size fleetSize, cold int) *fleet {
	f := newFleet(t, size.hosts, size.zones, 10)
	for i := range cold {
		f.cold = append(f.cold, ratelease.UpstreamOf(fmt.Sprint("cold-", i)))
	}
	return f
}

// restart ends hosts and starts them again, a moment later.
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
		time.Sleep(startsApart)
	}
}

// isolate cuts the hosts that the function names from the others, or joins all of them.
func (f *fleet) isolate(apart func(h *fleetHost) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if apart == nil {
		f.cut = nil
		return
	}
	f.cut = func(from, to *fleetHost) bool { return apart(from) != apart(to) }
}

// coldScenes are what goes wrong while upstreams are cold.
var coldScenes = []struct {
	name string
	play func(f *fleet, s *coldSends, rnd *rand.Rand)
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

// sceneSizes are the installations that scenes are played on, sceneSeeds is with how many
// seeds each.
func sceneSizes() []fleetSize {
	if underRace {
		return []fleetSize{{7, 3}, {30, 3}}
	}
	return []fleetSize{{7, 3}, {77, 3}, {440, 32}}
}

func sceneSeeds(size fleetSize) uint64 {
	if size.hosts < 100 && !underRace {
		return 4
	}
	return 1
}

// Whatever hosts believe of each other, no cold upstream gets more than is permitted in
// any second.
func TestColdUpstreamsOfAFleet(t *testing.T) {
	for _, size := range sceneSizes() {
		seeds := sceneSeeds(size)
		for _, scene := range coldScenes {
			t.Run(fmt.Sprint(size.hosts, " hosts, ", scene.name), func(t *testing.T) {
				greatest, mean := 0, 0.0
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) {
						rnd := rand.New(rand.NewPCG(seed, 1))
						f := coldFleet(t, size, 20+rnd.IntN(81))
						s := newColdSends()
						s.run(f, 5*time.Second)
						scene.play(f, s, rnd)
						s.run(f, 2*time.Second)
						most, rate := s.most()
						greatest, mean = max(greatest, most), mean+rate/float64(seeds)
					})
				}
				t.Logf("%d in a second at most, %.0f permitted; %.1f a second in the mean", greatest, coldBound.Permitted(), mean)
				is := is.New(t)
				is.True(greatest <= int(coldBound.Permitted()))
				is.True(mean > coldBound.Rate/4) // they aren't left idle
			})
		}
	}
}

// One host that heeds no lease breaks the bound, and the count shows it.
func TestOneCarelessHostShows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := coldFleet(t, fleetSize{30, 3}, 20)
		s := newColdSends()
		s.careless = f.hosts[20].name
		s.run(f, 5*time.Second)
		most, _ := s.most()
		is.New(t).True(most > int(coldBound.Permitted()))
	})
}

func TestLeaseInMessages(t *testing.T) {
	is := is.New(t)
	for _, lease := range []Lease{
		{Grants: Grants{{Upstream: 1, Parts: 1, Of: 4}, {Upstream: 1 << 63, Parts: 16, Of: 16}}, ForMs: 900, Roots: 3},
		{Same: true, ForMs: 1200, Roots: 3},
	} {
		data, err := json.Marshal(Reply{Lease: lease})
		is.NoErr(err)
		var reply Reply
		is.NoErr(json.Unmarshal(data, &reply))
		is.Equal(reply.Lease, lease)
	}
}

// A host that has what it is granted isn't sent it again.
func TestLeaseThatIsTheSame(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub"}, zerolog.Nop())
	h.lessor = ratelease.NewLessor(boottime.Now().Add(-time.Minute))
	h.reports["host"] = received{at: boottime.Now(), hosts: 1}
	grants := []ratelease.Grant{{Upstream: 1, Parts: 4, Of: 4}, {Upstream: 2, Parts: 4, Of: 4}, {Upstream: 3, Parts: 4, Of: 4}}
	h.hold(ratelease.Root(grants, 3), boottime.Now())
	first := h.lease("host", 0)
	is.True(len(first.Grants) > 0 && !first.Same)
	again := h.lease("host", ratelease.Digest(first.Grants))
	is.Equal(again, Lease{Same: true, ForMs: again.ForMs, Roots: 3})
	is.Equal(again.lease(first.Grants).Grants, []ratelease.Grant(first.Grants))
	h.hold(ratelease.Root(grants[:1], 3), boottime.Now())
	is.True(!h.lease("host", ratelease.Digest(first.Grants)).Same)
}

// A seed that reports to another one of its zone uses its own root's part: nobody else has it.
func TestSeedThatReportsToAnotherUsesItsPart(t *testing.T) {
	is := is.New(t)
	grant := ratelease.Grant{Upstream: 1, Parts: 1, Of: 1}
	var held ratelease.Holding
	m := New(Options{
		Host: "second", Listen: "b", Seeds: []string{"a", "b", "c"},
		Leased:      func(int) []ratelease.Grant { return []ratelease.Grant{grant} },
		TakeHolding: func(h ratelease.Holding, _ time.Time) { held = h },
	}, zerolog.Nop())
	m.current = "a"
	share := func() ratelease.Share {
		m.holdOwn()
		s, _ := held.Share(1, boottime.Now())
		return s
	}
	is.Equal(share().Parts, 0) // leases of its former run may last
	m.hub.startedAt = boottime.Now().Add(-ratelease.Handover)
	is.Equal(share().Part(), 1.0/3)
	m.options.Listen = "d"
	is.Equal(share().Parts, 0) // it is no seed
}
