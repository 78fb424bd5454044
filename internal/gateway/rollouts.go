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
	// writeSpread is the span over which hosts deal out the first status, which any
	// of them may write: the first one's comes back to the others before most of
	// them have tried. completeSpread is the same for the last status, which has to
	// be there before the roll-out's time is up.
	writeSpread    = 1200 * time.Millisecond
	completeSpread = 200 * time.Millisecond
	// hubSpread is the span over which the hosts on which others rely deal out a
	// status: a few write at most before they hear of the first one. A host that relies
	// on another follows after followerDelay, after followerUrgent if the status ends
	// the roll-out: a write comes back to it within half a second.
	hubSpread      = 200 * time.Millisecond
	followerDelay  = 1500 * time.Millisecond
	followerUrgent = 700 * time.Millisecond
	// trustAge is the greatest age of the store's word at which the share is
	// raised: a host that can't hear that others stopped a version holds it.
	trustAge = 3 * time.Second
	// statusTimeout bounds a write of a status.
	statusTimeout = time.Second
	// rolloutTick is how often roll-outs are looked at.
	rolloutTick = 100 * time.Millisecond
)

// rollouts carries out roll-outs. Each host keeps a new version's share for its
// own requests, so that the sum over all hosts keeps it too, and stops a
// version by its own evidence; what one host stopped, the store tells the others.
type rollouts struct {
	settings *Settings
	fleet    *Fleet
	statuses *feed.Watcher
	// relied says whether other hosts rely on this one for the store's word.
	relied func() bool
	log    zerolog.Logger
	// single is the ramp of requests without a session, sessions that of the others.
	single   ramp
	sessions ramp

	mu     sync.Mutex
	active map[string]*activeRollout
	// stored are the states that came before their orders.
	stored map[string]RolloutStatus
}

// activeRollout is one service's newest roll-out.
type activeRollout struct {
	order  Order
	status RolloutStatus
	// stopped says that this host's evidence speaks against the version.
	stopped bool
	// share is the new version's part of requests without a session,
	// sessionShare that of sessions.
	share        float64
	sessionShare float64
	// seenAt is when this host learnt of the order.
	seenAt   time.Time
	evidence evidence
	// doubted says that the time is up and too little speaks for the version.
	doubted bool
	// writing says that a status is on its way to the store, writeAt when this
	// host's turn to write one comes; zero before one is due.
	writing bool
	writeAt time.Time
	// unsaved says that the store came back from a copy and has not the state, or not
	// under the order's present revision.
	unsaved bool
	// formerly are revisions of the order's row in former eras of the store.
	formerly []storage.Revision
	era      eraWatch
	// failures counts the writes in a row that the store turned away or didn't answer.
	failures int
}

func newRollouts(settings *Settings, fleet *Fleet, log zerolog.Logger) *rollouts {
	return &rollouts{
		settings: settings,
		fleet:    fleet,
		relied:   func() bool { return false },
		log:      log,
		single:   newRamp(settings.CanaryShare, 0),
		sessions: newRamp(settings.CanaryShare, sessionsFrom),
		active:   make(map[string]*activeRollout),
		stored:   make(map[string]RolloutStatus),
	}
}

// order takes an operators' order; listed says that it came with the whole table.
func (m *rollouts) order(o Order, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.active[o.Service]; known != nil {
		if o.Revision <= known.order.Revision || m.rewritten(known, o, listed) {
			return
		}
	}
	a := &activeRollout{order: o, seenAt: boottime.Now(), evidence: newEvidence()}
	a.era.note(o.Revision)
	m.active[o.Service] = a
	m.log.Info().Str("event", "rollout-ordered").Str("service", o.Service).Str("version", o.Version).
		Dur("duration", o.Duration).Stringer("revision", o.Revision).Msg("")
	if stored, ok := m.stored[o.Service]; ok {
		m.apply(a, stored)
	}
}

// status takes the store's word on a roll-out.
func (m *rollouts) status(s RolloutStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored[s.Service] = s
	if a := m.active[s.Service]; a != nil {
		m.apply(a, s)
	}
}

// apply takes a status that is about the order. The states of one order only
// rise: what was completed or reverted isn't run again.
func (m *rollouts) apply(a *activeRollout, s RolloutStatus) {
	if s.Revision <= a.status.Revision {
		return
	}
	if !a.isOrder(s.OrderRevision) {
		// An earlier order's: the row's revision is needed to replace it.
		a.status.Revision = s.Revision
		return
	}
	if a.known() && s.State < a.status.State {
		// An earlier state, of a store that came back from a copy.
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

// known says whether the store has a status for the order.
func (a *activeRollout) known() bool { return a.status.OrderRevision == a.order.Revision }

// running says that the roll-out isn't completed or reverted.
func (a *activeRollout) running() bool { return !a.known() || a.status.State == RolloutRunning }

// admits returns the test of versions for the request. A version that nobody
// ordered isn't used beside the one in service: its entries can reach a host
// before the order does.
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
	if canary && !m.reaches(r, func(version string) bool { return version == to }) {
		canary = false
	} else if !canary && !m.withdrawn(a) && !m.fleet.serves(r.Service, r.homes, func(version string) bool { return version != to }) {
		canary = true
	}
	return func(version string) bool { return (version == to) == canary }
}

// reaches says whether the request can go on on a version that fits. One of a session waits
// for its version where its upstreams are cold or in an evacuated zone; another runs on the
// version before meanwhile.
func (m *rollouts) reaches(r *Request, fits func(version string) bool) bool {
	if r.Session != "" {
		return m.fleet.serves(r.Service, r.homes, fits)
	}
	return m.fleet.opens(r.Service, r.homes, fits)
}

// withdrawn says that the version must get no requests.
func (m *rollouts) withdrawn(a *activeRollout) bool {
	return a.stopped || a.known() && a.status.State == RolloutReverted
}

// canary decides whether the request runs on the new version, by a hash that all
// hosts share. A session's requests may reach several hosts, so in the first
// half, in which no session may change its version, requests of sessions stay on
// the old one. Later the share only rises, so no session ever goes back.
func (m *rollouts) canary(a *activeRollout, r *Request) bool {
	switch {
	case m.withdrawn(a):
		return false
	case a.known() && a.status.State == RolloutCompleted:
		return true
	case r.Session != "":
		return evenhash.Point("canary", a.order.Version, r.Session) < a.sessionShare
	default:
		return evenhash.Point("canary", a.order.Version, r.ID) < a.share
	}
}

// head takes in the head of a stream.
func (m *rollouts) head(r *Request, c *choice, took time.Duration) {
	m.learn(r, c, func(e *evidence, o observation) { e.head(o, took) })
}

// observe takes in how an attempt ended; counted says that its head was taken in.
func (m *rollouts) observe(r *Request, c *choice, result attemptResult, counted bool) {
	m.learn(r, c, func(e *evidence, o observation) {
		o.counted = counted
		e.end(o, result, boottime.Now())
	})
}

// judged says whether a roll-out of the service is judged by answers.
func (m *rollouts) judged(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.active[service]
	return a != nil && a.running() && !a.stopped
}

// learn adds to the evidence on the roll-out under way, if any, and judges it.
func (m *rollouts) learn(r *Request, c *choice, add func(e *evidence, o observation)) {
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
	m.judge(a)
}

// seen is what this host saw of the roll-outs under way.
func (m *rollouts) seen() []exchange.Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []exchange.Evidence
	for _, a := range m.active {
		if a.running() {
			list = append(list, exchange.Evidence{Service: a.order.Service, Order: a.order.Revision, Routes: a.evidence.own()})
		}
	}
	return list
}

// takeOthers takes what the other hosts saw.
func (m *rollouts) takeOthers(list []exchange.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range list {
		a := m.active[e.Service]
		if a == nil || a.order.Revision != e.Order || !a.running() || a.stopped {
			continue
		}
		a.evidence.others = e.Routes
		m.judge(a)
	}
}

// judge stops a version that the evidence speaks against.
func (m *rollouts) judge(a *activeRollout) {
	upstreams := m.fleet.count(a.order.Service, a.order.Version)
	if reason := a.evidence.verdict(upstreams); reason != "" {
		a.stopped = true
		m.log.Warn().Str("event", "rollout-stopped").Str("service", a.order.Service).Str("version", a.order.Version).
			Str("reason", reason).Str("evidence", a.evidence.String()).Msg("")
	}
}

// progress is the part of the roll-out's duration that is over, by the store's
// clock if a status tells when it began.
func (m *rollouts) progress(a *activeRollout) float64 {
	elapsed := boottime.Since(a.seenAt)
	if a.known() && m.statuses != nil {
		elapsed = m.statuses.StoreClock() - a.status.Started
	}
	return float64(elapsed) / float64(max(a.order.Duration, time.Millisecond))
}

// run carries the roll-outs on until the context ends.
func (m *rollouts) run(ctx context.Context) { wait.Every(ctx, rolloutTick, func() { m.tick(ctx) }) }

func (m *rollouts) tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if !a.running() && !a.unsaved {
			continue
		}
		m.raise(a)
		next, due := m.due(a)
		if !due || a.writing || !m.turn(a, next) {
			continue
		}
		a.writing = true
		go m.write(ctx, a, next)
	}
}

// raise sets the share for this moment. It only rises, and only while the
// store's word is fresh.
func (m *rollouts) raise(a *activeRollout) {
	if !a.known() {
		return
	}
	age, ok := m.statuses.Age()
	if !ok || age > trustAge || m.statuses.Interrupted() {
		return
	}
	at := m.progress(a)
	a.sessionShare = max(a.sessionShare, m.sessions.share(at))
	a.share = max(a.share, m.single.share(at))
}

// underWay says whether a roll-out isn't finished, or its end isn't in the store.
func (m *rollouts) underWay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if a.running() || a.unsaved {
			return true
		}
	}
	return false
}
