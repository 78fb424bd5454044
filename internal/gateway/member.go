package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// loadHalfLife is the age at which a load that an upstream reported has half the weight in the
	// load estimate; the mean load of its service has the other half. With dozens of hosts, each
	// host receives a report from an upstream only about every two seconds, and an old report or
	// the host's own few requests alone make busy upstreams look idle.
	loadHalfLife = time.Second
	// meanSlotLoadGain is the weight of a new report in the service's mean load.
	meanSlotLoadGain = 0.03
	// failureGain is the weight of a new outcome in an upstream's failure rate.
	failureGain = 0.15
	// failureHalfLife is the time after which a failure rate halves if there are no new outcomes,
	// so that an upstream that recovered is tried again.
	failureHalfLife = 3 * time.Second
	// ejectionTime is how long an unreachable upstream gets no requests after the first ejection.
	ejectionTime = time.Second
	// timeoutsToEject is the number of consecutive timeouts after which an upstream counts as
	// unreachable. A single timeout can be due to an unusually long request.
	timeoutsToEject = 2
	// rejectionTime is how long an upstream that rejected a request without a Retry-After is avoided
	// if others are available. It doubles with each rejection since the last accepted request, up to
	// maxRejectionDoublings times.
	rejectionTime         = 200 * time.Millisecond
	maxRejectionDoublings = 3
	// maxExcessFailureRate is how far an upstream's failure rate may exceed the mean of the
	// candidates. Above that the upstream is avoided if another candidate fails less often.
	maxExcessFailureRate = 0.45
)

// member holds the state of one upstream. The shard's lock guards it.
type member struct {
	Upstream
	shard *shard
	// idHash identifies the upstream in messages between hosts.
	idHash exchange.IDHash
	// revision is the store revision of the newest entry. removedAt is when the host was notified
	// that the entry was removed, and usableUntil is the time after which the upstream gets no requests
	// because of that; both are zero while the entry exists.
	revision    storage.Revision
	removedAt   time.Time
	usableUntil time.Time
	// listedAt is when the upstream's first entry was received. updatedAt is when its newest entry
	// was received.
	listedAt  time.Time
	updatedAt time.Time
	// leaseID identifies the upstream in leases.
	leaseID ratelease.UpstreamID
	// expiredInOutage is set if the entry may have expired because of an outage of the store.
	expiredInOutage bool
	// withdrawn is set while the entry doesn't describe a usable upstream.
	withdrawn bool
	// replaced is set if another upstream was listed later with the same address. inFlight is the
	// number of requests of this host that the upstream is processing.
	replaced bool
	inFlight int
	// The fields below are nil until needed, to save memory: of thousands of upstreams, most get no
	// request from this host, were never cold, have no rate limit and stated nothing.
	usage     *usage
	coldState *coldState
	limit     *limitState
	notices   *noticeState
	// brittleTurn is this host's turn while the service is brittle.
	brittleTurn *notice.Turn
}

// usage holds the data that this host derives from its own requests to an upstream. failureRate is
// the decayed fraction of failed attempts as of failureRateAt.
type usage struct {
	// prefills are the prompts from this host whose prefill the engine hasn't finished, oldest
	// first. lastPrefillEnd is when the engine last finished the prefill of a prompt from this
	// host.
	prefills       []*prefill
	lastPrefillEnd time.Time
	// sent counts the most recent requests of this host to the upstream, by which the bound for
	// cold upstreams is enforced.
	sent ratelease.Window
	// sentWhileBounded are the times at which this host's requests in flight were sent while the service
	// was brittle or its load limited.
	sentWhileBounded []time.Time

	// reportedLoad is the number of requests, running and waiting, that the upstream reported at
	// reportedAt, when ownAtReport requests of this host were in flight there.
	reportedLoad int
	ownAtReport  int
	reportedAt   time.Time
	// statedSlowdown is how long work took on the upstream at statedSlowdownAt, as a multiple of
	// the usual time, by its own statement; 0 if it made none.
	statedSlowdown   float64
	statedSlowdownAt time.Time

	failureRate   float64
	failureRateAt time.Time
	ejectedUntil  time.Time
	ejections     int
	// timeouts counts the timeouts since the last successful attempt.
	timeouts int
	// rejections counts the rejected requests since the last accepted one. The upstream is avoided
	// until rejectedUntil.
	rejections    int
	rejectedUntil time.Time
	// fetch is what this host observed of the engine's support for fetching cached parts.
	fetch fetchSupport
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

// inService reports whether the upstream's entry and its statements permit new requests to it.
func (m *member) inService(now time.Time) bool {
	return !m.isLeaving(now) && !m.withdrawn && !m.replaced && m.isUsable(now)
}

// isUsable reports whether the upstream's entry exists, or was removed so recently that the upstream still gets
// requests.
func (m *member) isUsable(now time.Time) bool {
	return m.removedAt.IsZero() || now.Before(m.usableUntil)
}

// load returns the estimated load of the upstream by the requests of all hosts. It is the work in
// flight (milliseconds of prefill for an engine, requests for a plain service) if totalWork is
// known, otherwise the number of requests.
func (m *member) load(now time.Time) float64 {
	if work, ok := m.totalWork(now); ok {
		return work
	}
	return m.reportedRequests(now)
}

// loadSource names the data that a load estimate is based on.
type loadSource string

const (
	// loadFromExchange: this host's own work and the work that the other hosts reported.
	loadFromExchange loadSource = "exchange"
	// loadFromReport: the load that the upstream reported with an answer.
	loadFromReport loadSource = "report"
	// loadFromMean: the mean load of the service's upstreams.
	loadFromMean loadSource = "mean"
)

// loadSource returns the source of the load estimate and the age of the data.
func (m *member) loadSource(now time.Time) (loadSource, time.Duration) {
	if _, ok := m.totalWork(now); ok {
		return loadFromExchange, now.Sub(m.shard.remoteWorkAt)
	}
	reportedAt := m.usageSnapshot().reportedAt
	if reportedAt.IsZero() {
		return loadFromMean, 0
	}
	return loadFromReport, now.Sub(reportedAt)
}

// loadPerSlot returns the estimated load of the upstream divided by its slots.
func (m *member) loadPerSlot(now time.Time) float64 {
	return m.load(now) / float64(max(1, m.Slots))
}

// currentFailureRate returns the failure rate, decayed to its value now.
func (m *member) currentFailureRate(now time.Time) float64 {
	if m.usage == nil {
		return 0
	}
	return m.usage.failureRate * math.Exp2(-float64(now.Sub(m.usage.failureRateAt))/float64(failureHalfLife))
}

// ejected reports whether the upstream is ejected: it gets no requests for some time.
func (m *member) ejected(now time.Time) bool {
	return m.usage != nil && !now.After(m.usage.ejectedUntil)
}

// rejecting reports whether the upstream is avoided because it rejected the last request.
func (m *member) rejecting(now time.Time) bool {
	return m.usage != nil && m.usage.rejections > 0 && now.Before(m.usage.rejectedUntil)
}

// observeResult records the result of an attempt.
func (m *member) observeResult(result attemptResult, now time.Time) {
	if result.load != "" {
		m.observeLoad(result.load, now)
	}
	if isRelayFailure(result.err) {
		return
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
			return
		}
		if m.notices != nil && m.notices.backoff.Active(now) {
			return // the upstream stated when it accepts requests again
		}
		u.rejectedUntil = now.Add(rejectionTime << min(u.rejections, maxRejectionDoublings))
		u.rejections++
		return
	case outcomeAbandoned, outcomeWithheld:
		return
	}
	if bad == 0 {
		u.rejections = 0
		u.ejections = 0
		u.timeouts = 0
	}
	rate := m.currentFailureRate(now)
	u.failureRate = rate + failureGain*(bad-rate)
	u.failureRateAt = now
}

// eject excludes the upstream from requests for ejectionTime. The duration doubles with each
// ejection since the last successful attempt, up to 8 times ejectionTime.
func (m *member) eject(now time.Time) {
	const maxDoublings = 3
	u := m.ensureUsage()
	u.ejectedUntil = now.Add(ejectionTime << min(u.ejections, maxDoublings))
	u.ejections++
}

// observeLoad records the load from an answer's load header: running, waiting, slots and, if the
// upstream shares its machine, how long work takes at present in percent of the usual time.
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
	u.reportedLoad = running + waiting
	u.ownAtReport = m.inFlight
	u.reportedAt = now
	if len(fields) > slowdownField {
		m.observeSlowdown(fields[slowdownField], now)
	}
	relative := float64(u.reportedLoad) / float64(max(1, m.Slots))
	m.shard.meanSlotLoad += meanSlotLoadGain * (relative - m.shard.meanSlotLoad)
	m.shard.engineStates.observeSlotLoad(relative)
	m.shard.recentSlotLoad.observe(relative, now)
}
