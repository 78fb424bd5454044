package gateway

// baseVersionFor returns the version that serves the requests of an order's service that don't run on
// the ordered version; empty if it isn't known. It is the version with which the roll-out before ended: a
// version that was rolled back, or whose roll-out was replaced by another order, isn't the base of the next.
func (ro *rollouts) baseVersionFor(o RolloutOrder, former *serviceRollout) string {
	base := ""
	switch {
	case former == nil:
		base = ro.fleet.BaseVersion(o.Service)
	case former.hasStatus() && former.status.State == RolloutCompleted:
		base = former.order.Version
	default:
		base = former.baseVersion
	}
	if base == o.Version {
		return ""
	}
	return base
}

// adoptBaseVersion sets the base version to the one that a stored status states. The status may be that
// of an earlier order, as on a host that starts after the order.
func (sr *serviceRollout) adoptBaseVersion(s RolloutStatus) {
	base := s.BaseVersion
	if !sr.matchesOrder(s.OrderRevision) && s.State == RolloutCompleted {
		base = s.Version
	}
	if base != "" && base != sr.order.Version {
		sr.baseVersion = base
	}
}

// oldVersionFilter returns a function that reports whether a version serves the requests that don't run
// on the new one. If the base version isn't known or none of its upstreams is in service, each version but
// the new one does.
func (ro *rollouts) oldVersionFilter(sr *serviceRollout, r *Request) func(version string) bool {
	newVersion, base := sr.order.Version, sr.baseVersion
	isBase := func(version string) bool { return version == base }
	if base != "" && ro.fleet.hasInService(r.Service, r.regions, isBase) {
		return isBase
	}
	return func(version string) bool { return version != newVersion }
}
