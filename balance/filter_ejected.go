package balance

import (
	"cmp"
	"slices"
	"time"
)

// DefaultMaxEjectedShare is the default of EjectedFilter.MaxShare.
const DefaultMaxEjectedShare = 0.34

// EjectedFilter drops ejected upstreams. It drops at most a share of the
// candidates, beginning with those whose ejections end last, so that a fault
// common to all upstreams doesn't remove all of them.
type EjectedFilter struct {
	// MaxShare is the maximum share of the candidates to drop, from 0 to 1; 0
	// means DefaultMaxEjectedShare. Of two or more candidates, one may be
	// dropped whatever the share.
	MaxShare float64
}

// Name implements Filter.
func (EjectedFilter) Name() string { return "ejected" }

// Filter implements Filter.
func (f EjectedFilter) Filter(_ *Request, list []*Upstream, now time.Time) []*Upstream {
	var ejected []*Upstream
	for _, u := range list {
		if u.EjectedUntil.After(now) {
			ejected = append(ejected, u)
		}
	}
	if len(ejected) == 0 {
		return list
	}
	ejected = longestEjected(ejected, f.maxDropped(len(list)))
	return slices.DeleteFunc(list, func(u *Upstream) bool {
		return slices.Contains(ejected, u)
	})
}

// maxDropped returns how many of n candidates may be dropped.
func (f EjectedFilter) maxDropped(n int) int {
	if n < 2 {
		return 0
	}
	share := cmp.Or(f.MaxShare, DefaultMaxEjectedShare)
	return max(1, int(share*float64(n)))
}

func longestEjected(ejected []*Upstream, limit int) []*Upstream {
	if len(ejected) <= limit {
		return ejected
	}
	slices.SortStableFunc(ejected, func(a, b *Upstream) int {
		return b.EjectedUntil.Compare(a.EjectedUntil)
	})
	return ejected[:limit]
}
