package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
)

// engineFleet returns a fleet with engines a and b in the host's zone and c in another.
func engineFleet() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, zone := range map[string]string{"a": "z1", "b": "z1", "c": "z2"} {
		f.Set(Upstream{ID: id, Service: "svc", Zone: zone, Version: "v1", Slots: 8}, 1)
	}
	return f
}

func anyVersion(string) bool { return true }

// promptOf returns the criteria of a request whose prompt has the number of tokens and no shared
// part.
func promptOf(tokens int, exclude ...string) criteria {
	return criteria{
		service: "svc", zone: "z1", admits: anyVersion, exclude: exclude, model: "m", priority: 5,
		prompt: &placement.Prompt{Tokens: tokens},
	}
}

func TestWorkInFlight(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	c, ok := f.choose(promptOf(10_000, "a", "c"))
	is.True(ok)
	is.Equal(c.upstream.ID, "b")
	is.Equal(len(f.work()), 1)
	is.True(math.Abs(f.work()[exchange.HashID("b")]-float64(c.placed.PrefillTime.Milliseconds())) < 100) // the prefill has progressed
	f.headReceived(&c, time.Second)
	is.Equal(len(f.work()), 0) // the prefill is over
	f.headReceived(&c, time.Second)
	is.Equal(len(f.work()), 0) // a second call changes nothing
	f.release(c, attemptResult{})
	is.Equal(len(f.work()), 0)
}

// An engine processes one prompt after the other, so the prompts of several hosts take the sum of
// their prefill times, however long ago each was sent.
func TestWorkOfSeveralHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 5
	now := time.Now()
	reported, work := 0.0, time.Duration(0)
	for i := range hosts {
		f := engineFleet()
		f.setRemoteWork(exchange.Work{exchange.HashID("b"): float64(work.Milliseconds())}, now)
		c, ok := f.choose(promptOf(10_000, "a", "c"))
		is.True(ok)
		work += c.placed.PrefillTime
		m := f.memberOf("svc", "b")
		later := now.Add(c.placed.PrefillTime) // the first host's prefill is over
		reported += m.work(later)
		if i == 0 {
			is.True(m.work(later) >= minRemainingFraction*float64(c.placed.PrefillTime.Milliseconds())-1) // its answer is late
		}
	}
	is.True(reported >= 0.75*float64(work.Milliseconds()))
}

// A request whose answer never begins leaves neither work nor cached parts at the engine.
func TestFailedPrefillIsRemoved(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	w := promptOf(10_000, "a", "c")
	w.prompt = &placement.Prompt{Tokens: 10_000, SharedParts: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	w.keys = placement.PrefixKeys(w.model, w.prompt)
	c, _ := f.choose(w)
	is.Equal(f.shard("svc").members["b"].cachedParts(w.keys), 2)
	f.release(c, attemptResult{outcome: outcomeUnknown})
	is.Equal(f.shard("svc").members["b"].cachedParts(w.keys), 0)
	is.Equal(f.shard("svc").members["b"].workAhead(9, time.Now()), time.Duration(0))
}

// Other hosts' work counts in the choice like the host's own.
func TestRemoteWorkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	f.setRemoteWork(exchange.Work{exchange.HashID("a"): 3000, exchange.HashID("c"): 3000}, time.Now())
	for range 4 {
		c, _ := f.choose(promptOf(1000))
		is.Equal(c.upstream.ID, "b")
	}
}

// The prefixes that other hosts sent are known to be cached at their engines.
func TestRemotePrefixesAreKnown(t *testing.T) {
	is := is.New(t)
	prompt := &placement.Prompt{Tokens: 10_000, SharedParts: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	w := promptOf(0)
	w.prompt, w.keys = prompt, placement.PrefixKeys("m", prompt)
	one, other := engineFleet(), engineFleet()
	c, _ := one.choose(w)
	other.addRemotePrefixes(one.takeSentPrefixes())
	is.Equal(len(one.takeSentPrefixes()), 0) // reported once
	is.Equal(other.shard("svc").members[c.upstream.ID].cachedParts(w.keys), 1)
	again, _ := other.choose(w)
	is.Equal(again.upstream.ID, c.upstream.ID)
	is.Equal(again.placed.UncachedTokens, 1_000)
}

// A prompt waits for those of the same or a higher priority and for the one in progress.
func TestUrgentPromptsOvertakeOthers(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	for range 5 {
		_, _ = f.choose(promptOf(10_000, "a", "c"))
	}
	m := f.shard("svc").members["b"]
	now := time.Now()
	all := m.workAhead(5, now)
	is.True(all >= 5*10_000*50*time.Microsecond)
	is.True(m.workAhead(0, now) < all/3)
	is.True(m.workAhead(0, now) > 0)
}

func TestTotalWork(t *testing.T) {
	now := time.Now()
	tests := []struct {
		desc        string
		zone        string
		requestTime time.Duration
		at          time.Time
		known       bool
	}{
		{"of this zone, recent", "z1", time.Second, now, true},
		{"of another zone", "z2", time.Second, now, true},
		{"never received", "z1", time.Second, time.Time{}, false},
		{"too old", "z1", time.Second, now.Add(-exchange.WorkAge - time.Millisecond), false},
		{"requests shorter than the interval", "z1", 50 * time.Millisecond, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := &member{Upstream: Upstream{Zone: test.zone}, shard: &shard{meanRequestTime: test.requestTime, remoteWork: exchange.Work{0: 2}, remoteWorkAt: test.at}, inFlight: 1}
			work, known := m.totalWork(now)
			is.Equal(known, test.known)
			from, _ := m.loadSource(now)
			is.Equal(from == loadExchanged, test.known)
			if known {
				is.Equal(work, 3.0)
			}
		})
	}
}

// A host that just started has few requests to base its retries on; its share of the spare retries
// is known once it has received the number of hosts.
func TestSpareRetries(t *testing.T) {
	is := is.New(t)
	g := New(Settings{RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetryHeadroom: 40}, zerolog.Nop())
	is.True(!g.budgets.get("svc").tryTake()) // the number of hosts is unknown
	g.hostCount.Store(4)
	for range 5 {
		is.True(g.budgets.get("svc").tryTake()) // half of 40 over four hosts
	}
	is.True(!g.budgets.get("svc").tryTake())
	g.budgets.get("svc").countRequest()
	is.True(!g.budgets.get("svc").tryTake()) // one request permits less than one retry
}
