package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Order is an operators' request to move a service's requests to a version.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision is the store's at the order; a later order has a higher one.
	Revision uint64
}

// RolloutState is how far a roll-out is.
type RolloutState int

const (
	// RolloutRunning moves requests to the new version.
	RolloutRunning RolloutState = iota
	// RolloutCompleted runs all requests on the new version.
	RolloutCompleted
	// RolloutReverted runs none on it.
	RolloutReverted
)

// String is the state's name in logs.
func (s RolloutState) String() string {
	return [...]string{"running", "completed", "reverted"}[s]
}

// RolloutStatus is what the store keeps of a roll-out.
type RolloutStatus struct {
	Service string
	Version string
	State   RolloutState
	// OrderRevision is the revision of the order that this is about.
	OrderRevision uint64
	// Started is the store's clock when the first host saw the order.
	Started time.Duration
	// Revision is the store's at this status; 0 before it is written.
	Revision uint64
}

const (
	// canaryPart is the part of the permitted share that a new version gets
	// until it is trusted. The rest pays for the answers that it gives between
	// turning bad and being stopped.
	canaryPart = 0.5
	// rampFrom and rampTo are when, as parts of the roll-out's duration, the
	// share starts to rise and reaches all requests. A session may change its
	// version in the second half only. The share rises with the square of the
	// time, so that a version which turns bad under load has had few requests by
	// the time it shows.
	rampFrom = 0.5
	rampTo   = 0.78
	// completeAt is when the roll-out is reported as completed: after
	// the answers that began on the old version before the ramp's end are over.
	completeAt = 0.88
	// writeSpread is the span over which hosts deal out a status that any of
	// them may write: the first one's comes back to the others before most of
	// them have tried.
	writeSpread = 1200 * time.Millisecond
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
	log      zerolog.Logger

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
	reason  string
	// share is the new version's part of requests without a session,
	// sessionShare that of sessions.
	share        float64
	sessionShare float64
	// seenAt is when this host learnt of the order.
	seenAt   time.Time
	evidence evidence
	// writing says that a status is on its way to the store, writeAt when this
	// host's turn to write one comes; zero before one is due.
	writing bool
	writeAt time.Time
}

func newRollouts(settings *Settings, fleet *Fleet, log zerolog.Logger) *rollouts {
	return &rollouts{
		settings: settings,
		fleet:    fleet,
		log:      log,
		active:   make(map[string]*activeRollout),
		stored:   make(map[string]RolloutStatus),
	}
}

// order takes an operators' order.
func (m *rollouts) order(o Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.active[o.Service]; known != nil && o.Revision <= known.order.Revision {
		return
	}
	a := &activeRollout{order: o, seenAt: time.Now(), evidence: newEvidence()}
	m.active[o.Service] = a
	m.log.Info().Str("event", "rollout-ordered").Str("service", o.Service).Str("version", o.Version).
		Dur("duration", o.Duration).Uint64("revision", o.Revision).Msg("")
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
	if s.OrderRevision != a.order.Revision {
		// An earlier order's: the row's revision is needed to replace it.
		a.status.Revision = s.Revision
		return
	}
	a.status = s
	a.writeAt = time.Time{}
	m.log.Info().Str("event", "rollout-status").Str("service", s.Service).Str("version", s.Version).
		Str("state", s.State.String()).Uint64("revision", s.Revision).Msg("")
}

// known says whether the store has a status for the order.
func (a *activeRollout) known() bool { return a.status.OrderRevision == a.order.Revision }

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
	if canary && !m.fleet.serves(r.Service, func(version string) bool { return version == to }) {
		canary = false
	} else if !canary && !m.withdrawn(a) && !m.fleet.serves(r.Service, func(version string) bool { return version != to }) {
		canary = true
	}
	return func(version string) bool { return (version == to) == canary }
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
		return point("canary", a.order.Version, r.Session) < a.sessionShare
	default:
		return point("canary", a.order.Version, r.ID) < a.share
	}
}

// observe takes in how an attempt ended.
func (m *rollouts) observe(r *Request, version string, result attemptResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.active[r.Service]
	if a == nil || (a.known() && a.status.State != RolloutRunning) || a.stopped {
		return
	}
	a.evidence.add(r, version == a.order.Version, result)
	if reason := a.evidence.verdict(); reason != "" {
		a.stopped = true
		a.reason = reason
		m.log.Warn().Str("event", "rollout-stopped").Str("service", a.order.Service).Str("version", a.order.Version).
			Str("reason", reason).Str("evidence", a.evidence.String()).Msg("")
	}
}

// progress is the part of the roll-out's duration that is over, by the store's
// clock if a status tells when it began.
func (m *rollouts) progress(a *activeRollout) float64 {
	elapsed := time.Since(a.seenAt)
	if a.known() && m.statuses != nil {
		elapsed = m.statuses.StoreClock() - a.status.Started
	}
	return float64(elapsed) / float64(max(a.order.Duration, time.Millisecond))
}

// run carries the roll-outs on until the context ends.
func (m *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.tick(ctx)
		}
	}
}

func (m *rollouts) tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if a.known() && a.status.State != RolloutRunning {
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

// turn says whether this host writes the status that is due. A stop is written
// at once; what every host finds due at the same time waits for a random moment.
func (m *rollouts) turn(a *activeRollout, next RolloutState) bool {
	if next == RolloutReverted {
		return true
	}
	if a.writeAt.IsZero() {
		a.writeAt = time.Now().Add(rand.N(writeSpread))
	}
	return time.Now().After(a.writeAt)
}

// raise sets the share for this moment. It only rises, and only while the
// store's word is fresh.
func (m *rollouts) raise(a *activeRollout) {
	if !a.known() {
		return
	}
	age, ok := m.statuses.Age()
	if !ok || age > trustAge || m.statuses.Interrupted(0) {
		return
	}
	share := canaryPart * m.settings.CanaryShare
	if at := m.progress(a); at > rampFrom {
		ramp := min(1, (at-rampFrom)/(rampTo-rampFrom))
		a.sessionShare = max(a.sessionShare, ramp*ramp)
	}
	a.share = max(a.share, share, a.sessionShare)
}

// underWay says whether a roll-out isn't finished.
func (m *rollouts) underWay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.active {
		if !a.known() || a.status.State == RolloutRunning {
			return true
		}
	}
	return false
}

// due is the status that should be written now.
func (m *rollouts) due(a *activeRollout) (RolloutState, bool) {
	switch {
	case a.stopped:
		return RolloutReverted, true
	case !a.known():
		return RolloutRunning, true
	case a.sessionShare >= 1 && m.progress(a) >= completeAt:
		return RolloutCompleted, true
	default:
		return RolloutRunning, false
	}
}

// write writes a status under the condition that nobody else did. Whatever
// comes of it, the watcher of the statuses tells.
func (m *rollouts) write(ctx context.Context, a *activeRollout, state RolloutState) {
	m.mu.Lock()
	next := RolloutStatus{
		Service:       a.order.Service,
		Version:       a.order.Version,
		State:         state,
		OrderRevision: a.order.Revision,
		Started:       m.statuses.StoreClock(),
	}
	if a.known() {
		next.Started = a.status.Started
	}
	expected := a.status.Revision
	m.mu.Unlock()

	err := m.commit(ctx, next, expected)
	m.log.Info().Str("event", "rollout-write").Str("service", next.Service).Str("state", state.String()).AnErr("error", err).Msg("")
	// A conflict means that another host was first; the watcher brings its
	// status within moments, so a short pause spares calls.
	time.Sleep(writePause)
	m.mu.Lock()
	a.writing = false
	m.mu.Unlock()
}

// writePause is the time between two tries to write a status: longer than the
// store's change needs to come back through the watcher.
const writePause = 300 * time.Millisecond

func (m *rollouts) commit(ctx context.Context, next RolloutStatus, expected uint64) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	data, err := m.settings.Codec.EncodeStatus(next)
	if err != nil {
		return err
	}
	key := m.settings.Tables.OrdersPrefix + next.Service
	_, err = m.settings.Statuses.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: expected}},
		Puts:       []storage.Put{{Key: key, Value: data}},
	})
	return err
}
