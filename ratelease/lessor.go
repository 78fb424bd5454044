package ratelease

import (
	"maps"
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Lessor divides a host's holding between the hosts that report to it, itself included: each
// part is leased to one of them at a time. It isn't safe for concurrent use.
type Lessor struct {
	startedAt time.Time
	// assignments holds the lessees of each upstream's parts.
	assignments map[UpstreamID]*assignment
	// allotments holds what each reporter is granted, by its name. The grants are parts of the
	// holding last assigned, which expires at expiresAt; roots is the number of root hubs.
	allotments map[string]*allotment
	expiresAt  time.Time
	roots      int
}

// assignment records the lessees of an upstream's parts.
type assignment struct {
	partCount int
	lessees   []lessee
	// lastHeldAt is when this host last held parts of the upstream.
	lastHeldAt time.Time
}

// lessee is the holder of one part; the part is unassigned if name is empty.
type lessee struct {
	name string
	// expiresAt is when the lease last granted to it expires.
	expiresAt time.Time
}

// available reports whether the part may be leased to another host: the lease expired so long
// ago that the requests sent under it have left the window.
func (l *lessee) available(now time.Time) bool {
	return l.name == "" || !now.Before(l.expiresAt.Add(HandoverDelay-LeaseDuration))
}

// allotment is what one reporter is granted.
type allotment struct {
	grants []Grant
	// lessees points to the records of the parts that the reporter is granted.
	lessees []*lessee
	digest  uint64
}

// NewLessor returns the lessor of a host that started at the given time.
func NewLessor(startedAt time.Time) *Lessor {
	return &Lessor{startedAt: startedAt, assignments: make(map[UpstreamID]*assignment)}
}

// Assign assigns the parts of the holding to reporters. The map has the names of the hosts that
// report now, with the number of hosts that each represents: itself and its followers.
func (l *Lessor) Assign(holding Lease, reporters map[string]int, now time.Time) {
	l.allotments, l.expiresAt, l.roots = make(map[string]*allotment, len(reporters)), now.Add(min(holding.Duration, LeaseDuration)), holding.Roots
	picker := newWeightedPicker(reporters)
	for _, g := range holding.Grants {
		a := l.assignmentFor(g, now)
		if a == nil {
			continue
		}
		for partIndex := range min(g.Parts, len(a.lessees)) {
			part := &a.lessees[partIndex]
			if l.ensureLessee(part, g.Upstream, partIndex, picker, now) {
				l.allot(part, g)
			}
		}
	}
	for _, allotted := range l.allotments {
		allotted.digest = GrantsDigest(allotted.grants)
	}
	maps.DeleteFunc(l.assignments, func(_ UpstreamID, a *assignment) bool {
		return now.Sub(a.lastHeldAt) > HandoverDelay && a.allAvailable(now)
	})
}

// assignmentFor returns the assignment of the grant's upstream, and adds it if there is none. It
// returns nil while leases of parts of another size may be in use.
func (l *Lessor) assignmentFor(g Grant, now time.Time) *assignment {
	a := l.assignments[g.Upstream]
	if a != nil && a.partCount != g.PartsPerRoot {
		if !a.allAvailable(now) {
			return nil
		}
		a = nil
	}
	if a == nil {
		a = &assignment{partCount: g.PartsPerRoot, lessees: make([]lessee, g.PartsPerRoot)}
		l.assignments[g.Upstream] = a
	}
	a.lastHeldAt = now
	return a
}

// allAvailable reports whether all parts may be leased to other hosts.
func (a *assignment) allAvailable(now time.Time) bool {
	for i := range a.lessees {
		if !a.lessees[i].available(now) {
			return false
		}
	}
	return true
}

// ensureLessee reports whether the part may be leased now. If its lessee no longer reports, it
// assigns the part to a reporter, once the part is available and HandoverDelay has passed since
// the host's start.
func (l *Lessor) ensureLessee(part *lessee, u UpstreamID, partIndex int, picker weightedPicker, now time.Time) bool {
	if _, reports := picker.hostCounts[part.name]; reports {
		return true
	}
	if !part.available(now) || now.Sub(l.startedAt) < HandoverDelay {
		return false
	}
	*part = lessee{name: picker.pick(u, partIndex)}
	return part.name != ""
}

// allot adds the part to the allotment of its lessee.
func (l *Lessor) allot(part *lessee, g Grant) {
	allotted := l.allotments[part.name]
	if allotted == nil {
		allotted = &allotment{}
		l.allotments[part.name] = allotted
	}
	allotted.lessees = append(allotted.lessees, part)
	if last := len(allotted.grants) - 1; last >= 0 && allotted.grants[last].Upstream == g.Upstream {
		allotted.grants[last].Parts++
		return
	}
	allotted.grants = append(allotted.grants, Grant{Upstream: g.Upstream, Parts: 1, PartsPerRoot: g.PartsPerRoot})
}

// Lease returns the lease that the reporter gets for the remaining time of the holding, and the
// digest of its grants.
func (l *Lessor) Lease(reporter string, now time.Time) (lease Lease, digest uint64) {
	lease = Lease{Duration: l.expiresAt.Sub(now), Roots: l.roots}
	allotted := l.allotments[reporter]
	if lease.Duration <= 0 || allotted == nil {
		return Lease{Roots: l.roots}, 0
	}
	for _, part := range allotted.lessees {
		part.expiresAt = l.expiresAt
	}
	lease.Grants = allotted.grants
	return lease, allotted.digest
}

// weightedPicker picks reporters pseudorandomly, in proportion to the number of hosts that each
// represents. From the same reporters it always picks the same one for a part.
type weightedPicker struct {
	hostCounts map[string]int
	nameHashes map[string]uint64
}

func newWeightedPicker(reporters map[string]int) weightedPicker {
	p := weightedPicker{hostCounts: reporters, nameHashes: make(map[string]uint64, len(reporters))}
	for name := range reporters {
		p.nameHashes[name] = evenhash.Sum(name)
	}
	return p
}

// pick picks a reporter for the part, with a probability in proportion to its number of hosts.
func (p weightedPicker) pick(u UpstreamID, partIndex int) string {
	picked, lowest := "", math.Inf(1)
	for name, nameHash := range p.nameHashes {
		uniform := float64(evenhash.Mix(uint64(u)^nameHash^uint64(partIndex)*0x9e3779b97f4a7c15)>>11+1) / (1 << 53)
		// The minimum of exponentially distributed values falls to each reporter in proportion
		// to its weight.
		if score := -math.Log(uniform) / float64(max(1, p.hostCounts[name])); score < lowest || score == lowest && name < picked {
			picked, lowest = name, score
		}
	}
	return picked
}
