package balance

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// VersionFilter keeps the engines that report the requested version as loaded
// or, for a service request, the upstreams of that service. It drops engines
// that haven't reported their versions.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Filter implements Filter.
func (VersionFilter) Filter(req *Request, list []*Upstream, _ time.Time) []*Upstream {
	if req.Service != "" {
		return slices.DeleteFunc(list, func(u *Upstream) bool {
			return u.Kind != storage.KindService || u.Name != req.Service
		})
	}
	requested := req.requestedVersion()
	return slices.DeleteFunc(list, func(u *Upstream) bool {
		return u.Kind != storage.KindEngine || !slices.Contains(u.Versions, requested)
	})
}
