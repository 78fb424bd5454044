package balance

import (
	"slices"
	"time"
)

// BackoffFilter drops upstreams that stated that they accept no requests of this host for some time.
type BackoffFilter struct{}

// Name implements Filter.
func (BackoffFilter) Name() string { return "backoff" }

// Filter implements Filter.
func (BackoffFilter) Filter(_ *Request, list []*Upstream, now time.Time) []*Upstream {
	return slices.DeleteFunc(list, func(u *Upstream) bool { return !u.Backoff.Allows(now) })
}
