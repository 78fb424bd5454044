package ratelease

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// UpstreamID identifies one incarnation of an upstream in messages between hosts, by a 64-bit hash
// of its name. With 12,000 upstreams, a collision occurs in one installation out of a hundred
// billion; the two upstreams would then share their leases.
type UpstreamID uint64

// NewUpstreamID returns the identifier of the upstream with the name.
func NewUpstreamID(name string) UpstreamID { return UpstreamID(evenhash.Sum(name)) }

// Point returns a pseudorandom number in [0, 1) for the upstream and the host, uniformly
// distributed.
func (u UpstreamID) Point(host string) float64 {
	return float64(evenhash.Mix(uint64(u)^evenhash.Sum(host))>>11) / (1 << 53)
}

const (
	// LeaseDuration is the maximum time until a lease that isn't renewed expires. It covers
	// several reports to a hub and its replies, of which one may be lost.
	LeaseDuration = 1200 * time.Millisecond
	// HandoverDelay is the time from the start of a host to the first lease that it grants. It is
	// also the maximum time from the last grant of a part to one holder until the part is
	// available to another one: by then the previous lease has expired, and the requests sent
	// under it have left the window.
	HandoverDelay = LeaseDuration + WindowSpan + 200*time.Millisecond
)

// Grant is the right to send an upstream a number of the parts into which roots split the
// upstream's requests.
type Grant struct {
	Upstream UpstreamID
	// Parts is the number of parts granted, by one root or more. PartsPerRoot is the number of
	// parts into which each root splits the requests.
	Parts        int
	PartsPerRoot int
}

// digest returns a uniformly distributed hash of the grant.
func (g Grant) digest() uint64 {
	return evenhash.Mix(uint64(g.Upstream) ^ uint64(g.Parts)<<32 ^ uint64(g.PartsPerRoot))
}

// GrantsDigest returns a hash of a list of grants that doesn't depend on their order; it is 0 for
// an empty list.
func GrantsDigest(grants []Grant) uint64 {
	sum := uint64(0)
	for _, g := range grants {
		sum += g.digest()
	}
	return sum
}

// Merge adds up the grants of two roots. If the roots split an upstream into different numbers
// of parts, only the first root's grant is kept.
func Merge(first, second []Grant) []Grant {
	merged := slices.Clone(first)
	index := make(map[UpstreamID]int, len(merged))
	for i, g := range merged {
		index[g.Upstream] = i
	}
	for _, g := range second {
		i, known := index[g.Upstream]
		switch {
		case !known:
			merged = append(merged, g)
		case merged[i].PartsPerRoot == g.PartsPerRoot:
			merged[i].Parts += g.Parts
		}
	}
	return merged
}

// Lease is the right to use grants, or to lease them to other hosts.
type Lease struct {
	Grants []Grant
	// Duration is the duration of the lease, counted from when it was requested.
	Duration time.Duration
	// Roots is the number of root hubs that grant leases.
	Roots int
}

// RootLease returns the lease that a root hub holds without being granted it: all of its own
// parts.
func RootLease(grants []Grant, roots int) Lease {
	return Lease{Grants: grants, Duration: LeaseDuration, Roots: max(1, roots)}
}

// Share is the fraction of an upstream's requests that a host may send.
type Share struct {
	// Parts is the number of parts that the host holds, from all roots together. Each of the
	// Roots roots splits the upstream's requests into PartsPerRoot parts.
	Parts, PartsPerRoot, Roots int
	// Since is the time from which the host has held the share without interruption.
	Since time.Time
}

// Fraction returns the share as a fraction of all requests for the upstream.
func (s Share) Fraction() float64 {
	if s.PartsPerRoot == 0 || s.Roots == 0 {
		return 0
	}
	return float64(s.Parts) / float64(s.PartsPerRoot) / float64(s.Roots)
}

// FullShare returns the share of the only host of an installation: all of the given number of
// parts.
func FullShare(parts int, since time.Time) Share {
	return Share{Parts: parts, PartsPerRoot: parts, Roots: 1, Since: since}
}

// Holding is a lease that a host was granted, with its expiry by the host's own clock.
type Holding struct {
	shares    map[UpstreamID]Share
	grants    []Grant
	expiresAt time.Time
	roots     int
}

// NewHolding returns the holding for a lease that was requested at the given time. It expires at
// most LeaseDuration after that. A share that was in the previous holding and hadn't expired by
// then keeps its Since.
func NewHolding(l Lease, requestedAt time.Time, previous *Holding) Holding {
	h := Holding{shares: make(map[UpstreamID]Share, len(l.Grants)), grants: l.Grants, expiresAt: requestedAt.Add(min(l.Duration, LeaseDuration)), roots: max(1, l.Roots)}
	for _, g := range l.Grants {
		share := Share{Parts: g.Parts, PartsPerRoot: g.PartsPerRoot, Roots: h.roots, Since: requestedAt}
		if previous != nil {
			if previousShare, ok := previous.Share(g.Upstream, requestedAt); ok {
				share.Since = previousShare.Since
			}
		}
		h.shares[g.Upstream] = share
	}
	return h
}

// Share returns the share of the upstream's requests that the host may send now.
func (h *Holding) Share(u UpstreamID, now time.Time) (share Share, ok bool) {
	if !now.Before(h.expiresAt) {
		return Share{}, false
	}
	share, ok = h.shares[u]
	return share, ok
}

// Lease returns the holding as a lease for its remaining time; the lease has no grants if the
// holding has expired.
func (h *Holding) Lease(now time.Time) Lease {
	remaining := h.expiresAt.Sub(now)
	if remaining <= 0 {
		return Lease{Roots: h.roots}
	}
	return Lease{Duration: remaining, Roots: h.roots, Grants: h.grants}
}
