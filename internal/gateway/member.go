package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// loadHalfLife halves the weight of a load that an upstream reported, relative to the mean of
	// its service. A host among dozens receives a report of an upstream only every other second;
	// using an old report, or the host's own few requests, as the load makes busy upstreams look
	// idle.
	loadHalfLife = time.Second
	// meanLoadGain is the weight of a new report in the service's mean load.
	meanLoadGain = 0.03
	// failureGain is the weight of a new outcome in the failure rate.
	failureGain = 0.15
	// failureHalfLife halves a failure rate without new outcomes, so that an upstream that
	// recovered is tried again.
	failureHalfLife = 3 * time.Second
	// ejectUnreachable is how long an unreachable upstream gets no requests.
	ejectUnreachable = time.Second
	// timeoutsToEject is the number of consecutive timeouts after which the upstream counts as
	// unreachable. A single one can be due to an unusually long request.
	timeoutsToEject = 2
	// ejectRate is the failure rate above which an upstream is avoided while others of its service
	// do better.
	ejectRate = 0.45
)

// member holds the state of one upstream. The shard's lock guards it.
type member struct {
	Upstream
	shard *shard
	// name identifies the upstream in messages between hosts.
	name exchange.IDHash
	// revision is the store revision of the newest entry.
	revision  storage.Revision
	removedAt time.Time
	// listedAt is when the first entry was received, updatedAt when the newest was.
	listedAt  time.Time
	updatedAt time.Time
	// lease identifies the upstream in leases.
	lease ratelease.UpstreamID
	// lapsed is set if the entry may have expired because of an outage of the store.
	lapsed bool
	// withdrawn is set while the entry doesn't describe a usable upstream.
	withdrawn bool
	// replaced is set if another upstream took over the address.
	replaced bool
	inFlight int
	// Most of thousands of upstreams get no request from this host, were never cold and have no
	// rate limit: these are nil until needed, to save memory.
	usage     *usage
	coldState *coldState
	limit     *limitState
}

// usage is what this host's own requests show of an upstream.
type usage struct {
	// prefills are this host's prompts that the engine has yet to process, oldest first.
	// lastPrefillEnd is when it last finished one.
	prefills       []*prefill
	lastPrefillEnd time.Time
	// sent counts the most recent requests, where cold upstreams are bounded.
	sent ratelease.Window

	// reported is the load that the upstream reported at reportedAt, when ownAtReport requests of
	// this host were in flight there.
	reported    int
	ownAtReport int
	reportedAt  time.Time

	failureRate  float64
	failureAt    time.Time
	ejectedUntil time.Time
	ejections    int
	// timeouts counts the timeouts since the last successful attempt.
	timeouts int
}

// ensureUsage returns the member's usage and creates it if there is none.
func (m *member) ensureUsage() *usage {
	if m.usage == nil {
		m.usage = &usage{}
	}
	return m.usage
}

// usageSnapshot returns a copy of the member's usage; the zero value if there is none.
func (m *member) usageSnapshot() usage {
	if m.usage == nil {
		return usage{}
	}
	return *m.usage
}

// inService reports whether new requests may be sent to the upstream.
func (m *member) inService(now time.Time, grace time.Duration) bool {
	if m.Leaving || m.withdrawn || m.replaced {
		return false
	}
	if m.lapsed {
		grace = max(grace, lapseGrace)
	}
	return m.removedAt.IsZero() || now.Sub(m.removedAt) < grace
}

// load returns the estimated number of requests at the upstream.
func (m *member) load(now time.Time) float64 {
	if work, ok := m.totalWork(now); ok {
		return work
	}
	own := float64(m.inFlight)
	mean := max(own, m.shard.meanLoad*float64(max(1, m.Slots)))
	u := m.usageSnapshot()
	if u.reportedAt.IsZero() {
		return mean
	}
	reported := max(own, float64(u.reported+m.inFlight-u.ownAtReport))
	weight := math.Exp2(-float64(now.Sub(u.reportedAt)) / float64(loadHalfLife))
	return weight*reported + (1-weight)*mean
}

// loadSource names the data that a load estimate is based on.
type loadSource string

const (
	// loadExchanged: this host's own work and the work that the other hosts reported.
	loadExchanged loadSource = "exchange"
	// loadReported: the load that the upstream reported with an answer.
	loadReported loadSource = "report"
	// loadUnknown: the service's mean.
	loadUnknown loadSource = "mean"
)

// loadSource returns the source of load and the age of its data.
func (m *member) loadSource(now time.Time) (loadSource, time.Duration) {
	if _, ok := m.totalWork(now); ok {
		return loadExchanged, now.Sub(m.shard.remoteWorkAt)
	}
	reportedAt := m.usageSnapshot().reportedAt
	if reportedAt.IsZero() {
		return loadUnknown, 0
	}
	return loadReported, now.Sub(reportedAt)
}

// relativeLoad returns the load per slot.
func (m *member) relativeLoad(now time.Time) float64 {
	return m.load(now) / float64(max(1, m.Slots))
}

// currentFailureRate returns the failure rate decayed to now.
func (m *member) currentFailureRate(now time.Time) float64 {
	if m.usage == nil {
		return 0
	}
	return m.usage.failureRate * math.Exp2(-float64(now.Sub(m.usage.failureAt))/float64(failureHalfLife))
}

// ejected reports whether the upstream gets no requests for now.
func (m *member) ejected(now time.Time) bool {
	return m.usage != nil && !now.After(m.usage.ejectedUntil)
}

// observe records the result of an attempt.
func (m *member) observe(result attemptResult, now time.Time) {
	if result.load != "" {
		m.observeLoad(result.load, now)
	}
	u, bad := m.ensureUsage(), 0.0
	switch result.outcome {
	case outcomeUnsent:
		m.eject(now)
		bad = 1
	case outcomeSilent:
		u.timeouts++
		if u.timeouts >= timeoutsToEject {
			m.eject(now)
		}
		bad = 1
	case outcomeUnknown, outcomeFailed, outcomeBroken:
		bad = 1
	case outcomeRefused:
		if result.misdirected {
			m.eject(now)
		}
		return
	case outcomeAbandoned:
		return
	}
	if bad == 0 {
		u.ejections = 0
		u.timeouts = 0
	}
	rate := m.currentFailureRate(now)
	u.failureRate = rate + failureGain*(bad-rate)
	u.failureAt = now
}

// eject excludes the upstream for a time that doubles with each repetition.
func (m *member) eject(now time.Time) {
	const maxDoublings = 3
	u := m.ensureUsage()
	u.ejectedUntil = now.Add(ejectUnreachable << min(u.ejections, maxDoublings))
	u.ejections++
}

// observeLoad parses a load header: running, waiting, slots.
func (m *member) observeLoad(load string, now time.Time) {
	fields := strings.Split(load, ",")
	if len(fields) < 2 {
		return
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(fields[1]))
	if errRunning != nil || errWaiting != nil {
		return
	}
	u := m.ensureUsage()
	u.reported = running + waiting
	u.ownAtReport = m.inFlight
	u.reportedAt = now
	relative := float64(u.reported) / float64(max(1, m.Slots))
	m.shard.meanLoad += meanLoadGain * (relative - m.shard.meanLoad)
}
