package gateway

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
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
		notices, backoff := m.ensureNotices(), s.brittle.RejectionBackoff(s.policy.census.count())
		notices.rejections.Record(now)
		notices.backoff.ExtendRejected(backoff, now)
		s.brittle.RecordRejection(s.policy.census.count(), len(s.members), now)
		m.logBackoff(backoff, now, f.log)
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
	// boundHostsUnknown: the host's window, since the number of hosts is unknown.
	boundHostsUnknown brittleBound = "hosts-unknown"
	// boundFreeSlots: the host's part of the free slots.
	boundFreeSlots brittleBound = "free-slots"
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
	// unseen is the number of requests of this host that the data doesn't show yet, free the number of slots that were
	// assumed to be free, runTime the mean time for which a request is at an upstream.
	unseen  int
	free    float64
	runTime time.Duration
}

// brittleDecision returns the data by which a request to the upstream is permitted now. The caller holds the
// shard's lock.
func (m *member) brittleDecision(now time.Time) brittleDecision {
	s := m.shard
	d := brittleDecision{bound: boundNone, limit: s.brittle.Limit(), statedAge: s.brittle.Age(now), own: m.inFlight, hosts: s.policy.census.count()}
	if !s.brittle.Active(now) {
		return d
	}
	load, use := m.brittleLoad(now), m.brittleUse(now)
	d.load, d.loadSource, d.loadAge = load.others+float64(m.inFlight), load.source, load.age
	d.unseen, d.free, d.runTime = use.Unseen, s.brittle.FreeSlots(&use, now), use.RunTime
	switch {
	case m.notices != nil && !m.notices.backoff.IsOver(now):
		d.bound = boundTrial
	case s.policy.singleHost:
		d.bound = boundSingleHost
	case d.hosts == 0:
		d.bound = boundHostsUnknown
	default:
		d.bound = boundFreeSlots
	}
	return d
}

// log adds the decision to a log line.
func (d *brittleDecision) log(line *zerolog.Event) *zerolog.Event {
	return line.Str("bound", string(d.bound)).Int("rejections_per_s", d.limit).Int64("stated_ms", d.statedAge.Milliseconds()).
		Float64("load", math.Round(10*d.load)/10).Str("load_from", string(d.loadSource)).Int64("load_age_ms", d.loadAge.Milliseconds()).
		Int("own", d.own).Int("hosts", d.hosts).Int("unseen", d.unseen).Float64("free", math.Round(10*d.free)/10).Int64("run_ms", d.runTime.Milliseconds())
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
	s.adjustBrittleGain(now)
	if m.brittleTurn == nil {
		m.brittleTurn = new(notice.Turn)
	}
	use := m.brittleUse(now)
	return s.brittle.Allows(&use, m.brittleTurn, now, boottime.SinceStart(now))
}

// hasBrittleSlotsSoon reports whether only the bound on brittle upstreams keeps this host from sending a request to one
// of them: newer load data can show a free slot. The caller holds the shard's lock.
func (s *shard) hasBrittleSlotsSoon(regions regionConstraint, now time.Time) bool {
	for _, m := range s.members {
		if regions.allows(m.Zone) && m.inService(now) && !m.backsOff(now) && !m.brittleAllows(now) {
			return true
		}
	}
	return false
}

// brittleUse returns the use of the upstream by all hosts.
func (m *member) brittleUse(now time.Time) notice.BrittleUse {
	s := m.shard
	u := notice.BrittleUse{RunTime: s.runTimes.Mean(boottime.SinceStart(now)), Slots: m.Slots, Own: m.inFlight, Hosts: s.policy.census.count(), Point: m.leaseID.Point(s.policy.seed)}
	if s.policy.singleHost {
		u.Hosts = 1
	}
	u.OwnTotal = s.runTimes.InFlight()
	data := m.brittleLoad(now)
	u.Others, u.Age = data.others, data.age
	u.Unseen = m.unseenSends(now, u.Age)
	return u
}

// unseenSends returns the number of this host's requests in flight that were sent within the given age while sends were
// recorded.
func (m *member) unseenSends(now time.Time, age time.Duration) int {
	if m.usage == nil {
		return 0
	}
	unseen := 0
	for _, sentAt := range m.usage.sentWhileBounded {
		if now.Sub(sentAt) <= age {
			unseen++
		}
	}
	return unseen
}

// brittleLoad is the number of requests of other hosts at an upstream, as of age ago.
type brittleLoad struct {
	others float64
	age    time.Duration
	source loadSource
}

// unknownLoadAge is the age of the load of an upstream that no data is known of.
const unknownLoadAge = time.Hour

// estimatedRequests returns the number of requests at the upstream by the newest data on it.
func (m *member) estimatedRequests(now time.Time) float64 {
	return m.brittleLoad(now).others + float64(m.inFlight)
}

// brittleLoad returns the newest data on the upstream's load.
func (m *member) brittleLoad(now time.Time) brittleLoad {
	s := m.shard
	newest := brittleLoad{age: unknownLoadAge, source: loadFromMean}
	consider := func(l brittleLoad) {
		if l.age < newest.age {
			newest = l
		}
	}
	// A stream's load report is as old as its head, which the engine's state has the time of.
	if u := m.usage; u != nil && !u.reportedAt.IsZero() && !s.servesPrompts {
		consider(brittleLoad{others: float64(max(0, u.reportedLoad-u.ownAtReport)), age: now.Sub(u.reportedAt), source: loadFromReport})
	}
	if state := s.engineStates.own[m.idHash]; state != nil && !state.statedAt.IsZero() {
		consider(brittleLoad{others: float64(max(0, state.statedRequests-state.ownAtStatement)), age: now.Sub(state.statedAt), source: loadFromReport})
	}
	// Old sums count, too: as they age, fewer of their requests are left.
	if load, ok := s.engineStates.lastRemoteLoad(m); ok && s.servesPrompts {
		consider(brittleLoad{others: s.allHostsLoad(load.Requests), age: now.Sub(s.engineStates.remoteLoadsAt) + exchange.EngineLoadsAge, source: loadFromExchange})
	}
	if _, ok := m.totalWork(now); ok && !s.servesPrompts {
		consider(brittleLoad{others: s.allHostsLoad(s.remoteWork[m.idHash]), age: now.Sub(s.remoteWorkAt) + exchange.Interval, source: loadFromExchange})
	}
	return newest
}

// allHostsLoad returns the load by all hosts, given that by the hosts that the hub's data cover.
func (s *shard) allHostsLoad(covered float64) float64 {
	return covered / max(minCoverage, s.policy.census.coverage())
}

// minCoverage is the coverage below which the hub's data count as those of more hosts: the load of a few hosts says
// little about that of all.
const minCoverage = 0.1

// gainUpdateInterval is the time between two computations of a brittle service's mean load.
const gainUpdateInterval = exchange.Interval

// adjustBrittleGain adapts the number of hosts that may send requests to the mean load of the service. The caller
// holds the shard's lock.
func (s *shard) adjustBrittleGain(now time.Time) {
	if now.Sub(s.brittleGainAt) < gainUpdateInterval {
		return
	}
	s.brittleGainAt = now
	requests, slots, known, upstreams := 0.0, 0, 0, 0
	for _, m := range s.members {
		if !m.removedAt.IsZero() || m.withdrawn || m.ejected(now) {
			continue
		}
		upstreams++
		slots += max(1, m.Slots)
		if load := m.brittleLoad(now); load.source == loadFromExchange {
			requests += load.others + float64(m.inFlight)
			known += max(1, m.Slots)
		}
	}
	if upstreams == 0 {
		return
	}
	load := s.recentSlotLoad.at(now)
	if known > 0 {
		load = requests / float64(known)
	}
	s.brittle.AdjustGain(load, s.policy.census.count(), float64(slots)/float64(upstreams), now, boottime.SinceStart(now))
}

const (
	// recentLoadGain is the weight of a new report in recentSlotLoad, recentLoadRetention the time constant with which that
	// decreases without reports: a host without them has to send requests to get some.
	recentLoadGain      = 0.2
	recentLoadRetention = 3 * time.Second
)

// recentLoad is the decayed mean, over the last reports of a service's upstreams, of the requests per slot.
type recentLoad struct {
	mean       float64
	reportedAt time.Time
}

// observe adds an upstream's report.
func (l *recentLoad) observe(slotLoad float64, now time.Time) {
	l.mean = l.at(now)
	l.mean += recentLoadGain * (slotLoad - l.mean)
	l.reportedAt = now
}

func (l *recentLoad) at(now time.Time) float64 {
	return l.mean * math.Exp(-float64(now.Sub(l.reportedAt))/float64(recentLoadRetention))
}

// recordBoundedSend records when a request was sent to an upstream that may be brittle or whose load is limited; endBoundedSend
// that it is over.
func (m *member) recordBoundedSend(c *choice) {
	if m.shard.brittle.Active(c.chosenAt) || m.shard.loadLimit.inForce(c.chosenAt) {
		u := m.ensureUsage()
		u.sentWhileBounded = append(u.sentWhileBounded, c.chosenAt)
	}
}

func (m *member) endBoundedSend(c *choice) {
	if u := m.usage; u != nil {
		if i := slices.Index(u.sentWhileBounded, c.chosenAt); i >= 0 {
			u.sentWhileBounded = slices.Delete(u.sentWhileBounded, i, i+1)
		}
	}
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
