package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/rs/zerolog"

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
		m.ensureNotices().rejections.Record(now)
		m.extendBackoff(s.brittle.RejectionBackoff(s.policy.hostCount()), now, f.log)
	}
}

// isBrittle reports whether the upstream is one of a service whose upstreams are brittle.
func (f *Fleet) isBrittle(id exchange.IDHash) (brittle bool) {
	now := boottime.Now()
	f.eachShard(func(s *shard) { brittle = brittle || s.membersByHash[id] != nil && s.brittle.Active(now) })
	return brittle
}

// brittleBound names the bound by which a request was permitted at an upstream that may be brittle.
type brittleBound string

const (
	// boundNone: no answer had stated, or none recently, that the upstreams are brittle.
	boundNone brittleBound = "none"
	// boundSingleHost: there is no other host.
	boundSingleHost brittleBound = "single-host"
	// boundHostsUnknown: the number of hosts is unknown, so that this one has one request in flight.
	boundHostsUnknown brittleBound = "hosts-unknown"
	// boundShare: the host's share of the slots. boundTurn: its turn, where hosts outnumber the slots.
	boundShare brittleBound = "share"
	boundTurn  brittleBound = "turn"
	// boundTrial: the first request after a backoff.
	boundTrial brittleBound = "trial"
)

// brittleDecision is the data by which a request was permitted at an upstream that may be brittle.
type brittleDecision struct {
	bound brittleBound
	// limit is the number of rejections in a second that the upstreams bear by the statement that was
	// received statedAge ago; 0 if there is none.
	limit     int
	statedAge time.Duration
	// load is the number of requests that the upstream was assumed to have, running and waiting, by data of
	// the source and age. own is the number of those of this host, hosts the number of hosts; 0 if unknown.
	load       float64
	loadSource loadSource
	loadAge    time.Duration
	own, hosts int
}

// brittleDecision returns the data by which a request to the upstream is permitted now. The caller holds the
// shard's lock.
func (m *member) brittleDecision(now time.Time) brittleDecision {
	s := m.shard
	d := brittleDecision{bound: boundNone, limit: s.brittle.Limit(), statedAge: s.brittle.Age(now), own: m.inFlight, hosts: s.policy.hostCount()}
	if !s.brittle.Active(now) {
		return d
	}
	d.load = m.requestLoad(now)
	d.loadSource, d.loadAge = m.requestLoadSource(now)
	switch {
	case m.notices != nil && !m.notices.backoff.IsOver(now):
		d.bound = boundTrial
	case s.policy.singleHost:
		d.bound = boundSingleHost
	case d.hosts == 0:
		d.bound = boundHostsUnknown
	case d.hosts > m.Slots:
		d.bound = boundTurn
	default:
		d.bound = boundShare
	}
	return d
}

// log adds the decision to a log line.
func (d *brittleDecision) log(line *zerolog.Event) *zerolog.Event {
	return line.Str("bound", string(d.bound)).Int("rejections_per_s", d.limit).Int64("stated_ms", d.statedAge.Milliseconds()).
		Float64("load", math.Round(10*d.load)/10).Str("load_from", string(d.loadSource)).Int64("load_age_ms", d.loadAge.Milliseconds()).
		Int("own", d.own).Int("hosts", d.hosts)
}

// logBrittleRejection logs and counts that a brittle upstream rejected the request because it is full, with
// the data by which the request was permitted and the load that the upstream states in its answer.
func (a *attempt) logBrittleRejection(resp *http.Response) {
	c, names := &a.choice, &a.gateway.settings.Headers
	line := a.gateway.log.Warn().Str("event", "brittle-rejection").Str("request", a.request.ID).Str("service", c.upstream.Service).Str("upstream", c.upstream.ID).
		Int("attempt", a.request.attempts).Int64("since_choice_ms", boottime.Since(c.chosenAt).Milliseconds()).Str("stated_load", headerText(resp.Header.Values(names.Load)))
	c.brittle.log(line).Msg("")
	a.gateway.metrics.countBrittleRejection(c.upstream.Service, c.brittle.bound)
}

// logBrittleEnd logs and counts the termination of an upstream that had stated that it is brittle. The caller
// holds the shard's lock.
func (m *member) logBrittleEnd(now time.Time, log zerolog.Logger) {
	d, own := m.brittleDecision(now), 0
	if m.notices != nil {
		own = m.notices.rejections.Count(now)
	}
	line := log.Warn().Str("event", "brittle-upstream-ended").Str("service", m.Service).Str("upstream", m.ID).Str("zone", m.Zone).
		Int("own_rejections", own)
	d.log(line).Msg("")
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

// requestLoadSource returns the source of requestLoad and the age of its data.
func (m *member) requestLoadSource(now time.Time) (loadSource, time.Duration) {
	if _, ok := m.totalWork(now); ok && !m.shard.servesPrompts {
		return loadFromExchange, now.Sub(m.shard.remoteWorkAt)
	}
	reportedAt := m.usageSnapshot().reportedAt
	if reportedAt.IsZero() {
		return loadFromMean, 0
	}
	return loadFromReport, now.Sub(reportedAt)
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
