package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/evenhash"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
)

// largeFleet returns a fleet with the given number of engines, spread over zones z0, z1 and so on.
func largeFleet(engines, zones int) *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for i := range engines {
		f.ApplyEntry(Upstream{ID: fmt.Sprintf("i-%05d", i), Service: "svc", Zone: fmt.Sprint("z", i%zones), Version: "v1", Slots: 32}, 1)
	}
	return f
}

// sharedPrefixCriteria returns the criteria of a request to a host in zone z1 whose prompt begins
// with the given shared part.
func sharedPrefixCriteria(part string) criteria {
	crit := promptCriteria()
	crit.prompt = &placement.Prompt{Parts: []placement.Part{{ID: part, Tokens: 6000}, {ID: part + "-own", Tokens: 900}}, Tokens: 7000, SharedParts: 1}
	crit.keys = placement.PrefixKeys(crit.model, crit.prompt)
	return crit
}

func TestLargeServiceIsSampled(t *testing.T) {
	is := is.New(t)
	f := largeFleet(12_000, 32)
	crit := sharedPrefixCriteria("p")
	c, ok := f.choose(crit)
	is.True(ok)
	is.True(c.candidateCount <= maxCacheHolders+sameZoneDraws+otherZoneDraws+2)
	again, _ := f.choose(crit)
	is.Equal(again.upstream.ID, c.upstream.ID) // it has the prefix cached
	is.Equal(again.cachedPartCount, 2)
}

// Hosts with the same list of upstreams must compute the same owners of a shared prefix and send a
// prompt that isn't cached yet to one of them. The prefixes are distributed about evenly over the
// engines.
func TestHostsComputeTheSameOwners(t *testing.T) {
	is := is.New(t)
	const engines, parts = 1000, 4000
	one, other := largeFleet(engines, 5), largeFleet(engines, 5)
	now := time.Now()
	counts := make(map[*member]int)
	for i := range parts {
		crit := sharedPrefixCriteria(fmt.Sprint("part ", i))
		a, b := one.shard("svc").sampleCandidates(&crit, now), other.shard("svc").sampleCandidates(&crit, now)
		is.Equal(a.owner.ID, b.owner.ID)
		is.Equal(a.zoneOwner.ID, b.zoneOwner.ID)
		is.Equal(a.zoneOwner.Zone, "z1")
		counts[a.owner]++
		if i < 50 {
			c, _ := one.choose(crit)
			is.True(c.upstream.ID == a.owner.ID || c.upstream.ID == a.zoneOwner.ID)
			one.headReceived(&c, 50*time.Millisecond)
			one.release(c, attemptResult{outcome: outcomeDone})
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	is.True(len(counts) > engines*8/10)
	is.True(most < 6*parts/engines)
}

// If only one upstream of a large service accepts the request, it must be found although only a
// sample is considered at first.
func TestOnlyUsableUpstreamIsFound(t *testing.T) {
	is := is.New(t)
	f := largeFleet(500, 5)
	f.ApplyEntry(Upstream{ID: "only", Service: "svc", Zone: "z3", Version: "v2", Slots: 8}, 2)
	for _, crit := range []criteria{sharedPrefixCriteria("p"), {service: "svc", zone: "z1"}} {
		crit.admitsVersion = func(version string) bool { return version == "v2" }
		c, ok := f.choose(crit)
		is.True(ok)
		is.Equal(c.upstream.ID, "only")
	}
}

// The cached parts recorded for an engine must be dropped when it restarts or its record is
// deleted, so that they don't affect the choice.
func TestRemovedCacheHolders(t *testing.T) {
	is := is.New(t)
	f := largeFleet(500, 5)
	crit := sharedPrefixCriteria("p")
	c, _ := f.choose(crit)
	f.headReceived(&c, 50*time.Millisecond)
	f.release(c, attemptResult{outcome: outcomeDone})
	restarted := c.upstream
	restarted.Incarnation = firstStart
	f.ApplyEntry(restarted, 2)
	is.Equal(f.shard("svc").cachedPrompts.Len(), 0)
	for range 2000 {
		c, _ := f.choose(criteria{service: "svc", zone: restarted.Zone, admitsVersion: anyVersion})
		is.True(c.upstream.ID != restarted.ID || c.upstream.Incarnation == firstStart)
		f.release(c, attemptResult{outcome: outcomeDone})
	}
	again, _ := f.choose(crit)
	f.release(again, attemptResult{outcome: outcomeDone})
	f.RemoveEntry(again.upstream.ID, 3, false)
	f.DeleteOldRecords(time.Now().Add(2 * recordRetention))
	is.Equal(f.memberOf("svc", again.upstream.ID) == nil, true)
	is.Equal(f.shard("svc").cachedPrompts.Len(), 0)
}

// By the load data that all hosts have, three of a hundred engines are idle and the others are
// busy. Until the next update of the data, the hosts must not all choose these three. The number of
// hosts is large enough to measure the busiest engine's share of the requests to within a
// hundredth.
func TestHostsSpreadRequestsOnStaleLoadData(t *testing.T) {
	is := is.New(t)
	const hosts, engines, idle = 10_000, 100, 3
	f := largeFleet(engines, 5)
	work := make(exchange.Work)
	for j := idle; j < engines; j++ {
		work[exchange.HashID(fmt.Sprintf("i-%05d", j))] = 800
	}
	counts := make(map[string]int)
	for i := range hosts {
		f.setRemoteWork(work, time.Now())
		c, ok := f.choose(sharedPrefixCriteria(fmt.Sprint("part ", i)))
		is.True(ok)
		counts[c.upstream.ID]++
		f.release(c, attemptResult{outcome: outcomeAbandoned}) // the next host has no data on this request
	}
	most, toIdle := 0, 0
	for j := range engines {
		n := counts[fmt.Sprintf("i-%05d", j)]
		most = max(most, n)
		if j < idle {
			toIdle += n
		}
	}
	t.Logf("the busiest engine gets %.3f of the requests, the idle ones %.3f", float64(most)/hosts, float64(toIdle)/hosts)
	is.True(float64(most)/hosts < 0.3) // without sampling, the idle engines get all requests
	is.True(float64(toIdle)/hosts < 0.5)
}

// BenchmarkChoose measures the choice of an engine for a prompt and the release of the request.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{62, 1000, 12_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := largeFleet(engines, 5)
			requests := make([]criteria, 256)
			for i := range requests {
				requests[i] = sharedPrefixCriteria(fmt.Sprint("part ", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c, ok := f.choose(requests[i%len(requests)])
				if !ok {
					b.Fatal("no engine")
				}
				f.headReceived(&c, 50*time.Millisecond)
				f.release(c, attemptResult{outcome: outcomeDone})
			}
		})
	}
}

// fullRing returns the points of the rings of all zones, sorted as one ring.
func fullRing(f *Fleet) []ringPoint {
	var points []ringPoint
	s := f.shard("svc")
	s.index.builtAt = time.Time{}
	for _, z := range s.refreshIndex(time.Now()).zones {
		points = append(points, z.ring...)
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	return points
}

// An index to which changes were applied one by one must equal the index of a host that received
// the resulting upstreams in one listing.
func TestIndexAppliesChanges(t *testing.T) {
	is := is.New(t)
	const engines = 300
	f := largeFleet(engines, 5)
	for i := range 200 {
		id := fmt.Sprintf("i-%05d", i*7%engines)
		switch i % 3 {
		case 0:
			f.RemoveEntry(id, 2, false)
			f.DeleteOldRecords(time.Now().Add(2 * recordRetention))
		case 1:
			f.ApplyEntry(Upstream{ID: id, Service: "svc", Zone: fmt.Sprint("z", i%6), Version: "v1", Slots: 32}, 2)
		default:
			f.ApplyEntry(Upstream{ID: fmt.Sprint("new-", i), Service: "svc", Zone: "z9", Version: "v1", Slots: 32}, 2)
		}
		if i%10 == 0 {
			fullRing(f)
		}
	}
	listed := NewFleet(time.Second, zerolog.Nop())
	for _, m := range f.shard("svc").members {
		listed.ApplyEntry(m.Upstream, 3)
	}
	changed, relisted := fullRing(f), fullRing(listed)
	is.Equal(len(changed), len(relisted))
	is.Equal(len(changed), pointsPerMember*len(listed.shard("svc").members))
	for i := range changed {
		is.Equal(changed[i].at, relisted[i].at)
		is.Equal(changed[i].member.ID, relisted[i].member.ID)
	}
	is.Equal(len(f.shard("svc").index.zones), len(listed.shard("svc").index.zones))
}

// The owner among all zones must be the same as the one found in a single ring with the points of
// all zones.
func TestOwnerOverZones(t *testing.T) {
	is := is.New(t)
	f := largeFleet(40, 5)
	points := fullRing(f)
	for i := range 500 {
		subject := evenhash.Sum(fmt.Sprint("subject ", i))
		usable := func(m *member) bool { return evenhash.Sum(m.ID, fmt.Sprint(i))%16 == 0 }
		start, _ := slices.BinarySearchFunc(points, subject, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
		var want *member
		for j := range points {
			if m := points[(start+j)%len(points)].member; usable(m) {
				want = m
				break
			}
		}
		is.Equal(f.shard("svc").index.zones.owner(subject, usable), want)
	}
}

// BenchmarkIndexChange measures the update of the index after one of many upstreams was added.
func BenchmarkIndexChange(b *testing.B) {
	f := largeFleet(12_000, 5)
	s, now := f.shard("svc"), time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.ApplyEntry(Upstream{ID: fmt.Sprint("new-", i), Service: "svc", Zone: "z1", Version: "v1", Slots: 32}, 2)
		now = now.Add(indexMaxAge)
		s.refreshIndex(now)
	}
}
