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

// engineFleet returns a fleet with the engines a and b in the host's zone and c in another zone.
func engineFleet() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, zone := range map[string]string{"a": "z1", "b": "z1", "c": "z2"} {
		f.ApplyEntry(Upstream{ID: id, Service: "svc", Zone: zone, Version: "v1", Slots: 8}, 1)
	}
	return f
}

func anyVersion(string) bool { return true }

// unsharedPromptCriteria returns the criteria of a request whose prompt has the given number of
// tokens and no shared part.
func unsharedPromptCriteria(tokens int, excludedIDs ...string) criteria {
	return criteria{
		service: "svc", zone: "z1", admitsVersion: anyVersion, excludedIDs: excludedIDs, model: "m", priority: 5,
		prompt: &placement.Prompt{Tokens: tokens},
	}
}

func TestWorkInFlight(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	c, ok := f.choose(unsharedPromptCriteria(10_000, "a", "c"))
	is.True(ok)
	is.Equal(c.upstream.ID, "b")
	is.Equal(len(f.workInFlight()), 1)
	is.True(math.Abs(f.workInFlight()[exchange.HashID("b")]-float64(c.placement.PrefillTime.Milliseconds())) < 100) // the prefill has progressed
	f.headReceived(&c, time.Second)
	is.Equal(len(f.workInFlight()), 0) // the prefill is over
	f.headReceived(&c, time.Second)
	is.Equal(len(f.workInFlight()), 0) // a second call changes nothing
	f.release(c, attemptResult{})
	is.Equal(len(f.workInFlight()), 0)
}

// An engine processes one prompt after the other, so the work that several hosts report must add up
// to the sum of the prefill times, except for the prompt in progress.
func TestWorkOfSeveralHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 5
	now := time.Now()
	reported, work := 0.0, time.Duration(0)
	for i := range hosts {
		f := engineFleet()
		f.setRemoteWork(exchange.Work{exchange.HashID("b"): float64(work.Milliseconds())}, now)
		c, ok := f.choose(unsharedPromptCriteria(10_000, "a", "c"))
		is.True(ok)
		work += c.placement.PrefillTime
		m := f.memberOf("svc", "b")
		later := now.Add(c.placement.PrefillTime) // the first host's prefill is over
		reported += m.ownWork(later)
		if i == 0 {
			is.True(m.ownWork(later) >= minRemainingFraction*float64(c.placement.PrefillTime.Milliseconds())-1) // its answer is late
		}
	}
	is.True(reported >= 0.75*float64(work.Milliseconds()))
}

// A request whose answer never began must leave neither work nor cached parts recorded for the
// engine.
func TestFailedPrefillIsRemoved(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	crit := unsharedPromptCriteria(10_000, "a", "c")
	crit.prompt = &placement.Prompt{Tokens: 10_000, SharedParts: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	crit.keys = placement.PrefixKeys(crit.model, crit.prompt)
	c, _ := f.choose(crit)
	is.Equal(f.shard("svc").members["b"].cachedPartCount(crit.keys), 2)
	f.release(c, attemptResult{outcome: outcomeUnknown})
	is.Equal(f.shard("svc").members["b"].cachedPartCount(crit.keys), 0)
	is.Equal(f.shard("svc").members["b"].workAhead(9, time.Now()), time.Duration(0))
}

// The work of other hosts at an engine counts in the choice like the host's own work.
func TestRemoteWorkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	f.setRemoteWork(exchange.Work{exchange.HashID("a"): 3000, exchange.HashID("c"): 3000}, time.Now())
	for range 4 {
		c, _ := f.choose(unsharedPromptCriteria(1000))
		is.Equal(c.upstream.ID, "b")
	}
}

// A host records which shared prefixes engines have cached because of other hosts' requests.
func TestRemotePrefixesAreRecorded(t *testing.T) {
	is := is.New(t)
	prompt := &placement.Prompt{Tokens: 10_000, SharedParts: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	crit := unsharedPromptCriteria(0)
	crit.prompt, crit.keys = prompt, placement.PrefixKeys("m", prompt)
	one, other := engineFleet(), engineFleet()
	c, _ := one.choose(crit)
	other.addRemotePrefixes(one.takeSentPrefixes())
	is.Equal(len(one.takeSentPrefixes()), 0) // reported once
	is.Equal(other.shard("svc").members[c.upstream.ID].cachedPartCount(crit.keys), 1)
	again, _ := other.choose(crit)
	is.Equal(again.upstream.ID, c.upstream.ID)
	is.Equal(again.placement.UncachedTokens, 1_000)
}

// A prompt waits for the prompts with the same or a higher priority, and for the one in progress.
func TestWorkAheadDependsOnPriority(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	for range 5 {
		_, _ = f.choose(unsharedPromptCriteria(10_000, "a", "c"))
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
		{"too old", "z1", time.Second, now.Add(-exchange.MaxWorkAge - time.Millisecond), false},
		{"requests shorter than the interval", "z1", 50 * time.Millisecond, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := &member{Upstream: Upstream{Zone: test.zone}, shard: &shard{meanRequestTime: test.requestTime, remoteWork: exchange.Work{0: 2}, remoteWorkAt: test.at}, inFlight: 1}
			work, known := m.totalWork(now)
			is.Equal(known, test.known)
			from, _ := m.loadSource(now)
			is.Equal(from == loadFromExchange, test.known)
			if known {
				is.Equal(work, 3.0)
			}
		})
	}
}

// A host that just started has counted few requests, so that its budget permits few retries. It may
// also make its share of the spare retries once it has received the number of hosts.
func TestSpareRetries(t *testing.T) {
	is := is.New(t)
	g := New(Settings{RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetryHeadroom: 40}, zerolog.Nop())
	is.True(!g.retryBudgets.get("svc").tryTake()) // the number of hosts is unknown
	g.hostCount.Store(4)
	for range 5 {
		is.True(g.retryBudgets.get("svc").tryTake()) // half of 40 over four hosts
	}
	is.True(!g.retryBudgets.get("svc").tryTake())
	g.retryBudgets.get("svc").countRequest()
	is.True(!g.retryBudgets.get("svc").tryTake()) // one request permits less than one retry
}
