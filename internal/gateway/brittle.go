package gateway

import (
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/notice"
)

// observeBrittle records what an answer states about the rejections that the service's upstreams bear. If
// the chosen one rejected the request because it is full, this host sends it none for some time.
func (f *Fleet) observeBrittle(c *choice, limit int, full bool) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if limit > 0 && !s.brittle.Active(now) {
		f.log.Warn().Str("event", "upstreams-brittle").Str("service", c.upstream.Service).Str("upstream", c.upstream.ID).Int("rejections_per_s", limit).Msg("")
	}
	s.brittle.Record(limit, now)
	if m := s.chosenMember(c); m != nil && full && s.brittle.Active(now) {
		m.extendBackoff(s.brittle.RejectionBackoff(s.policy.hostCount()), now, f.log)
	}
}

// brittleAllows reports whether this host may send another request to an upstream that may be brittle. The
// caller holds the shard's lock.
func (m *member) brittleAllows(now time.Time) bool {
	s := m.shard
	if !s.brittle.Active(now) {
		return true
	}
	hosts := s.policy.hostCount()
	if s.policy.singleHost {
		hosts = 1
	}
	use := notice.BrittleUse{Load: m.requestLoad(now), Slots: m.Slots, Own: m.inFlight, Hosts: hosts, Point: m.leaseID.Point(s.policy.seed)}
	if m.brittleShare == nil {
		m.brittleShare = new(notice.BrittleShare)
	}
	return m.brittleShare.Allows(use, boottime.Elapsed())
}

// requestLoad returns the estimated number of requests, running and waiting, at the upstream.
func (m *member) requestLoad(now time.Time) float64 {
	load := m.reportedRequests(now)
	if work, ok := m.totalWork(now); ok && !m.shard.servesPrompts {
		load = max(load, work)
	}
	return load
}

// reportedRequests returns the number of requests at the upstream by its own reports and, as these age,
// by the mean of its service.
func (m *member) reportedRequests(now time.Time) float64 {
	own := float64(m.inFlight)
	mean := max(own, m.shard.meanSlotLoad*float64(max(1, m.Slots)))
	u := m.usageSnapshot()
	if u.reportedAt.IsZero() {
		return mean
	}
	reported := max(own, float64(u.reportedLoad+m.inFlight-u.ownAtReport))
	weight := math.Exp2(-float64(now.Sub(u.reportedAt)) / float64(loadHalfLife))
	return weight*reported + (1-weight)*mean
}
