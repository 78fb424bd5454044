package ratelease

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Upstream stands for one incarnation of an upstream in what hosts tell each other, by 64
// bits of its name: among 12,000 two agree in one installation of a hundred billion, and would
// then share their parts.
type Upstream uint64

// UpstreamOf is what stands for the name.
func UpstreamOf(name string) Upstream { return Upstream(evenhash.Sum(name)) }

// Draw is a number of [0, 1) for a host and the upstream, evenly spread.
func (u Upstream) Draw(host string) float64 {
	return float64(evenhash.Mix(uint64(u)^evenhash.Sum(host))>>11) / (1 << 53)
}

const (
	// LeaseTime is how long a lease lasts that isn't renewed: some exchanges between
	// two hosts, one of which may be lost.
	LeaseTime = 1200 * time.Millisecond
	// Handover is the time from the start of a host to its first lease, and more than
	// the time from the last word to a holder to the lease of another: the former lease
	// is over then, and what was sent under it is out of the window.
	Handover = LeaseTime + Span + 200*time.Millisecond
)

// Grant is the right to send an upstream some parts of what each root hands out.
type Grant struct {
	Upstream Upstream
	// Parts are how many of the Of parts in which a root splits it.
	Parts int
	Of    int
}

// digest is a number of the grant, evenly spread.
func (g Grant) digest() uint64 {
	return evenhash.Mix(uint64(g.Upstream) ^ uint64(g.Parts)<<32 ^ uint64(g.Of))
}

// Digest tells lists of grants apart, in whatever order they are; 0 is that of none.
func Digest(grants []Grant) uint64 {
	sum := uint64(0)
	for _, g := range grants {
		sum += g.digest()
	}
	return sum
}

// Merge adds up grants of two roots. Where they split an upstream otherwise, the first one's
// count.
func Merge(first, second []Grant) []Grant {
	all := slices.Clone(first)
	at := make(map[Upstream]int, len(all))
	for i, g := range all {
		at[g.Upstream] = i
	}
	for _, g := range second {
		i, known := at[g.Upstream]
		switch {
		case !known:
			all = append(all, g)
		case all[i].Of == g.Of:
			all[i].Parts += g.Parts
		}
	}
	return all
}

// Lease is the right to use some grants, or to hand them on.
type Lease struct {
	Grants []Grant
	// For is how long it lasts from when it was asked for.
	For time.Duration
	// Roots is the number of roots that hand out requests.
	Roots int
}

// Root is the lease that a root of the tree holds by itself, of all parts of its own.
func Root(grants []Grant, roots int) Lease {
	return Lease{Grants: grants, For: LeaseTime, Roots: max(1, roots)}
}

// Share is the part of the requests for an upstream that a host may send.
type Share struct {
	// Parts are how many of the Of parts of each of the Roots roots.
	Parts, Of, Roots int
	// Since is when the host got it.
	Since time.Time
}

// Part is the share of all requests for the upstream.
func (s Share) Part() float64 {
	if s.Of == 0 || s.Roots == 0 {
		return 0
	}
	return float64(s.Parts) / float64(s.Of) / float64(s.Roots)
}

// Whole is the share of a host that is the only one.
func Whole(of int, since time.Time) Share { return Share{Parts: of, Of: of, Roots: 1, Since: since} }

// Holding is a lease that a host was given, by its own clock.
type Holding struct {
	shares map[Upstream]Share
	grants []Grant
	until  time.Time
	roots  int
}

// Hold begins a lease that was asked for at the time. What the holding before had without
// a break is held since then.
func Hold(l Lease, asked time.Time, before *Holding) Holding {
	h := Holding{shares: make(map[Upstream]Share, len(l.Grants)), grants: l.Grants, until: asked.Add(min(l.For, LeaseTime)), roots: max(1, l.Roots)}
	for _, g := range l.Grants {
		share := Share{Parts: g.Parts, Of: g.Of, Roots: h.roots, Since: asked}
		if before != nil {
			if held, ok := before.Share(g.Upstream, asked); ok {
				share.Since = held.Since
			}
		}
		h.shares[g.Upstream] = share
	}
	return h
}

// Share is what the host may send of an upstream's requests now.
func (h *Holding) Share(u Upstream, now time.Time) (share Share, ok bool) {
	if !now.Before(h.until) {
		return Share{}, false
	}
	share, ok = h.shares[u]
	return share, ok
}

// Lease is what is left of the holding.
func (h *Holding) Lease(now time.Time) Lease {
	left := h.until.Sub(now)
	if left <= 0 {
		return Lease{Roots: h.roots}
	}
	return Lease{For: left, Roots: h.roots, Grants: h.grants}
}
