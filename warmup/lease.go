package warmup

import (
	"hash/fnv"
	"io"
	"maps"
	"math"
	"slices"
	"time"
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
	Upstreams []Upstream
	// For is how long it lasts from when it was asked for.
	For time.Duration
	// Roots is into how many parts the permitted requests are split.
	Roots int
}

// Root is the lease that a root of the tree holds by itself.
func Root(cold []Upstream, roots int) Lease {
	return Lease{Upstreams: cold, For: LeaseTime, Roots: max(1, roots)}
}

// Holding is a lease that a host was given, by its own clock.
type Holding struct {
	upstreams map[Upstream]struct{}
	until     time.Time
	roots     int
}

// Hold begins a lease that was asked for at the time.
func Hold(l Lease, asked time.Time) Holding {
	h := Holding{upstreams: make(map[Upstream]struct{}, len(l.Upstreams)), until: asked.Add(min(l.For, LeaseTime)), roots: max(1, l.Roots)}
	for _, u := range l.Upstreams {
		h.upstreams[u] = struct{}{}
	}
	return h
}

// Holds says whether the upstream may be sent its part now.
func (h *Holding) Holds(u Upstream, now time.Time) bool {
	_, holds := h.upstreams[u]
	return holds && now.Before(h.until)
}

// Roots is into how many parts the permitted requests are split.
func (h *Holding) Roots() int { return h.roots }

// Lease is what is left of the holding.
func (h *Holding) Lease(now time.Time) Lease {
	left := h.until.Sub(now)
	if left <= 0 {
		return Lease{Roots: h.roots}
	}
	return Lease{Upstreams: slices.Sorted(maps.Keys(h.upstreams)), For: left, Roots: h.roots}
}

// Lessor hands a host's holding on to those that report to it, the host itself among
// them: each upstream to one of them at a time. It isn't safe for concurrent use.
type Lessor struct {
	startedAt time.Time
	lessees   map[Upstream]lessee
}

// lessee has an upstream.
type lessee struct {
	name string
	// until is the end of the lease by the last word to it.
	until time.Time
}

// NewLessor returns the lessor of a host that started at the time.
func NewLessor(startedAt time.Time) *Lessor {
	return &Lessor{startedAt: startedAt, lessees: make(map[Upstream]lessee)}
}

// maxTold bounds the upstreams that one reporter is told of, and with that the message.
const maxTold = 256

// Lease is what the reporter gets of the holding. Reporters are those that report now, and
// for how many hosts each speaks.
func (l *Lessor) Lease(holding Lease, reporters map[string]int, reporter string, now time.Time) Lease {
	given := Lease{For: min(holding.For, LeaseTime), Roots: holding.Roots}
	for _, u := range holding.Upstreams {
		if len(given.Upstreams) == maxTold {
			break
		}
		if l.give(u, reporters, now) != reporter {
			continue
		}
		l.lessees[u] = lessee{name: reporter, until: now.Add(given.For)}
		given.Upstreams = append(given.Upstreams, u)
	}
	l.drop(now)
	return given
}

// give is who has the upstream, or is to have it from now on; empty while nobody may.
func (l *Lessor) give(u Upstream, reporters map[string]int, now time.Time) string {
	if has, ok := l.lessees[u]; ok {
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
	return draw(u, reporters)
}

// drop forgets leases that are over for so long that the upstream is anybody's.
func (l *Lessor) drop(now time.Time) {
	maps.DeleteFunc(l.lessees, func(_ Upstream, has lessee) bool { return now.After(has.until.Add(Handover)) })
}

// draw chooses a reporter for the upstream, each as often as it has hosts.
func draw(u Upstream, reporters map[string]int) string {
	best, least := "", math.Inf(1)
	for name, hosts := range reporters {
		// The least of exponential draws falls to each in proportion to its weight.
		if at := -math.Log(uniform(u, name)) / float64(max(1, hosts)); at < least || at == least && name < best {
			best, least = name, at
		}
	}
	return best
}

// uniform is a number above 0 and below 1, the same for the same upstream and name.
func uniform(u Upstream, name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(u), byte(u >> 8), byte(u >> 16), byte(u >> 24)}) // never fails
	_, _ = io.WriteString(h, name)                                              // never fails
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return (float64(mixed>>11) + 0.5) / (1 << 53)
}
