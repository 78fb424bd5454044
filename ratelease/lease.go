package warmup

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Upstream stands for an upstream in what hosts tell each other.
type Upstream uint32

const (
	// LeaseTime is how long a lease lasts that isn't renewed: some exchanges between
	// two hosts, one of which may be lost.
	LeaseTime = 1200 * time.Millisecond
	// Handover is the time from the start of a host to its first lease, and more than
	// the time from the last word to a holder to the lease of another: the former lease
	// is over then, and what was sent under it is out of the window.
	Handover = LeaseTime + Span + 200*time.Millisecond
)

// Lease is the right to send cold upstreams their part, or to hand it on.
type Lease struct {
	// Upstreams has each as often as the lease has parts of it.
	Upstreams []Upstream
	// For is how long it lasts from when it was asked for.
	For time.Duration
	// Roots is into how many parts the permitted requests are split.
	Roots int
}

// Root is the lease that a root of the tree holds by itself, for cold upstreams as often as
// there are parts of each.
func Root(cold []Upstream, roots int) Lease {
	return Lease{Upstreams: cold, For: LeaseTime, Roots: max(1, roots)}
}

// Holding is a lease that a host was given, by its own clock.
type Holding struct {
	// parts are how many of each the host has.
	parts map[Upstream]int
	until time.Time
	roots int
}

// Hold begins a lease that was asked for at the time.
func Hold(l Lease, asked time.Time) Holding {
	h := Holding{parts: make(map[Upstream]int, len(l.Upstreams)), until: asked.Add(min(l.For, LeaseTime)), roots: max(1, l.Roots)}
	for _, u := range l.Upstreams {
		h.parts[u]++
	}
	return h
}

// Parts is how many parts of an upstream the host has now.
func (h *Holding) Parts(u Upstream, now time.Time) int {
	if !now.Before(h.until) {
		return 0
	}
	return h.parts[u]
}

// Roots is into how many parts the permitted requests are split.
func (h *Holding) Roots() int { return h.roots }

// Lease is what is left of the holding.
func (h *Holding) Lease(now time.Time) Lease {
	left := h.until.Sub(now)
	if left <= 0 {
		return Lease{Roots: h.roots}
	}
	l := Lease{For: left, Roots: h.roots}
	for _, u := range slices.Sorted(maps.Keys(h.parts)) {
		l.Upstreams = append(l.Upstreams, slices.Repeat([]Upstream{u}, h.parts[u])...)
	}
	return l
}

// Lessor hands a host's holding on to those that report to it, the host itself among
// them: each part to one of them at a time. It isn't safe for concurrent use.
type Lessor struct {
	startedAt time.Time
	lessees   map[part]lessee
	// given are the parts that each reporter gets, of a holding that lasts until then.
	given map[string][]part
	until time.Time
	roots int
}

// part is one of the parts of an upstream that a lessor has.
type part struct {
	upstream Upstream
	number   int
}

// lessee has a part.
type lessee struct {
	name string
	// until is the end of the lease by the last word to it.
	until time.Time
}

// NewLessor returns the lessor of a host that started at the time.
func NewLessor(startedAt time.Time) *Lessor {
	return &Lessor{startedAt: startedAt, lessees: make(map[part]lessee)}
}

// maxAssigned bounds the parts that are handed on, and with that messages and the time that
// they take. Of more upstreams that are cold at once the rest gets nothing until it is warm.
const maxAssigned = 512

// Assign decides who gets which parts of the holding from now on. Reporters are those that
// report now, and for how many hosts each speaks.
func (l *Lessor) Assign(holding Lease, reporters map[string]int, now time.Time) {
	l.given, l.until, l.roots = make(map[string][]part), now.Add(min(holding.For, LeaseTime)), holding.Roots
	numbers := make(map[Upstream]int)
	for _, u := range holding.Upstreams[:min(len(holding.Upstreams), maxAssigned)] {
		p := part{u, numbers[u]}
		numbers[u]++
		name := l.give(p, reporters, now)
		if name == "" {
			continue
		}
		if l.lessees[p].name != name {
			l.lessees[p] = lessee{name: name} // it wasn't told yet
		}
		l.given[name] = append(l.given[name], p)
	}
	l.drop(now)
}

// Lease is what the reporter is told, for as long as the holding lasts.
func (l *Lessor) Lease(reporter string, now time.Time) Lease {
	given := Lease{For: l.until.Sub(now), Roots: l.roots}
	if given.For <= 0 {
		return Lease{Roots: l.roots}
	}
	for _, p := range l.given[reporter] {
		l.lessees[p] = lessee{name: reporter, until: l.until}
		given.Upstreams = append(given.Upstreams, p.upstream)
	}
	return given
}

// give is who has the part, or is to have it from now on; empty while nobody may.
func (l *Lessor) give(p part, reporters map[string]int, now time.Time) string {
	if has, ok := l.lessees[p]; ok {
		if _, reports := reporters[has.name]; reports {
			return has.name
		}
		if now.Before(has.until.Add(Handover - LeaseTime)) {
			return ""
		}
	}
	if now.Sub(l.startedAt) < Handover {
		return ""
	}
	return draw(p, reporters)
}

// drop forgets leases that are over for so long that the part is anybody's.
func (l *Lessor) drop(now time.Time) {
	maps.DeleteFunc(l.lessees, func(_ part, has lessee) bool { return now.After(has.until.Add(Handover)) })
}

// draw chooses a reporter for the part, each as often as it has hosts.
func draw(p part, reporters map[string]int) string {
	best, least := "", math.Inf(1)
	text := fmt.Sprint(p.upstream, "/", p.number)
	for name, hosts := range reporters {
		// The least of exponential draws falls to each in proportion to its weight.
		if at := -math.Log(evenhash.Point(text, name)) / float64(max(1, hosts)); at < least || at == least && name < best {
			best, least = name, at
		}
	}
	return best
}
