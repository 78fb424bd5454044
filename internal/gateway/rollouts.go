package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/evenhash"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// writeSpread is the span over which hosts spread their attempts to write the first status,
	// which any of them may write: the first one's write is received by the others before most of
	// them have tried. completeSpread is the same for the last status, which has to be stored
	// before the roll-out's time is up.
	writeSpread    = 1200 * time.Millisecond
	completeSpread = 200 * time.Millisecond
	// hubSpread is the span over which hosts with followers spread their writes of a status: at
	// most a few write before they receive the first one's. A follower waits for followerDelay, or
	// followerUrgentDelay if the status ends the roll-out: it receives a write within half a second.
	hubSpread           = 200 * time.Millisecond
	followerDelay       = 1500 * time.Millisecond
	followerUrgentDelay = 700 * time.Millisecond
	// maxStatusAge is the greatest age of the status data at which the share is raised: a host
	// that can't receive that others stopped a version keeps its share.
	maxStatusAge = 3 * time.Second
	// statusTimeout bounds a write of a status.
	statusTimeout = time.Second
	// rolloutTick is the interval at which roll-outs are processed.
	rolloutTick = 100 * time.Millisecond
)

// rollouts carries out roll-outs. Each host keeps a new version's share for its own requests, and
// thereby the sum over all hosts keeps it, and stops a version by its own evidence; the other
// hosts learn of the stop from the store.
type rollouts struct {
	settings *Settings
	fleet    *Fleet
	statuses *feed.Watcher
	// hasFollowers reports whether other hosts receive the store's tables from this one.
	hasFollowers func() bool
	log          zerolog.Logger
	// single is the ramp of requests without a session, sessions that of requests with one.
	single   ramp
	sessions ramp

	mu     sync.Mutex
	active map[string]*activeRollout
	// stored are the statuses that were received before their orders.
	stored map[string]RolloutStatus
}

// activeRollout is a service's newest roll-out.
type activeRollout struct {
	order  RolloutOrder
	status RolloutStatus
	// stopped is set if this host's evidence shows that the version is worse.
	stopped bool
	// share is the new version's share of requests without a session, sessionShare that of
	// sessions.
	share        float64
	sessionShare float64
	// seenAt is when this host received the order.
	seenAt   time.Time
	evidence evidence
	// inconclusive is set if the time is up and there is too little evidence for completion.
	inconclusive bool
	// writing is set while a status is being written. writeAt is when this host is to write one;
	// zero before one is due.
	writing bool
	writeAt time.Time
	// unsaved is set if the store was restored from a backup and lacks the status, or has it under
	// another revision of the order.
	unsaved bool
	// earlierRevisions are the revisions of the order's row in earlier eras of the store.
	earlierRevisions []storage.Revision
	era              eraTracker
	// failures counts the consecutive writes that the store refused or didn't answer.
	failures int
}

func newRollouts(settings *Settings, fleet *Fleet, log zerolog.Logger) *rollouts {
	return &rollouts{
		settings:     settings,
		fleet:        fleet,
		hasFollowers: func() bool { return false },
		log:          log,
		single:       newRamp(settings.CanaryShare, 0),
		sessions:     newRamp(settings.CanaryShare, sessionsFrom),
		active:       make(map[string]*activeRollout),
		stored:       make(map[string]RolloutStatus),
	}
}

// addOrder applies an operators' order. listed is set if it was received with the whole table.
func (m *rollouts) addOrder(o RolloutOrder, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.active[o.Service]; current != nil {
		if o.Revision <= current.order.Revision || m.adoptReissuedOrder(current, o, listed) {
			return
		}
	}
	a := &activeRollout{order: o, seenAt: boottime.Now(), evidence: newEvidence()}
	a.era.observe(o.Revision)
	m.active[o.Service] = a
	m.log.Info().Str("event", "rollout-ordered").Str("service", o.Service).Str("version", o.Version).
		Dur("duration", o.Duration).Stringer("revision", o.Revision).Msg("")
	if stored, ok := m.stored[o.Service]; ok {
		m.apply(a, stored)
	}
}

// setStatus applies a stored status of a roll-out.
func (m *rollouts) setStatus(s RolloutStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored[s.Service] = s
	if a := m.active[s.Service]; a != nil {
		m.apply(a, s)
	}
}

// apply applies a status if it belongs to the order. The states of one order only advance: a
// completed or reverted roll-out isn't run again.
func (m *rollouts) apply(a *activeRollout, s RolloutStatus) {
	if s.Revision <= a.status.Revision {
		return
	}
	if !a.matchesOrder(s.OrderRevision) {
		// The status belongs to an earlier order. Its revision is needed to replace the row.
		a.status.Revision = s.Revision
		return
	}
	if a.hasStatus() && s.State < a.status.State {
		// The status is an earlier one, from a store that was restored from a backup.
		a.status.Revision = s.Revision
		a.unsaved = true
		return
	}
	a.unsaved = s.OrderRevision != a.order.Revision
	s.OrderRevision = a.order.Revision
	a.status = s
	a.writeAt = time.Time{}
	m.log.Info().Str("event", "rollout-status").Str("service", s.Service).Str("version", s.Version).
		Str("state", s.State.String()).Stringer("revision", s.Revision).Msg("")
}

// hasStatus reports whether the store has a status of the order.
func (a *activeRollout) hasStatus() bool { return a.status.OrderRevision == a.order.Revision }

// running reports whether the roll-out is neither completed nor reverted.
func (a *activeRollout) running() bool { return !a.hasStatus() || a.status.State == RolloutRunning }

// admits returns a function that reports whether a version may run the request. A version without
// an order isn't used beside the one in service: its upstreams' entries can reach a host before
// the order does.
func (m *rollouts) admits(r *Request) func(version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.active[r.Service]
	if a == nil {
		base := m.fleet.Base(r.Service)
		return func(version string) bool { return base == "" || version == base }
	}
	to := a.order.Version
	canary := m.canary(a, r)
	if canary && !m.canReach(r, func(version string) bool { return version == to }) {
		canary = false
	} else if !canary && !m.withdrawn(a) && !m.fleet.hasInService(r.Service, r.regions, func(version string) bool { return version != to }) {
		canary = true
	}
	return func(version string) bool { return (version == to) == canary }
}

// canReach reports whether the request can be run by a matching version. A session's request waits
// for its version while that version's upstreams are cold or in an evacuated zone; other requests
// run on the old version meanwhile.
func (m *rollouts) canReach(r *Request, matches func(version string) bool) bool {
	if r.Session != "" {
		return m.fleet.hasInService(r.Service, r.regions, matches)
	}
	return m.fleet.hasAvailable(r.Service, r.regions, matches)
}

// withdrawn reports whether the version must not get requests.
func (m *rollouts) withdrawn(a *activeRollout) bool {
	return a.stopped || a.hasStatus() && a.status.State == RolloutReverted
}

// canary reports whether the request runs on the new version, by a hash that is the same on all
// hosts. A session's requests may reach several hosts, so in the first half, in which no session
// may change its version, requests of sessions stay on the old one. Later the share only rises, so
// that no session returns to the old version.
func (m *rollouts) canary(a *activeRollout, r *Request) bool {
	switch {
	case m.withdrawn(a):
		return false
	case a.hasStatus() && a.status.State == RolloutCompleted:
		return true
	case r.Session != "":
		return evenhash.Point("canary", a.order.Version, r.Session) < a.sessionShare
	default:
		return evenhash.Point("canary", a.order.Version, r.ID) < a.share
	}
}

// observeHead counts the head of a stream.
func (m *rollouts) observeHead(r *Request, c *choice, took time.Duration) {
	m.addObservation(r, c, func(e *evidence, o observation) { e.observeHead(o, took) })
}

// observe counts the result of an attempt; counted is set if its head was counted.
func (m *rollouts) observe(r *Request, c *choice, result attemptResult, counted bool) {
	m.addObservation(r, c, func(e *evidence, o observation) {
		o.headCounted = counted
		e.observeEnd(o, result, boottime.Now())
	})
}

// evaluating reports whether a roll-out of the service is being evaluated by its answers.
func (m *rollouts) evaluating(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.active[service]
	return a != nil && a.running() && !a.stopped
}

// addObservation adds to the evidence of the service's running roll-out, if any, and evaluates it.
func (m *rollouts) addObservation(r *Request, c *choice, add func(e *evidence, o observation)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.active[r.Service]
	if a == nil || !a.running() || a.stopped {
		return
	}
	add(&a.evidence, observation{
		route:    r.Route.Name,
		upstream: c.upstream.ID,
		isNew:    c.upstream.Version == a.order.Version,
		expected: c.placed.Expected,
	})
	m.evaluate(a)
}

// ownEvidence returns this host's evidence of the running roll-outs.
func (m *rollouts) ownEvidence() []exchange.Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []exchange.Evidence
	for _, a := range m.active {
		if a.running() {
			list = append(list, exchange.Evidence{Service: a.order.Service, Order: a.order.Revision, Routes: a.evidence.ownCounts()})
		}
	}
	return list
}

// setRemoteEvidence sets the evidence of the other hosts.
func (m *rollouts) setRemoteEvidence(list []exchange.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range list {
		a := m.active[e.Service]
		if a == nil || a.order.Revision != e.Order || !a.running() || a.stopped {
			continue
		}
		a.evidence.remote = e.Routes
		m.evaluate(a)
	}
}

// evaluate stops the version if the evidence shows that it is worse.
func (m *rollouts) evaluate(a *activeRollout) {
	upstreams := m.fleet.countVersion(a.order.Service, a.order.Version)
	if reason := a.evidence.stopReason(upstreams); reason != "" {
		a.stopped = true
		m.log.Warn().Str("event", "rollout-stopped").Str("service", a.order.Service).Str("version", a.order.Version).
			Str("reason", reason).Str("evidence", a.evidence.String()).Msg("")
	}
}

// progress returns the elapsed fraction of the roll-out's duration, by the store's clock if a
// status states when it began.
func (m *rollouts) progress(a *activeRollout) float64 {
	elapsed := boottime.Since(a.seenAt)
	if a.hasStatus() && m.statuses != nil {
		elapsed = m.statuses.StoreClock() - a.status.Started
	}
	return float64(elapsed) / float64(max(a.order.Duration, time.Millisecond))
}

// run processes the roll-outs until the context ends.
func (m *rollouts) run(ctx context.Context) { wait.Every(ctx, rolloutTick, func() { m.tick(ctx) }) }

func (m *rollouts) tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if !a.running() && !a.unsaved {
			continue
		}
		m.raiseShares(a)
		next, due := m.due(a)
		if !due || a.writing || !m.isTurn(a, next) {
			continue
		}
		a.writing = true
		go m.write(ctx, a, next)
	}
}

// raiseShares sets the shares for the current time. They only rise, and only while the status data
// is recent.
func (m *rollouts) raiseShares(a *activeRollout) {
	if !a.hasStatus() {
		return
	}
	age, ok := m.statuses.Age()
	if !ok || age > maxStatusAge || m.statuses.Unreachable() {
		return
	}
	at := m.progress(a)
	a.sessionShare = max(a.sessionShare, m.sessions.share(at))
	a.share = max(a.share, m.single.share(at))
}

// hasUnfinished reports whether a roll-out is running or its final status isn't stored.
func (m *rollouts) hasUnfinished() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if a.running() || a.unsaved {
			return true
		}
	}
	return false
}
