package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

// due is the status that should be written now.
func (m *rollouts) due(a *activeRollout) (RolloutState, bool) {
	switch {
	case a.unsaved && a.known():
		return a.status.State, true
	case a.stopped:
		return RolloutReverted, true
	case !a.known():
		// Before the first word of the store its clock isn't known, and a
		// roll-out that began at a wrong time would be raised at once.
		_, heard := m.statuses.Age()
		return RolloutRunning, heard
	case a.sessionShare >= 1 && a.share >= 1 && m.sessions.done(m.progress(a)):
		return RolloutCompleted, m.proven(a)
	default:
		return RolloutRunning, false
	}
}

// proven says whether enough speaks for the version to complete it. With completion the
// old version's upstreams stop for good, so a bad version would fail its part of all
// requests from then on, while a sound one that is completed late costs an overdue
// roll-out: in doubt the roll-out goes on, with all requests on the new version and the
// old one ready, until its answers decide. Where answers are so few that they can't, none
// may be bad.
func (m *rollouts) proven(a *activeRollout) bool {
	if a.evidence.cleared() || m.idle(a) {
		return true
	}
	if !a.doubted {
		a.doubted = true
		m.log.Warn().Str("event", "rollout-doubted").Str("service", a.order.Service).Str("version", a.order.Version).
			Str("evidence", a.evidence.String()).Msg("")
	}
	return false
}

// fewAnswers is the number of answers below which a service gives too few in a roll-out
// for a verdict, all versions together.
const fewAnswers = 60

// idle says that the service had few answers though this host followed half of the
// roll-out, and no bad one of the new version.
func (m *rollouts) idle(a *activeRollout) bool {
	v := total(a.evidence.all())
	return boottime.Since(a.seenAt) >= a.order.Duration/2 &&
		v.Old.Answers+v.New.Answers < fewAnswers && v.New.Failed == 0 && v.New.Slow == 0
}

// turn says whether it is this host's turn to write the status that is due. Every host
// finds it due at about the same time. While the store is away there is none.
func (m *rollouts) turn(a *activeRollout, next RolloutState) bool {
	if m.statuses.Interrupted() {
		return false
	}
	if a.writeAt.IsZero() {
		a.writeAt = boottime.Now().Add(m.delay(next))
	}
	return !boottime.Now().Before(a.writeAt)
}

// delay is the time until this host's turn. Hosts on which others rely for the store's
// word are few and hear of each other's writes first, so they go first; those that rely
// on one have their turn when its write should have come back. Without that, 195 hosts
// wrote the first status of a roll-out 92 times within a second.
func (m *rollouts) delay(next RolloutState) time.Duration {
	urgent := next != RolloutRunning
	switch {
	case m.relied():
		return rand.N(hubSpread)
	case m.statuses.Relying() && urgent:
		return followerUrgent + rand.N(followerUrgent)
	case m.statuses.Relying():
		return followerDelay + rand.N(writeSpread)
	case next == RolloutReverted:
		return 0 // without a hub nobody else may know
	case next == RolloutCompleted:
		return rand.N(completeSpread)
	default:
		return rand.N(writeSpread)
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
		Started:       m.statuses.StoreClock() - boottime.Since(a.seenAt),
	}
	if a.known() {
		next.Started = a.status.Started
	}
	expected := a.status.Revision
	m.mu.Unlock()

	err := m.commit(ctx, next, expected)
	line := m.log.Info()
	if err != nil && !errors.Is(err, storage.ErrConflict) {
		line = m.log.Warn()
	}
	line.Str("event", "rollout-write").Str("service", next.Service).Str("state", state.String()).AnErr("error", err).Msg("")
	// A conflict means that another host was first; the watcher brings its
	// status within moments, so a short pause spares calls.
	_ = wait.For(ctx, m.pause(a, err)) // a host that stops needn't pause
	m.mu.Lock()
	a.writing = false
	a.writeAt = time.Time{}
	m.mu.Unlock()
}

const (
	// writePause is the time between two tries to write a status: longer than the
	// store's change needs to come back through the watcher.
	writePause = 300 * time.Millisecond
	// writeDoublings bounds the pause after writes that the store turns away or doesn't
	// answer, which doubles with each: 4.8 s at most. Hosts that are cut off from the
	// store tried 300 times in 12 s without.
	writeDoublings = 4
)

// pause is the time until the next try after a write that ended with the error.
func (m *rollouts) pause(a *activeRollout, err error) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, storage.ErrConflict) {
		a.failures = 0
		return writePause
	}
	pause := writePause << a.failures
	a.failures = min(a.failures+1, writeDoublings)
	return pause/2 + rand.N(pause)
}

func (m *rollouts) commit(ctx context.Context, next RolloutStatus, expected storage.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	data, err := m.settings.Codec.EncodeStatus(next)
	if err != nil {
		return err
	}
	key := m.settings.Tables.OrdersPrefix + next.Service
	_, err = m.settings.Statuses.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: uint64(expected)}},
		Puts:       []storage.Put{{Key: key, Value: data}},
	})
	return err
}
