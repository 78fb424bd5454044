package ratelease

import (
	"maps"
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Lessor hands a host's holding on to those that report to it, the host itself among
// them: each part to one of them at a time. It isn't safe for concurrent use.
type Lessor struct {
	startedAt time.Time
	// assigned are the lessees of each upstream's parts.
	assigned map[Upstream]*assignment
	// given is what each reporter gets, of a holding that lasts until then.
	given map[string]*allotment
	until time.Time
	roots int
}

// assignment is who has the parts of an upstream.
type assignment struct {
	of      int
	lessees []lessee
	// heldAt is when this host held parts of it last.
	heldAt time.Time
}

// lessee has a part; nobody does while it has no name.
type lessee struct {
	name string
	// until is the end of the lease by the last word to it.
	until time.Time
}

// free says whether another one may have the part: the lease is over for so long that what was
// sent under it is out of the window.
func (l *lessee) free(now time.Time) bool {
	return l.name == "" || !now.Before(l.until.Add(Handover-LeaseTime))
}

// allotment is what one reporter gets.
type allotment struct {
	grants []Grant
	// lessees are the records of its parts.
	lessees []*lessee
	digest  uint64
}

// NewLessor returns the lessor of a host that started at the time.
func NewLessor(startedAt time.Time) *Lessor {
	return &Lessor{startedAt: startedAt, assigned: make(map[Upstream]*assignment)}
}

// Assign decides who gets which parts of the holding from now on. Reporters are those that
// report now, and for how many hosts each speaks.
func (l *Lessor) Assign(holding Lease, reporters map[string]int, now time.Time) {
	l.given, l.until, l.roots = make(map[string]*allotment, len(reporters)), now.Add(min(holding.For, LeaseTime)), holding.Roots
	draws := newDraws(reporters)
	for _, g := range holding.Grants {
		a := l.split(g, now)
		if a == nil {
			continue
		}
		for number := range min(g.Parts, len(a.lessees)) {
			has := &a.lessees[number]
			if l.settle(has, g.Upstream, number, draws, now) {
				l.allot(has, g)
			}
		}
	}
	for _, given := range l.given {
		given.digest = Digest(given.grants)
	}
	maps.DeleteFunc(l.assigned, func(_ Upstream, a *assignment) bool { return now.Sub(a.heldAt) > Handover && a.over(now) })
}

// split is the assignment of the grant's upstream; nil while parts of another size may be
// in use.
func (l *Lessor) split(g Grant, now time.Time) *assignment {
	a := l.assigned[g.Upstream]
	if a != nil && a.of != g.Of {
		if !a.over(now) {
			return nil
		}
		a = nil
	}
	if a == nil {
		a = &assignment{of: g.Of, lessees: make([]lessee, g.Of)}
		l.assigned[g.Upstream] = a
	}
	a.heldAt = now
	return a
}

// over says whether all parts are free.
func (a *assignment) over(now time.Time) bool {
	for i := range a.lessees {
		if !a.lessees[i].free(now) {
			return false
		}
	}
	return true
}

// settle finds out who has the part, or is to have it from now on; false while nobody may.
func (l *Lessor) settle(has *lessee, u Upstream, number int, draws draws, now time.Time) bool {
	if _, reports := draws.hosts[has.name]; reports {
		return true
	}
	if !has.free(now) || now.Sub(l.startedAt) < Handover {
		return false
	}
	*has = lessee{name: draws.draw(u, number)}
	return has.name != ""
}

// allot gives the part to its lessee.
func (l *Lessor) allot(has *lessee, g Grant) {
	given := l.given[has.name]
	if given == nil {
		given = &allotment{}
		l.given[has.name] = given
	}
	given.lessees = append(given.lessees, has)
	if last := len(given.grants) - 1; last >= 0 && given.grants[last].Upstream == g.Upstream {
		given.grants[last].Parts++
		return
	}
	given.grants = append(given.grants, Grant{Upstream: g.Upstream, Parts: 1, Of: g.Of})
}

// Lease is what the reporter is told, for as long as the holding lasts, and the digest of its
// grants.
func (l *Lessor) Lease(reporter string, now time.Time) (lease Lease, digest uint64) {
	lease = Lease{For: l.until.Sub(now), Roots: l.roots}
	given := l.given[reporter]
	if lease.For <= 0 || given == nil {
		return Lease{Roots: l.roots}, 0
	}
	for _, has := range given.lessees {
		has.until = l.until
	}
	lease.Grants = given.grants
	return lease, given.digest
}

// draws chooses among reporters, the same ones for the same parts.
type draws struct {
	hosts map[string]int
	seeds map[string]uint64
}

func newDraws(reporters map[string]int) draws {
	d := draws{hosts: reporters, seeds: make(map[string]uint64, len(reporters))}
	for name := range reporters {
		d.seeds[name] = evenhash.Sum(name)
	}
	return d
}

// draw chooses a reporter for the part, each as often as it has hosts.
func (d draws) draw(u Upstream, number int) string {
	best, least := "", math.Inf(1)
	for name, seed := range d.seeds {
		point := float64(evenhash.Mix(uint64(u)^seed^uint64(number)*0x9e3779b97f4a7c15)>>11+1) / (1 << 53)
		// The least of exponential draws falls to each in proportion to its weight.
		if at := -math.Log(point) / float64(max(1, d.hosts[name])); at < least || at == least && name < best {
			best, least = name, at
		}
	}
	return best
}
