package gateway

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// maxHostsBelowFullLoad is the fraction of the hosts that may still send requests to the old
	// version while the load of the new one counts as the full load. Hosts that can't reach the store
	// don't raise the share.
	maxHostsBelowFullLoad = 0.25
	// almostDueAt is when a roll-out is so near its end that less evidence from full load suffices to
	// complete it, as a fraction of its duration. dueAlpha is then the probability with which a version
	// that is worse at full load than the tolerance permits passes the test for completion.
	almostDueAt = 0.96
	dueAlpha    = 0.5
	// minFullLoadTime is the time at full load after which, for a service with few requests, it suffices
	// that no request of a reliable route failed; a fraction of the roll-out's duration.
	minFullLoadTime = 0.08
	// A route is reliable if the old version failed at most maxReliableRate of its requests. At full load,
	// the new version may fail reliableTolerance more of the requests of all reliable routes. Failures on
	// other routes would hide a fault that the new version has on the reliable ones.
	maxReliableRate   = 0.02
	reliableTolerance = 0.05
)

// sendsAllToNew reports whether this host sends all requests of the service to the new version. A share of requests that the
// service doesn't get doesn't count.
func (sr *serviceRollout) sendsAllToNew() bool {
	all, sessions := sr.evidence.ownSent.All, sr.evidence.ownSessionSent
	onlySessions, noSessions := all > 0 && sessions == all, all > 0 && sessions == 0
	return (sr.sessionShare >= 1 || noSessions) && (sr.requestShare >= 1 || onlySessions)
}

// updateFullLoad records since when the new version has had the full load: this host and most others
// send it all requests.
func (sr *serviceRollout) updateFullLoad(now time.Time) {
	hosts := 1 + sr.evidence.remoteHosts
	if !sr.sendsAllToNew() {
		sr.allToNewSince = time.Time{}
	} else if sr.allToNewSince.IsZero() {
		sr.allToNewSince = now
	}
	switch {
	case !sr.sendsAllToNew() || float64(sr.evidence.remoteBelowFullLoad) > maxHostsBelowFullLoad*float64(hosts):
		if !sr.fullLoadSince.IsZero() && len(sr.fullLoad) < maxFullLoadSpans {
			sr.fullLoad = append(sr.fullLoad, timeSpan{sr.fullLoadSince, now})
		}
		sr.fullLoadSince = time.Time{}
	case sr.fullLoadSince.IsZero():
		// The other hosts' reports are at least exchange.Interval old.
		sr.fullLoadSince = now.Add(-exchange.Interval)
		if sr.fullLoadSince.Before(sr.allToNewSince) {
			sr.fullLoadSince = sr.allToNewSince
		}
	}
}

// timeSpan is the time from a moment until another one.
type timeSpan struct{ from, until time.Time }

// maxFullLoadSpans bounds the number of times that the new version has the full load and loses it again.
const maxFullLoadSpans = 100

// hadFullLoadAt reports whether the new version had the full load at the given time.
func (sr *serviceRollout) hadFullLoadAt(at time.Time) bool {
	if !sr.fullLoadSince.IsZero() && !at.Before(sr.fullLoadSince) {
		return true
	}
	return slices.ContainsFunc(sr.fullLoad, func(s timeSpan) bool { return !at.Before(s.from) && at.Before(s.until) })
}

// fullLoadSuffices reports whether the answers at full load suffice to complete the roll-out. A version
// can be good until it gets all requests, and after the completion nothing replaces it.
func (ro *rollouts) fullLoadSuffices(sr *serviceRollout) bool {
	routes := sr.evidence.allCounts()
	if notWorseAtFullLoad(routes, completionAlpha) {
		return true
	}
	if ro.progress(sr) < almostDueAt {
		return false
	}
	return notWorseAtFullLoad(routes, dueAlpha) ||
		sr.servedAtFullLoad() && !suspectedAtFullLoad(routes) && sumRoutes(reliableRoutes(routes)).FullLoad.Failed == 0
}

// servedAtFullLoad reports whether the new version has had the full load for minFullLoadTime.
func (sr *serviceRollout) servedAtFullLoad() bool {
	needed := time.Duration(minFullLoadTime * float64(sr.order.Duration))
	return !sr.fullLoadSince.IsZero() && boottime.Since(sr.fullLoadSince) >= needed
}

// notWorseAtFullLoad reports whether the new version's answers at full load fail as seldom as the old
// version's, compared route by route and on the sum of the reliable routes, and no route is suspected.
func notWorseAtFullLoad(routes map[string]exchange.VersionTallies, alpha float64) bool {
	if suspectedAtFullLoad(routes) {
		return false
	}
	var strata []rollout.Stratum
	for _, v := range routes {
		strata = append(strata, rollout.Stratum{Baseline: failureSample(v.Old), Candidate: failureSample(v.FullLoad)})
	}
	if !rollout.IsNotWorseInStrata(strata, failedTolerance, alpha) {
		return false
	}
	reliable := reliableRoutes(routes)
	sum := sumRoutes(reliable)
	return len(reliable) == 0 || rollout.IsNotWorse(failureSample(sum.Old), failureSample(sum.FullLoad), reliableTolerance, alpha)
}

// suspectedAtFullLoad reports whether the new version may be worse on one of the routes at full load.
func suspectedAtFullLoad(routes map[string]exchange.VersionTallies) bool {
	for _, v := range routes {
		if rollout.IsWorse(failureSample(v.Old), failureSample(v.FullLoad), suspectAlpha) {
			return true
		}
	}
	return false
}

// fullLoadStopReason returns the reason to stop the new version because of its answers at full load;
// empty if there is none. Good answers that it gave with little load must not outweigh these.
func fullLoadStopReason(routes map[string]exchange.VersionTallies, upstreams int) string {
	if isWorseAtFullLoad(sumRoutes(routes), upstreams) {
		return "all-routes at full load"
	}
	if isWorseAtFullLoad(sumRoutes(reliableRoutes(routes)), upstreams) {
		return "reliable routes at full load"
	}
	for name, v := range routes {
		if isWorseAtFullLoad(v, upstreams) {
			return "route " + name + " at full load"
		}
	}
	return ""
}

func isWorseAtFullLoad(v exchange.VersionTallies, upstreams int) bool {
	return v.FullLoad.Failed >= minBadAnswers && v.FullLoad.MinBadUpstreams() >= min(minBadUpstreams, upstreams) &&
		rollout.IsWorse(failureSample(v.Old), failureSample(v.FullLoad), failedAlpha)
}

// reliableRoutes returns the counts of the routes on which the old version failed at most
// maxReliableRate of the requests.
func reliableRoutes(routes map[string]exchange.VersionTallies) map[string]exchange.VersionTallies {
	reliable := make(map[string]exchange.VersionTallies)
	for name, v := range routes {
		if v.Old.Answers > 0 && float64(v.Old.Failed) <= maxReliableRate*float64(v.Old.Answers) {
			reliable[name] = v
		}
	}
	return reliable
}
