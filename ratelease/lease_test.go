package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/warmup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBound(t *testing.T) {
	tests := []struct {
		bound warmup.Bound
		roots int
		parts int
		each  int // part
	}{
		{warmup.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 1, 4, 6},
		{warmup.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 3, 4, 2},
		{warmup.Bound{Rate: 18, Overrun: 1.5, Spare: 5}, 0, 4, 6}, // a host without seeds
		{warmup.Bound{Rate: 4, Overrun: 1.5, Spare: 5}, 3, 1, 2},
		{warmup.Bound{Rate: 1, Overrun: 1}, 3, 1, 0}, // too little to be split
		{warmup.Bound{Rate: 4}, 1, 1, 3},             // nothing may go beyond the rate
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(test.bound.Parts(test.roots), test.parts)
		is.Equal(test.bound.Each(test.roots, 1), test.each)
		handedOut := max(1, test.roots) * test.bound.Each(test.roots, test.parts)
		is.True(float64(handedOut) <= 0.75*test.bound.Permitted())
	}
}

// Whenever sends come, no span holds more than the most.
func TestWindow(t *testing.T) {
	const most = 5
	is := is.New(t)
	var w warmup.Window
	var sent []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(7 * time.Millisecond) {
		if w.Room(now, most) {
			w.Note(now)
			sent = append(sent, now)
		}
	}
	is.True(len(sent) >= most*9)
	for i := range len(sent) - most {
		is.True(sent[i+most].Sub(sent[i]) >= warmup.Span)
	}
}

func TestHoldingEndsByTheHoldersClock(t *testing.T) {
	is := is.New(t)
	h := warmup.Hold(warmup.Lease{Upstreams: []warmup.Upstream{1}, For: time.Hour, Roots: 3}, start)
	is.Equal(h.Parts(1, start.Add(warmup.LeaseTime-1)), 1)
	is.Equal(h.Parts(1, start.Add(warmup.LeaseTime)), 0) // however long it was said to last
	is.Equal(h.Parts(2, start), 0)
	is.Equal(h.Lease(start.Add(warmup.LeaseTime-time.Millisecond)).For, time.Millisecond)
	is.Equal(len(h.Lease(start.Add(warmup.LeaseTime)).Upstreams), 0)
	var none warmup.Holding
	is.Equal(none.Parts(0, start), 0)
}

// lessees asks for all reporters and returns who has the upstream.
func lessees(l *warmup.Lessor, reporters map[string]int, u warmup.Upstream, now time.Time) []string {
	var has []string
	l.Assign(warmup.Root([]warmup.Upstream{u}, 1), reporters, now)
	for name := range reporters {
		if given := l.Lease(name, now); len(given.Upstreams) == 1 {
			has = append(has, name)
		}
	}
	return has
}

func TestLessor(t *testing.T) {
	is := is.New(t)
	l := warmup.NewLessor(start)
	all := map[string]int{"a": 1, "b": 1, "c": 1}
	// Leases of the host's former run may last.
	is.Equal(len(lessees(l, all, 1, start.Add(warmup.Handover-1))), 0)
	now := start.Add(warmup.Handover)
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
	is.Equal(len(lessees(l, left, 1, now.Add(warmup.LeaseTime+warmup.Span))), 0)
	next := lessees(l, left, 1, now.Add(warmup.LeaseTime+warmup.Handover))
	is.Equal(len(next), 1)
	is.True(next[0] != first[0])
}

// Upstreams fall to reporters by the hosts that each speaks for.
func TestLeasesAreSpreadByHosts(t *testing.T) {
	is := is.New(t)
	l := warmup.NewLessor(start)
	reporters := map[string]int{"small": 1, "large": 4}
	has := make(map[string]int)
	for u := range warmup.Upstream(5000) {
		for _, name := range lessees(l, reporters, u, start.Add(warmup.Handover)) {
			has[name]++
		}
	}
	is.Equal(has["small"]+has["large"], 5000)
	is.True(has["small"] > 800 && has["small"] < 1200)
}

// What a host tells one that reports to it is bounded.
func TestLeaseOfManyUpstreams(t *testing.T) {
	is := is.New(t)
	var cold []warmup.Upstream
	for u := range warmup.Upstream(12_000) {
		cold = append(cold, u)
	}
	l := warmup.NewLessor(start)
	l.Assign(warmup.Root(cold, 3), map[string]int{"a": 1, "b": 1}, start.Add(warmup.Handover))
	given := l.Lease("a", start.Add(warmup.Handover))
	is.True(len(given.Upstreams) > 100 && len(given.Upstreams) <= 512)
}

// Each part goes to one reporter, most parts of an upstream to different ones; what a hub was
// given it hands on part by part.
func TestPartsOfAnUpstream(t *testing.T) {
	is := is.New(t)
	now := start.Add(warmup.Handover)
	root, hub := warmup.NewLessor(start), warmup.NewLessor(start)
	own := warmup.Root([]warmup.Upstream{7, 7, 7, 7}, 3)
	reporters := map[string]int{"hub": 3, "host": 1}
	root.Assign(own, reporters, now)
	toHub, toHost := root.Lease("hub", now), root.Lease("host", now)
	is.Equal(len(toHub.Upstreams)+len(toHost.Upstreams), 4)
	held := warmup.Hold(toHub, now)
	is.Equal(held.Parts(7, now), len(toHub.Upstreams))
	sum := 0
	followers := map[string]int{"hub": 1, "a": 1, "b": 1}
	hub.Assign(held.Lease(now), followers, now)
	for name := range followers {
		sum += len(hub.Lease(name, now).Upstreams)
	}
	is.Equal(sum, len(toHub.Upstreams))
	// A part that the hub hasn't any more is renewed for nobody.
	fewer := warmup.Lease{Upstreams: toHub.Upstreams[:1], For: warmup.LeaseTime, Roots: 3}
	sum = 0
	hub.Assign(fewer, followers, now)
	for name := range followers {
		sum += len(hub.Lease(name, now).Upstreams)
	}
	is.Equal(sum, 1)
}

func ExampleLessor() {
	l := warmup.NewLessor(start)
	now := start.Add(warmup.Handover)
	reporters := map[string]int{"host-1": 1}
	l.Assign(warmup.Root([]warmup.Upstream{7}, 3), reporters, now)
	given := l.Lease("host-1", now)
	holding := warmup.Hold(given, now)
	bound := warmup.Bound{Rate: 18, Overrun: 1.5, Spare: 5}
	fmt.Println(bound.Each(holding.Roots(), holding.Parts(7, now)))
	// Output: 2
}
