package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// loadWatchTime is the time after a completion in which the version's answers are counted by load. The version that it
	// replaced has gone, and the load can rise above any at which the roll-out has shown it.
	loadWatchTime = time.Hour
	// loadCountsHalfLife is the time in which the counts halve, so that a limit ends some minutes after its last failures
	// and is tried again.
	loadCountsHalfLife = time.Minute
	// loadLimitAlpha is the probability with which a version that fails as often at any load is limited. suspectLoadAlpha is
	// used to decide whether this host's counts are reported, which has no other effect.
	loadLimitAlpha   = 0.01
	suspectLoadAlpha = 1
	// loadLimitMaxAge is the time after which a limit ends unless the counts still call for it, as after the order of another
	// version, when its version's answers aren't counted any more.
	loadLimitMaxAge = 2 * loadCountsHalfLife
	// loadLimitLogInterval is the shortest time between two lines on changes of a limit.
	loadLimitLogInterval = time.Second
)

// versionLoadLimit bounds the requests at each upstream of a version.
type versionLoadLimit struct {
	version string
	// slots is the fraction of an upstream's slots that may be in use until the given time; 0 if there is no limit.
	slots float64
	until time.Time
}

// inForce reports whether the limit applies.
func (l *versionLoadLimit) inForce(now time.Time) bool { return l.slots > 0 && now.Before(l.until) }

// loadLimitLog is the last limit that was logged.
type loadLimitLog struct {
	slots float64
	at    time.Time
}

// due reports whether the limit has to be logged, and records it then.
func (l *loadLimitLog) due(slots float64, now time.Time) bool {
	if slots == l.slots || now.Sub(l.at) < loadLimitLogInterval {
		return false
	}
	l.slots, l.at = slots, now
	return true
}

// updateLoadLimit limits the requests at each upstream of a completed version to the load below which it doesn't fail more
// often than usual. More can't be served: no other version is left.
func (ro *rollouts) updateLoadLimit(sr *serviceRollout, now time.Time) {
	watched := sr.running() || sr.loadWatched(now)
	ro.fleet.setLoadWatched(sr.order.Service, watched)
	if sr.running() {
		return
	}
	limit := versionLoadLimit{version: sr.order.Version, until: now.Add(loadLimitMaxAge)}
	if watched {
		sr.halveLoads(now)
		limit.slots = sr.evidence.limitedSlots(ro.fleet.countVersion(sr.order.Service, sr.order.Version))
	}
	if limit.slots > 0 || sr.loadLimit > 0 {
		ro.fleet.setLoadLimit(sr.order.Service, limit)
	}
	sr.loadLimit = limit.slots
	if !sr.limitLog.due(limit.slots, now) {
		return
	}
	ro.log.Warn().Str("event", "version-load-limit").Str("service", sr.order.Service).Str("version", sr.order.Version).
		Float64("slots_in_use", limit.slots).Int64("since_ms", now.Sub(sr.completedAt).Milliseconds()).
		Str("by_load", loadText(sr.evidence.ownLoads)).Str("all_by_load", loadText(sr.evidence.allLoads())).Msg("")
}

// loadWatched reports whether the roll-out was completed and the version's answers are counted by load.
func (sr *serviceRollout) loadWatched(now time.Time) bool {
	return sr.hasStatus() && sr.status.State == RolloutCompleted && now.Sub(sr.completedAt) < loadWatchTime
}

// halveLoads halves the counts for each half-life since the completion.
func (sr *serviceRollout) halveLoads(now time.Time) {
	for ; sr.loadsHalvedAt.Add(loadCountsHalfLife).Before(now); sr.loadsHalvedAt = sr.loadsHalvedAt.Add(loadCountsHalfLife) {
		sr.evidence.ownLoads.Halve()
		sr.evidence.remoteLoads.Halve()
	}
}

// limitedSlots returns the fraction of an upstream's slots from which on the new version fails more often; 0 if there is none.
// upstreams is the number of its upstreams: a single one can fail with any version.
func (e *evidence) limitedSlots(upstreams int) float64 {
	loads := e.allLoads()
	if loads.TotalFailed() < minBadAnswers || loads.MinFailedUpstreams() < min(minBadUpstreams, upstreams) {
		return 0
	}
	bucket, ok := rollout.FailureLoad(answerCounts(loads), loadLimitAlpha)
	if !ok {
		return 0
	}
	return float64(bucket) / exchange.LoadBuckets
}

// answerCounts returns the counts by rising load.
func answerCounts(c exchange.LoadCounts) []rollout.AnswerCounts {
	counts := make([]rollout.AnswerCounts, exchange.LoadBuckets)
	for i := range counts {
		counts[i] = rollout.AnswerCounts{Bad: min(c.Failed[i], c.Answers[i]), Total: c.Answers[i]}
	}
	return counts
}

// completedEvidence returns what this host reports of a completed version: its counts by load, if they suggest a limit or one
// is in force.
func (sr *serviceRollout) completedEvidence() (own exchange.Evidence, ok bool) {
	if !sr.loadWatched(boottime.Now()) {
		return own, false
	}
	if _, suspected := rollout.FailureLoad(answerCounts(sr.evidence.ownLoads), suspectLoadAlpha); !suspected && sr.loadLimit == 0 {
		return own, false
	}
	return exchange.Evidence{Service: sr.order.Service, Order: sr.order.Revision, Loads: sr.evidence.ownLoads}, true
}

// setLoadWatched sets whether the hosts exchange the load of the service's upstreams.
func (f *Fleet) setLoadWatched(service string, watched bool) {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadWatched = watched
}

// setLoadLimit sets the limit of a version of the service.
func (f *Fleet) setLoadLimit(service string, limit versionLoadLimit) {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadLimit = limit
}

// countLoadLimits returns the number of services with a version whose load is limited.
func (f *Fleet) countLoadLimits() int {
	limited, now := 0, boottime.Now()
	f.eachShard(func(s *shard) {
		if s.loadLimit.inForce(now) {
			limited++
		}
	})
	return limited
}

// loadLimitAllows reports whether the version's limit permits another request to the upstream. One at a time is always permitted.
// For each request that this host sent since the data on the upstream's load, the other hosts are assumed to have sent one, too.
// The caller holds the shard's lock.
func (m *member) loadLimitAllows(now time.Time) bool {
	limit := m.shard.loadLimit
	if !limit.inForce(now) || limit.version != m.Version {
		return true
	}
	unseen := m.unseenSends(now, m.brittleLoad(now).age) * max(0, m.shard.policy.census.count()-1)
	return m.estimatedRequests(now)+float64(unseen) < max(1, limit.slots*float64(m.Slots))
}

// hasSlotsSoon reports whether a request that no upstream accepts may be accepted as soon as newer data on the upstreams' load
// arrives. The caller holds the shard's lock.
func (s *shard) hasSlotsSoon(regions regionConstraint, now time.Time) bool {
	if s.brittle.Active(now) && s.hasBrittleSlotsSoon(regions, now) {
		return true
	}
	if !s.loadLimit.inForce(now) {
		return false
	}
	for _, m := range s.members {
		if regions.allows(m.Zone) && m.inService(now) && !m.loadLimitAllows(now) {
			return true
		}
	}
	return false
}
