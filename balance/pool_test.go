package balance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func TestLeavingEndsOnlyWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	pool, clock, list := newTestPool(t, "a", "b")
	is.True(pool.SetLeaving("a", 7))
	is.True(!pool.SetLeaving("a", 7)) // the same version again
	clock.Advance(time.Hour)
	pool.Update(list) // an outdated list still reports the upstream as live
	pool.Report("a", newLoad(0), clock.Now())
	is.True(findUpstream(pool, "a").Leaving)
	is.True(!pool.Begin("a"))

	pool.Update(list[1:])
	clock.Advance(DefaultAbsentFor - 1)
	pool.Update(list) // an outdated list after a short absence
	is.True(findUpstream(pool, "a").Leaving)

	pool.Update(list[1:])
	clock.Advance(DefaultAbsentFor)
	pool.Update(list) // a new incarnation
	is.True(!findUpstream(pool, "a").Leaving)
	is.True(!pool.SetLeaving("a", 7)) // a fact of the earlier incarnation
	is.True(!findUpstream(pool, "a").Leaving)
	is.True(pool.SetLeaving("a", 8))
	is.True(findUpstream(pool, "a").Leaving)
}

// A request that waited for a connection must not be sent to an upstream that left the host list meanwhile.
func TestRequestIsSentToAnUpstreamThatLeftTheList(t *testing.T) {
	is := is.New(t)
	pool, _, list := newTestPool(t, "a", "b")
	is.True(pool.Begin("a"))
	is.True(pool.MaySend("a"))
	pool.Update(list[1:])
	is.True(!pool.MaySend("a"))
	pool.Update(list)
	is.True(pool.MaySend("a"))
}

func TestLeavingSources(t *testing.T) {
	tests := []struct {
		desc  string
		apply func(pool *Pool, list []storage.Host)
	}{
		{"host list", func(pool *Pool, list []storage.Host) {
			list[0].State = storage.HostLeaving
			pool.Update(list)
		}},
		{"load report", func(pool *Pool, _ []storage.Host) {
			pool.Report("a", upstream.Load{Leaving: true}, start.Add(time.Second))
		}},
		{"answer", func(pool *Pool, _ []storage.Host) {
			pool.Begin("a")
			pool.End("a", Outcome{Refused: true, Leaving: true})
		}},
		{"peer", func(pool *Pool, _ []storage.Host) { pool.SetLeaving("a", 1) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			pool, _, list := newTestPool(t, "a")
			tt.apply(pool, list)
			_, ok := pool.Choose(modelRequest)
			is.True(!ok)
		})
	}
}

func TestLeavingFactBeforeTheList(t *testing.T) {
	is := is.New(t)
	pool, _, list := newTestPool(t, "a")
	pool.SetLeaving("new", 3)
	pool.Update(append(list, newHost("new")))
	is.True(findUpstream(pool, "new").Leaving)
}

func TestReportsCorrectTheLoad(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a")
	clock.Advance(time.Second)
	pool.Begin("a")
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 1)
	reported := newLoad(5)
	reported.AgeMs = 2000 // the report was taken before the request began
	pool.Report("a", reported, clock.Now().Add(1500*time.Millisecond))
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 6)
	pool.Report("a", newLoad(0), start) // older than the last report, so ignored
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 6)
	pool.Report("a", newLoad(0), clock.Now().Add(2*time.Second))
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 1) // not below this host's requests in flight
	pool.End("a", Outcome{TimeToFirstToken: 80 * time.Millisecond})
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 0)
	is.Equal(findUpstream(pool, "a").LatencyMs, 80.0)
}

func TestImplausibleReportIsCorrected(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a")
	pool.SetHosts(7)
	for range 4 {
		pool.Begin("a")
	}
	clock.Advance(time.Second)
	pool.Report("a", newLoad(0), clock.Now())
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 14) // half of 4 requests times 7 hosts
}

func TestFastFailuresDoNotAttractRequests(t *testing.T) {
	is := is.New(t)
	pool, _, _ := newTestPool(t, "a", "b", "c")
	counts := map[string]int{}
	for range 300 {
		choice, ok := pool.Choose(modelRequest)
		is.True(ok)
		id := choice.Upstream.ID
		is.True(pool.Begin(id))
		counts[id]++
		if id == "a" { // fails at once; the requests at the others stay in flight
			pool.End(id, Outcome{Failed: true})
		}
	}
	is.True(counts["a"] <= DefaultConsecutiveErrors)
}

func TestEjectionBacksOffAndEnds(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a", "b")
	fail := func() {
		pool.Begin("a")
		pool.End("a", Outcome{Failed: true})
	}
	for range DefaultConsecutiveErrors {
		fail()
	}
	first := findUpstream(pool, "a").EjectedUntil.Sub(clock.Now())
	is.True(first >= DefaultEjectBase/2 && first <= DefaultEjectBase*3/2)
	clock.Advance(first)
	fail() // one error after an ejection
	second := findUpstream(pool, "a").EjectedUntil.Sub(clock.Now())
	is.True(second >= DefaultEjectBase && second <= DefaultEjectBase*3)
	clock.Advance(second)
	pool.Begin("a")
	pool.End("a", Outcome{})
	fail()
	is.True(!findUpstream(pool, "a").EjectedUntil.After(clock.Now()))
}

func TestRefusalCountsAsFull(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a", "b")
	pool.Begin("a")
	pool.End("a", Outcome{Failed: true, Refused: true})
	for range 20 {
		choice, _ := pool.Choose(modelRequest)
		is.Equal(choice.Upstream.ID, "b")
	}
	clock.Advance(time.Second)
	pool.Report("a", newLoad(0), clock.Now())
	is.Equal(CorrectedLoad(findUpstream(pool, "a")), 0)
	is.True(findUpstream(pool, "a").ErrorRate > 0) // the reported load didn't explain the refusal
}

func TestRefusalOfABusyUpstreamIsNoError(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a", "b")
	clock.Advance(time.Second)
	pool.Report("a", newLoad(10), clock.Now())
	pool.Begin("a")
	pool.End("a", Outcome{Failed: true, Refused: true})
	is.Equal(findUpstream(pool, "a").ErrorRate, 0.0)
}

func TestPoolConcurrently(t *testing.T) {
	is := is.New(t)
	var list []storage.Host
	for i := range 20 {
		list = append(list, newHost(fmt.Sprint("h", i)))
	}
	pool := NewPool(Options{Host: "entry-1", Zone: "a", Seed: 1})
	pool.Update(list)
	for _, h := range list {
		pool.Report(h.ID, newLoad(0), time.Now())
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 200 {
				choice, ok := pool.Choose(modelRequest)
				if !ok || !pool.Begin(choice.Upstream.ID) {
					continue
				}
				pool.Index().RecordSent(choice.Upstream.ID, []uint64{uint64(i)})
				pool.Report(choice.Upstream.ID, newLoad(i%10), time.Now())
				pool.End(choice.Upstream.ID, Outcome{TimeToFirstToken: time.Millisecond})
			}
		})
	}
	wg.Go(func() {
		for i := range 50 {
			pool.Update(list[i%5:])
		}
	})
	wg.Wait()
	for _, u := range pool.View() {
		is.Equal(u.InFlight, 0)
	}
}

func TestReportWithoutVersionsKeepsThem(t *testing.T) {
	is := is.New(t)
	pool, clock, _ := newTestPool(t, "a")
	clock.Advance(time.Second)
	pool.Report("a", upstream.Load{Running: 3, Capacity: 10}, clock.Now()) // from the header of an answer
	is.Equal(findUpstream(pool, "a").Versions, []string{"m@1"})
	clock.Advance(time.Second)
	pool.Report("a", upstream.Load{Versions: []string{}}, clock.Now()) // all versions unloaded
	is.Equal(len(findUpstream(pool, "a").Versions), 0)
}
