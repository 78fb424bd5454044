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

// engineFleet has engines a and b in the host's zone and c in another.
func engineFleet() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, zone := range map[string]string{"a": "z1", "b": "z1", "c": "z2"} {
		f.Set(Upstream{ID: id, Service: "svc", Zone: zone, Version: "v1", Slots: 8}, 1)
	}
	return f
}

func anyVersion(string) bool { return true }

// reads is a request with a prompt of so many tokens that nobody shares.
func reads(tokens int, exclude ...string) wants {
	return wants{
		service: "svc", zone: "z1", admits: anyVersion, exclude: exclude, model: "m", priority: 5,
		prompt: &placement.Prompt{Tokens: tokens},
	}
}

func TestWorkInFlight(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	c, ok := f.choose(reads(10_000, "a", "c"))
	is.True(ok)
	is.Equal(c.upstream.ID, "b")
	is.Equal(len(f.work()), 1)
	is.True(math.Abs(f.work()[exchange.NameOf("b")]-float64(c.placed.Reading.Milliseconds())) < 100) // it goes on
	f.began(&c, time.Second)
	is.Equal(len(f.work()), 0) // the prompt is read
	f.began(&c, time.Second)
	is.Equal(len(f.work()), 0) // once
	f.release(c, attemptResult{})
	is.Equal(len(f.work()), 0)
}

// An engine reads one prompt after the other, so what several hosts sent it takes the sum
// of their works, however long ago each sent its own.
func TestWorkOfSeveralHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 5
	now := time.Now()
	told, work := 0.0, time.Duration(0)
	for i := range hosts {
		f := engineFleet()
		f.setOthers(exchange.Work{exchange.NameOf("b"): float64(work.Milliseconds())}, now)
		c, ok := f.choose(reads(10_000, "a", "c"))
		is.True(ok)
		work += c.placed.Reading
		m := f.memberOf("svc", "b")
		later := now.Add(c.placed.Reading) // the first one's is read
		told += m.work(later)
		if i == 0 {
			is.True(m.work(later) >= unansweredPart*float64(c.placed.Reading.Milliseconds())-1) // its answer is late
		}
	}
	is.True(told >= 0.75*float64(work.Milliseconds()))
}

// Of an answer that never begins, nothing stays: neither the work nor the belief that the
// engine keeps the prompt.
func TestFailedReadingLeavesNothing(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	w := reads(10_000, "a", "c")
	w.prompt = &placement.Prompt{Tokens: 10_000, Shared: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	w.keys = placement.Keys(w.model, w.prompt)
	c, _ := f.choose(w)
	is.Equal(f.shard("svc").members["b"].kept(w.keys), 2)
	f.release(c, attemptResult{outcome: outcomeUnknown})
	is.Equal(f.shard("svc").members["b"].kept(w.keys), 0)
	is.Equal(f.shard("svc").members["b"].ahead(9, time.Now()), time.Duration(0))
}

// Other hosts' work counts in the choice as the host's own does.
func TestOthersWorkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	f.setOthers(exchange.Work{exchange.NameOf("a"): 3000, exchange.NameOf("c"): 3000}, time.Now())
	for range 4 {
		c, _ := f.choose(reads(1000))
		is.Equal(c.upstream.ID, "b")
	}
}

// What other hosts sent is known to be kept there.
func TestOthersReadsAreKnown(t *testing.T) {
	is := is.New(t)
	prompt := &placement.Prompt{Tokens: 10_000, Shared: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	w := reads(0)
	w.prompt, w.keys = prompt, placement.Keys("m", prompt)
	one, other := engineFleet(), engineFleet()
	c, _ := one.choose(w)
	other.noteReads(one.takeReads())
	is.Equal(len(one.takeReads()), 0) // told once
	is.Equal(other.shard("svc").members[c.upstream.ID].kept(w.keys), 1)
	again, _ := other.choose(w)
	is.Equal(again.upstream.ID, c.upstream.ID)
	is.Equal(again.placed.Missing, 1_000)
}

// A prompt waits for those that are as urgent and for the one that is being read.
func TestUrgentPromptsPassOthers(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	for range 5 {
		_, _ = f.choose(reads(10_000, "a", "c"))
	}
	m := f.shard("svc").members["b"]
	now := time.Now()
	all := m.ahead(5, now)
	is.True(all >= 5*10_000*50*time.Microsecond)
	is.True(m.ahead(0, now) < all/3)
	is.True(m.ahead(0, now) > 0)
}

func TestKnownWork(t *testing.T) {
	now := time.Now()
	tests := []struct {
		desc  string
		zone  string
		held  time.Duration
		at    time.Time
		known bool
	}{
		{"of this zone, fresh", "z1", time.Second, now, true},
		{"of another zone", "z2", time.Second, now, true},
		{"never heard", "z1", time.Second, time.Time{}, false},
		{"too old", "z1", time.Second, now.Add(-exchange.WorkAge - time.Millisecond), false},
		{"requests shorter than the interval", "z1", 50 * time.Millisecond, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := &member{Upstream: Upstream{Zone: test.zone}, shard: &shard{meanHeld: test.held, others: exchange.Work{0: 2}, othersAt: test.at}, inFlight: 1}
			work, known := m.knownWork(now)
			is.Equal(known, test.known)
			from, _ := m.loadSource(now)
			is.Equal(from == loadExchanged, test.known)
			if known {
				is.Equal(work, 3.0)
			}
		})
	}
}

// A host that just started has few requests to count repeats on; its part of the spare
// ones is known once it has heard of the other hosts.
func TestSpareRepeats(t *testing.T) {
	is := is.New(t)
	g := New(Settings{RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetrySpare: 40}, zerolog.Nop())
	is.True(!g.budgets.of("svc").take()) // how many hosts share them isn't known
	g.hosts.Store(4)
	for range 5 {
		is.True(g.budgets.of("svc").take()) // half of 40 over four hosts
	}
	is.True(!g.budgets.of("svc").take())
	g.budgets.of("svc").request()
	is.True(!g.budgets.of("svc").take()) // one request permits less than one repeat
}
