package balance

import (
	"slices"
	"time"
)

// ExcludedFilter drops the upstreams that the request lists in Exclude.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Filter implements Filter.
func (ExcludedFilter) Filter(req *Request, list []*Upstream, _ time.Time) []*Upstream {
	if len(req.Exclude) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(u *Upstream) bool {
		return slices.Contains(req.Exclude, u.ID)
	})
}
