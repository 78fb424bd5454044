package balance

import (
	"slices"
	"time"
)

// LeavingFilter drops upstreams that take no new requests.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Filter implements Filter.
func (LeavingFilter) Filter(_ *Request, list []*Upstream, _ time.Time) []*Upstream {
	return slices.DeleteFunc(list, func(u *Upstream) bool { return u.Leaving })
}
