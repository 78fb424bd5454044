package ratelease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestColdBound(t *testing.T) {
	tests := []struct {
		bound           ratelease.ColdBound
		roots           int
		parts           int
		requestsPerPart int // part
	}{
		{ratelease.ColdBound{Rate: 18, Overrun: 1.5, Headroom: 5}, 1, 4, 6},
		{ratelease.ColdBound{Rate: 18, Overrun: 1.5, Headroom: 5}, 3, 4, 2},
		{ratelease.ColdBound{Rate: 18, Overrun: 1.5, Headroom: 5}, 0, 4, 6}, // a host with no root hubs in its settings
		{ratelease.ColdBound{Rate: 4, Overrun: 1.5, Headroom: 5}, 3, 1, 2},
		{ratelease.ColdBound{Rate: 1, Overrun: 1}, 3, 1, 0}, // less than one request for each of three roots
		{ratelease.ColdBound{Rate: 4}, 1, 1, 3},             // an Overrun below 1 counts as 1
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(test.bound.Parts(test.roots), test.parts)
		share := ratelease.Share{Parts: 1, PartsPerRoot: test.parts, Roots: test.roots}
		is.Equal(test.bound.RequestsPerSpan(share), test.requestsPerPart)
		share.Parts = test.parts
		leasedRequests := max(1, test.roots) * test.bound.RequestsPerSpan(share)
		is.True(float64(leasedRequests) <= 0.75*test.bound.Permitted())
	}
}

// No interval of WindowSpan contains more sends than permitted, wherever it begins.
func TestWindow(t *testing.T) {
	const maxSends = 5
	is := is.New(t)
	var w ratelease.Window
	var sent []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(7 * time.Millisecond) {
		if w.Allows(now, maxSends) {
			w.Record(now)
			sent = append(sent, now)
		}
	}
	is.True(len(sent) >= maxSends*9)
	for i := range len(sent) - maxSends {
		is.True(sent[i+maxSends].Sub(sent[i]) >= ratelease.WindowSpan)
	}
}

func TestHoldingExpiresByTheHoldersClock(t *testing.T) {
	is := is.New(t)
	h := ratelease.NewHolding(ratelease.Lease{Grants: wholeGrants(1), Duration: time.Hour, Roots: 3}, start, nil)
	is.Equal(heldParts(&h, 1, start.Add(ratelease.LeaseDuration-1)), 1)
	is.Equal(heldParts(&h, 1, start.Add(ratelease.LeaseDuration)), 0) // although the lease names an hour
	is.Equal(heldParts(&h, 2, start), 0)
	is.Equal(h.Lease(start.Add(ratelease.LeaseDuration-time.Millisecond)).Duration, time.Millisecond)
	is.Equal(len(h.Lease(start.Add(ratelease.LeaseDuration)).Grants), 0)
	var none ratelease.Holding
	is.Equal(heldParts(&none, 0, start), 0)
}

// wholeGrants returns grants of upstreams that are split into one part each.
func wholeGrants(upstreams ...ratelease.UpstreamID) []ratelease.Grant {
	var grants []ratelease.Grant
	for _, u := range upstreams {
		grants = append(grants, ratelease.Grant{Upstream: u, Parts: 1, PartsPerRoot: 1})
	}
	return grants
}

func heldParts(h *ratelease.Holding, u ratelease.UpstreamID, now time.Time) int {
	share, _ := h.Share(u, now)
	return share.Parts
}

// requestLease returns the lease that the lessor grants to a reporter, and checks the digest.
func requestLease(l *ratelease.Lessor, reporter string, now time.Time) ratelease.Lease {
	lease, digest := l.Lease(reporter, now)
	if digest != ratelease.GrantsDigest(lease.Grants) {
		panic("the digest isn't that of the grants")
	}
	return lease
}

// countParts returns the total number of parts.
func countParts(grants []ratelease.Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Parts
	}
	return n
}

// holdersOf assigns the only part of the upstream, requests a lease for each reporter, and returns
// the reporters that got the part.
func holdersOf(l *ratelease.Lessor, reporters map[string]int, u ratelease.UpstreamID, now time.Time) []string {
	var names []string
	l.Assign(ratelease.RootLease(wholeGrants(u), 1), reporters, now)
	for name := range reporters {
		if lease := requestLease(l, name, now); len(lease.Grants) == 1 {
			names = append(names, name)
		}
	}
	return names
}

func TestLessor(t *testing.T) {
	is := is.New(t)
	l := ratelease.NewLessor(start)
	all := map[string]int{"a": 1, "b": 1, "c": 1}
	// Leases of the host's previous run may still be valid.
	is.Equal(len(holdersOf(l, all, 1, start.Add(ratelease.HandoverDelay-1))), 0)
	now := start.Add(ratelease.HandoverDelay)
	first := holdersOf(l, all, 1, now)
	is.Equal(len(first), 1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		is.Equal(holdersOf(l, all, 1, now), first) // the lease stays with its holder
	}
	remaining := map[string]int{"d": 1}
	for name := range all {
		if name != first[0] {
			remaining[name] = 1
		}
	}
	// A holder that no longer reports may send until its lease expires, and its requests stay in
	// the window for some time longer.
	is.Equal(len(holdersOf(l, remaining, 1, now.Add(ratelease.LeaseDuration+ratelease.WindowSpan))), 0)
	next := holdersOf(l, remaining, 1, now.Add(ratelease.LeaseDuration+ratelease.HandoverDelay))
	is.Equal(len(next), 1)
	is.True(next[0] != first[0])
}

// Reporters get leases in proportion to the number of hosts that each represents: here a fifth,
// or 1,000 of 5,000 upstreams, and four fifths.
func TestLeasesAreSpreadByHosts(t *testing.T) {
	is := is.New(t)
	l := ratelease.NewLessor(start)
	reporters := map[string]int{"small": 1, "large": 4}
	upstreamsHeld := make(map[string]int)
	for u := range ratelease.UpstreamID(5000) {
		for _, name := range holdersOf(l, reporters, u, start.Add(ratelease.HandoverDelay)) {
			upstreamsHeld[name]++
		}
	}
	is.Equal(upstreamsHeld["small"]+upstreamsHeld["large"], 5000)
	is.True(upstreamsHeld["small"] > 800 && upstreamsHeld["small"] < 1200)
}

// Two reporters get all parts of all upstreams of a large installation at once.
func TestLeaseOfManyUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams = 12_000
	var grants []ratelease.Grant
	for u := range ratelease.UpstreamID(upstreams) {
		grants = append(grants, ratelease.Grant{Upstream: u, Parts: 2, PartsPerRoot: 2})
	}
	l := ratelease.NewLessor(start)
	l.Assign(ratelease.RootLease(grants, 3), map[string]int{"a": 1, "b": 1}, start.Add(ratelease.HandoverDelay))
	a, b := requestLease(l, "a", start.Add(ratelease.HandoverDelay)), requestLease(l, "b", start.Add(ratelease.HandoverDelay))
	is.Equal(countParts(a.Grants)+countParts(b.Grants), 2*upstreams)
}

// Each part is leased to one reporter; a hub leases the parts that it was granted to its own
// reporters.
func TestPartsOfAnUpstream(t *testing.T) {
	is := is.New(t)
	now := start.Add(ratelease.HandoverDelay)
	root, hub := ratelease.NewLessor(start), ratelease.NewLessor(start)
	rootLease := ratelease.RootLease([]ratelease.Grant{{Upstream: 7, Parts: 4, PartsPerRoot: 4}}, 3)
	reporters := map[string]int{"hub": 3, "host": 1}
	root.Assign(rootLease, reporters, now)
	toHub, toHost := requestLease(root, "hub", now), requestLease(root, "host", now)
	is.Equal(countParts(toHub.Grants)+countParts(toHost.Grants), 4)
	hubHolding := ratelease.NewHolding(toHub, now, nil)
	is.Equal(heldParts(&hubHolding, 7, now), countParts(toHub.Grants))
	total := 0
	followers := map[string]int{"hub": 1, "a": 1, "b": 1}
	hub.Assign(hubHolding.Lease(now), followers, now)
	for name := range followers {
		total += countParts(requestLease(hub, name, now).Grants)
	}
	is.Equal(total, countParts(toHub.Grants))
	// The leases of parts that the hub no longer holds aren't renewed.
	smallerLease := ratelease.Lease{Grants: []ratelease.Grant{{Upstream: 7, Parts: 1, PartsPerRoot: 4}}, Duration: ratelease.LeaseDuration, Roots: 3}
	total = 0
	hub.Assign(smallerLease, followers, now)
	for name := range followers {
		total += countParts(requestLease(hub, name, now).Grants)
	}
	is.Equal(total, 1)
}

// When the size of the parts changes, no part of the new size is leased before the leases of
// parts of the previous size have expired. Guards against a whole that is leased while two
// halves are still in use.
func TestPartsOfAnotherSize(t *testing.T) {
	is := is.New(t)
	now := start.Add(ratelease.HandoverDelay)
	l := ratelease.NewLessor(start)
	reporters := map[string]int{"a": 1, "b": 1, "c": 1}
	leasedParts := func(partsPerRoot int) int {
		l.Assign(ratelease.RootLease([]ratelease.Grant{{Upstream: 7, Parts: partsPerRoot, PartsPerRoot: partsPerRoot}}, 3), reporters, now)
		n := 0
		for name := range reporters {
			n += countParts(requestLease(l, name, now).Grants)
		}
		return n
	}
	is.Equal(leasedParts(2), 2)
	until := now.Add(ratelease.HandoverDelay)
	for now = now.Add(100 * time.Millisecond); now.Before(until); now = now.Add(100 * time.Millisecond) {
		is.Equal(leasedParts(1), 0)
	}
	now = until
	is.Equal(leasedParts(1), 1)
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	first := []ratelease.Grant{{Upstream: 1, Parts: 2, PartsPerRoot: 2}, {Upstream: 2, Parts: 1, PartsPerRoot: 1}}
	second := []ratelease.Grant{{Upstream: 1, Parts: 1, PartsPerRoot: 2}, {Upstream: 2, Parts: 2, PartsPerRoot: 4}, {Upstream: 3, Parts: 1, PartsPerRoot: 1}}
	is.Equal(ratelease.Merge(first, second), []ratelease.Grant{{Upstream: 1, Parts: 3, PartsPerRoot: 2}, {Upstream: 2, Parts: 1, PartsPerRoot: 1}, {Upstream: 3, Parts: 1, PartsPerRoot: 1}})
	is.Equal(first[0].Parts, 2) // the arguments aren't modified
}

// A share that is renewed without interruption keeps its Since; after an interruption it starts
// again.
func TestShareSince(t *testing.T) {
	is := is.New(t)
	lease := ratelease.Lease{Grants: wholeGrants(7), Duration: ratelease.LeaseDuration, Roots: 3}
	first := ratelease.NewHolding(lease, start, nil)
	second := ratelease.NewHolding(lease, start.Add(time.Second), &first)
	share, _ := second.Share(7, start.Add(time.Second))
	is.Equal(share.Since, start)
	later := start.Add(time.Second + ratelease.LeaseDuration)
	third := ratelease.NewHolding(lease, later, &second)
	share, _ = third.Share(7, later)
	is.Equal(share.Since, later)
}

func ExampleLessor() {
	l := ratelease.NewLessor(start)
	now := start.Add(ratelease.HandoverDelay)
	reporters := map[string]int{"host-1": 1}
	l.Assign(ratelease.RootLease([]ratelease.Grant{{Upstream: 7, Parts: 4, PartsPerRoot: 4}}, 3), reporters, now)
	lease, _ := l.Lease("host-1", now)
	holding := ratelease.NewHolding(lease, now, nil)
	share, _ := holding.Share(7, now)
	bound := ratelease.ColdBound{Rate: 18, Overrun: 1.5, Headroom: 5}
	fmt.Println(bound.RequestsPerSpan(share))
	// Output: 8
}
