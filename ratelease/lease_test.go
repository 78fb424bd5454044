package ratelease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBound(t *testing.T) {
	tests := []struct {
		bound ratelease.Bound
		roots int
		parts int
		each  int // part
	}{
		{ratelease.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 1, 4, 6},
		{ratelease.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 3, 4, 2},
		{ratelease.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 0, 4, 6}, // a host without seeds
		{ratelease.Bound{Rate: 4, Overrun: 1.5, Spare: 5}, 3, 1, 2},
		{ratelease.Bound{Rate: 1, Overrun: 1}, 3, 1, 0}, // too little to be split
		{ratelease.Bound{Rate: 4}, 1, 1, 3},             // nothing may go beyond the rate
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(test.bound.Parts(test.roots), test.parts)
		share := ratelease.Share{Parts: 1, Of: test.parts, Roots: test.roots}
		is.Equal(test.bound.Each(share), test.each)
		share.Parts = test.parts
		handedOut := max(1, test.roots) * test.bound.Each(share)
		is.True(float64(handedOut) <= 0.75*test.bound.Permitted())
	}
}

// Whenever sends come, no span holds more than the most.
func TestWindow(t *testing.T) {
	const most = 5
	is := is.New(t)
	var w ratelease.Window
	var sent []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(7 * time.Millisecond) {
		if w.Room(now, most) {
			w.Note(now)
			sent = append(sent, now)
		}
	}
	is.True(len(sent) >= most*9)
	for i := range len(sent) - most {
		is.True(sent[i+most].Sub(sent[i]) >= ratelease.Span)
	}
}

func TestHoldingEndsByTheHoldersClock(t *testing.T) {
	is := is.New(t)
	h := ratelease.Hold(ratelease.Lease{Grants: whole(1), For: time.Hour, Roots: 3}, start, nil)
	is.Equal(parts(&h, 1, start.Add(ratelease.LeaseTime-1)), 1)
	is.Equal(parts(&h, 1, start.Add(ratelease.LeaseTime)), 0) // however long it was said to last
	is.Equal(parts(&h, 2, start), 0)
	is.Equal(h.Lease(start.Add(ratelease.LeaseTime-time.Millisecond)).For, time.Millisecond)
	is.Equal(len(h.Lease(start.Add(ratelease.LeaseTime)).Grants), 0)
	var none ratelease.Holding
	is.Equal(parts(&none, 0, start), 0)
}

// whole are grants of upstreams that are in one part each.
func whole(upstreams ...ratelease.Upstream) []ratelease.Grant {
	var grants []ratelease.Grant
	for _, u := range upstreams {
		grants = append(grants, ratelease.Grant{Upstream: u, Parts: 1, Of: 1})
	}
	return grants
}

func parts(h *ratelease.Holding, u ratelease.Upstream, now time.Time) int {
	share, _ := h.Share(u, now)
	return share.Parts
}

// granted is what the lessor gives a reporter.
func granted(l *ratelease.Lessor, reporter string, now time.Time) ratelease.Lease {
	lease, digest := l.Lease(reporter, now)
	if digest != ratelease.Digest(lease.Grants) {
		panic("the digest isn't that of the grants")
	}
	return lease
}

// sum counts the parts of grants.
func sum(grants []ratelease.Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Parts
	}
	return n
}

// lessees asks for all reporters and returns who has the upstream.
func lessees(l *ratelease.Lessor, reporters map[string]int, u ratelease.Upstream, now time.Time) []string {
	var has []string
	l.Assign(ratelease.Root(whole(u), 1), reporters, now)
	for name := range reporters {
		if given := granted(l, name, now); len(given.Grants) == 1 {
			has = append(has, name)
		}
	}
	return has
}

func TestLessor(t *testing.T) {
	is := is.New(t)
	l := ratelease.NewLessor(start)
	all := map[string]int{"a": 1, "b": 1, "c": 1}
	// Leases of the host's former run may last.
	is.Equal(len(lessees(l, all, 1, start.Add(ratelease.Handover-1))), 0)
	now := start.Add(ratelease.Handover)
	first := lessees(l, all, 1, now)
	is.Equal(len(first), 1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		is.Equal(lessees(l, all, 1, now), first) // it stays where it is
	}
	left := map[string]int{"d": 1}
	for name := range all {
		if name != first[0] {
			left[name] = 1
		}
	}
	// The one that doesn't report may send until its lease is over, and what it sent
	// counts for a while longer.
	is.Equal(len(lessees(l, left, 1, now.Add(ratelease.LeaseTime+ratelease.Span))), 0)
	next := lessees(l, left, 1, now.Add(ratelease.LeaseTime+ratelease.Handover))
	is.Equal(len(next), 1)
	is.True(next[0] != first[0])
}

// Upstreams fall to reporters by the hosts that each speaks for.
func TestLeasesAreSpreadByHosts(t *testing.T) {
	is := is.New(t)
	l := ratelease.NewLessor(start)
	reporters := map[string]int{"small": 1, "large": 4}
	has := make(map[string]int)
	for u := range ratelease.Upstream(5000) {
		for _, name := range lessees(l, reporters, u, start.Add(ratelease.Handover)) {
			has[name]++
		}
	}
	is.Equal(has["small"]+has["large"], 5000)
	is.True(has["small"] > 800 && has["small"] < 1200)
}

// All upstreams of a large installation may be in need at once: none is left out.
func TestLeaseOfManyUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams = 12_000
	var grants []ratelease.Grant
	for u := range ratelease.Upstream(upstreams) {
		grants = append(grants, ratelease.Grant{Upstream: u, Parts: 2, Of: 2})
	}
	l := ratelease.NewLessor(start)
	l.Assign(ratelease.Root(grants, 3), map[string]int{"a": 1, "b": 1}, start.Add(ratelease.Handover))
	a, b := granted(l, "a", start.Add(ratelease.Handover)), granted(l, "b", start.Add(ratelease.Handover))
	is.Equal(sum(a.Grants)+sum(b.Grants), 2*upstreams)
}

// Each part goes to one reporter, most parts of an upstream to different ones; what a hub was
// given it hands on part by part.
func TestPartsOfAnUpstream(t *testing.T) {
	is := is.New(t)
	now := start.Add(ratelease.Handover)
	root, hub := ratelease.NewLessor(start), ratelease.NewLessor(start)
	own := ratelease.Root([]ratelease.Grant{{Upstream: 7, Parts: 4, Of: 4}}, 3)
	reporters := map[string]int{"hub": 3, "host": 1}
	root.Assign(own, reporters, now)
	toHub, toHost := granted(root, "hub", now), granted(root, "host", now)
	is.Equal(sum(toHub.Grants)+sum(toHost.Grants), 4)
	held := ratelease.Hold(toHub, now, nil)
	is.Equal(parts(&held, 7, now), sum(toHub.Grants))
	total := 0
	followers := map[string]int{"hub": 1, "a": 1, "b": 1}
	hub.Assign(held.Lease(now), followers, now)
	for name := range followers {
		total += sum(granted(hub, name, now).Grants)
	}
	is.Equal(total, sum(toHub.Grants))
	// A part that the hub hasn't any more is renewed for nobody.
	fewer := ratelease.Lease{Grants: []ratelease.Grant{{Upstream: 7, Parts: 1, Of: 4}}, For: ratelease.LeaseTime, Roots: 3}
	total = 0
	hub.Assign(fewer, followers, now)
	for name := range followers {
		total += sum(granted(hub, name, now).Grants)
	}
	is.Equal(total, 1)
}

// Where parts get another size, those of the former one are over first: else two halves and
// a whole would be in use at once.
func TestPartsOfAnotherSize(t *testing.T) {
	is := is.New(t)
	now := start.Add(ratelease.Handover)
	l := ratelease.NewLessor(start)
	reporters := map[string]int{"a": 1, "b": 1, "c": 1}
	held := func(of int) int {
		l.Assign(ratelease.Root([]ratelease.Grant{{Upstream: 7, Parts: of, Of: of}}, 3), reporters, now)
		n := 0
		for name := range reporters {
			n += sum(granted(l, name, now).Grants)
		}
		return n
	}
	is.Equal(held(2), 2)
	until := now.Add(ratelease.Handover)
	for now = now.Add(100 * time.Millisecond); now.Before(until); now = now.Add(100 * time.Millisecond) {
		is.Equal(held(1), 0)
	}
	now = until
	is.Equal(held(1), 1)
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	first := []ratelease.Grant{{Upstream: 1, Parts: 2, Of: 2}, {Upstream: 2, Parts: 1, Of: 1}}
	second := []ratelease.Grant{{Upstream: 1, Parts: 1, Of: 2}, {Upstream: 2, Parts: 2, Of: 4}, {Upstream: 3, Parts: 1, Of: 1}}
	is.Equal(ratelease.Merge(first, second), []ratelease.Grant{{Upstream: 1, Parts: 3, Of: 2}, {Upstream: 2, Parts: 1, Of: 1}, {Upstream: 3, Parts: 1, Of: 1}})
	is.Equal(first[0].Parts, 2) // the arguments stay as they are
}

// Held on without a break, a share goes on; after a break it begins anew.
func TestShareSince(t *testing.T) {
	is := is.New(t)
	lease := ratelease.Lease{Grants: whole(7), For: ratelease.LeaseTime, Roots: 3}
	first := ratelease.Hold(lease, start, nil)
	second := ratelease.Hold(lease, start.Add(time.Second), &first)
	share, _ := second.Share(7, start.Add(time.Second))
	is.Equal(share.Since, start)
	later := start.Add(time.Second + ratelease.LeaseTime)
	third := ratelease.Hold(lease, later, &second)
	share, _ = third.Share(7, later)
	is.Equal(share.Since, later)
}

func ExampleLessor() {
	l := ratelease.NewLessor(start)
	now := start.Add(ratelease.Handover)
	reporters := map[string]int{"host-1": 1}
	l.Assign(ratelease.Root([]ratelease.Grant{{Upstream: 7, Parts: 4, Of: 4}}, 3), reporters, now)
	lease, _ := l.Lease("host-1", now)
	holding := ratelease.Hold(lease, now, nil)
	share, _ := holding.Share(7, now)
	bound := ratelease.Bound{Rate: 18, Overrun: 1.5, Spare: 5}
	fmt.Println(bound.Each(share))
	// Output: 8
}
