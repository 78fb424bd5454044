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
	// loadHalfLife halves the weight of a load that an upstream reported,
	// against the mean of its service. A host among dozens hears of an upstream
	// every other second only; taking an old report, or the host's own few
	// requests, for the load makes busy upstreams look idle.
	loadHalfLife = time.Second
	// typicalGain is the weight of a new report in the service's mean load.
	typicalGain = 0.03
	// failureGain is the weight of a new outcome in the failure rate.
	failureGain = 0.15
	// failureHalfLife halves a failure rate without new outcomes, so that an
	// upstream that recovered is tried again.
	failureHalfLife = 3 * time.Second
	// ejectUnreachable is how long an upstream that can't be reached gets no
	// request.
	ejectUnreachable = time.Second
	// silencesToEject is how many attempts in a row stay without an answer before
	// the upstream counts as unreachable. One can be a request of unusual length.
	silencesToEject = 2
	// ejectRate is the failure rate above which an upstream is passed over
	// while others of its service do better.
	ejectRate = 0.45
)

// member is what is known of one upstream. The shard's lock guards it.
type member struct {
	Upstream
	shard *shard
	// name stands for the upstream in what hosts tell each other.
	name exchange.Name
	// revision is the store's, of the newest entry.
	revision  storage.Revision
	removedAt time.Time
	// listedAt is when the first entry came, heardAt when the newest did.
	listedAt time.Time
	heardAt  time.Time
	// lease stands for the upstream in leases.
	lease ratelease.Upstream
	// lapsed says that the entry may have vanished because the store was away.
	lapsed bool
	// withdrawn says that the entry names no upstream to use any more.
	withdrawn bool
	// replaced says that another upstream took its address.
	replaced bool
	inFlight int
	// Most of thousands of upstreams get no request of this host, were never cold and name
	// no limit: these are nil until there is something to note.
	usage  *usage
	warmth *warmth
	limit  *namedLimit
}

// usage is what a host's own requests tell of an upstream.
type usage struct {
	// readings are this host's prompts that the engine has to read, the oldest first;
	// beganAt is when it last ended one.
	readings []*reading
	beganAt  time.Time
	// sent are the requests of the last moment, where cold upstreams are bounded.
	sent ratelease.Window

	// reported is the load that the upstream told at reportedAt, when this host
	// had reportedOwn requests there.
	reported    int
	reportedOwn int
	reportedAt  time.Time

	failureRate  float64
	failureAt    time.Time
	ejectedUntil time.Time
	ejections    int
	// silences counts the attempts without an answer since the last good one.
	silences int
}

// used returns the member's usage, to note something.
func (m *member) used() *usage {
	if m.usage == nil {
		m.usage = &usage{}
	}
	return m.usage
}

// known returns the member's usage, to read it; nothing if there is none.
func (m *member) known() usage {
	if m.usage == nil {
		return usage{}
	}
	return *m.usage
}

// takesWork says whether new requests may be sent.
func (m *member) takesWork(now time.Time, grace time.Duration) bool {
	if m.Leaving || m.withdrawn || m.replaced {
		return false
	}
	if m.lapsed {
		grace = max(grace, lapseGrace)
	}
	return m.removedAt.IsZero() || now.Sub(m.removedAt) < grace
}

// load is the number of requests believed to be at the upstream.
func (m *member) load(now time.Time) float64 {
	if work, ok := m.knownWork(now); ok {
		return work
	}
	own := float64(m.inFlight)
	typical := max(own, m.shard.typicalLoad*float64(max(1, m.Slots)))
	u := m.known()
	if u.reportedAt.IsZero() {
		return typical
	}
	told := max(own, float64(u.reported+m.inFlight-u.reportedOwn))
	weight := math.Exp2(-float64(now.Sub(u.reportedAt)) / float64(loadHalfLife))
	return weight*told + (1-weight)*typical
}

// loadSource is what a load is believed from.
type loadSource string

const (
	// loadExchanged: this host's own work and what the others said of theirs.
	loadExchanged loadSource = "exchange"
	// loadReported: what the upstream said with an answer.
	loadReported loadSource = "report"
	// loadUnknown: the service's mean.
	loadUnknown loadSource = "mean"
)

// loadSource says what load goes by, and how old that is.
func (m *member) loadSource(now time.Time) (loadSource, time.Duration) {
	if _, ok := m.knownWork(now); ok {
		return loadExchanged, now.Sub(m.shard.othersAt)
	}
	reportedAt := m.known().reportedAt
	if reportedAt.IsZero() {
		return loadUnknown, 0
	}
	return loadReported, now.Sub(reportedAt)
}

// relativeLoad is the load per slot.
func (m *member) relativeLoad(now time.Time) float64 {
	return m.load(now) / float64(max(1, m.Slots))
}

// failures is the failure rate decayed to now.
func (m *member) failures(now time.Time) float64 {
	if m.usage == nil {
		return 0
	}
	return m.usage.failureRate * math.Exp2(-float64(now.Sub(m.usage.failureAt))/float64(failureHalfLife))
}

// ejected says whether the upstream gets no request for now.
func (m *member) ejected(now time.Time) bool {
	return m.usage != nil && !now.After(m.usage.ejectedUntil)
}

// observe takes in how an attempt ended.
func (m *member) observe(result attemptResult, now time.Time) {
	if result.load != "" {
		m.report(result.load, now)
	}
	u, bad := m.used(), 0.0
	switch result.outcome {
	case outcomeUnsent:
		m.eject(now)
		bad = 1
	case outcomeSilent:
		u.silences++
		if u.silences >= silencesToEject {
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
		u.silences = 0
	}
	rate := m.failures(now)
	u.failureRate = rate + failureGain*(bad-rate)
	u.failureAt = now
}

// eject keeps the upstream out for a time that doubles with each repetition.
func (m *member) eject(now time.Time) {
	const maxDoublings = 3
	u := m.used()
	u.ejectedUntil = now.Add(ejectUnreachable << min(u.ejections, maxDoublings))
	u.ejections++
}

// report takes in a load header: running, waiting, slots.
func (m *member) report(load string, now time.Time) {
	fields := strings.Split(load, ",")
	if len(fields) < 2 {
		return
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(fields[1]))
	if errRunning != nil || errWaiting != nil {
		return
	}
	u := m.used()
	u.reported = running + waiting
	u.reportedOwn = m.inFlight
	u.reportedAt = now
	relative := float64(u.reported) / float64(max(1, m.Slots))
	m.shard.typicalLoad += typicalGain * (relative - m.shard.typicalLoad)
}
