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

// due returns the status that should be written now.
func (m *rollouts) due(a *activeRollout) (RolloutState, bool) {
	switch {
	case a.unsaved && a.hasStatus():
		return a.status.State, true
	case a.stopped:
		return RolloutReverted, true
	case !a.hasStatus():
		// Before the first answer of the store its clock isn't known, and a roll-out with a wrong
		// start time would be raised at once.
		_, received := m.statuses.Age()
		return RolloutRunning, received
	case a.sessionShare >= 1 && a.share >= 1 && m.sessions.done(m.progress(a)):
		return RolloutCompleted, m.conclusive(a)
	default:
		return RolloutRunning, false
	}
}

// conclusive reports whether the evidence suffices to complete the version. With completion the
// old version's upstreams stop for good, so a bad version would fail its share of all requests
// from then on, while completing a sound one late costs an overdue roll-out. In doubt the roll-out
// continues, with all requests on the new version and the old one ready, until there are enough
// answers. Where answers are too few for that, none may be bad.
func (m *rollouts) conclusive(a *activeRollout) bool {
	if a.evidence.sufficient() || m.fewAnswersNoneBad(a) {
		return true
	}
	if !a.inconclusive {
		a.inconclusive = true
		m.log.Warn().Str("event", "rollout-doubted").Str("service", a.order.Service).Str("version", a.order.Version).
			Str("evidence", a.evidence.String()).Msg("")
	}
	return false
}

// minConclusiveAnswers is the number of answers of all versions below which a service gives too
// few during a roll-out for a verdict.
const minConclusiveAnswers = 60

// fewAnswersNoneBad reports whether the service had few answers while this host followed half of the
// roll-out, and no bad one of the new version.
func (m *rollouts) fewAnswersNoneBad(a *activeRollout) bool {
	v := total(a.evidence.allCounts())
	return boottime.Since(a.seenAt) >= a.order.Duration/2 &&
		v.Old.Answers+v.New.Answers < minConclusiveAnswers && v.New.Failed == 0 && v.New.Slow == 0
}

// isTurn reports whether this host should now write the status that is due, which every host finds
// due at about the same time. During an outage of the store none should.
func (m *rollouts) isTurn(a *activeRollout, next RolloutState) bool {
	if m.statuses.Unreachable() {
		return false
	}
	if a.writeAt.IsZero() {
		a.writeAt = boottime.Now().Add(m.delay(next))
	}
	return !boottime.Now().Before(a.writeAt)
}

// delay returns the time until this host should write. Hosts with followers are few and receive
// each other's writes first, so they write first; a follower waits until the write of its hub
// should have reached it. Without that, 195 hosts wrote the first status of a roll-out 92 times
// within a second.
func (m *rollouts) delay(next RolloutState) time.Duration {
	urgent := next != RolloutRunning
	switch {
	case m.hasFollowers():
		return rand.N(hubSpread)
	case m.statuses.UsesRelay() && urgent:
		return followerUrgentDelay + rand.N(followerUrgentDelay)
	case m.statuses.UsesRelay():
		return followerDelay + rand.N(writeSpread)
	case next == RolloutReverted:
		return 0 // without a hub the other hosts may not have detected the failure
	case next == RolloutCompleted:
		return rand.N(completeSpread)
	default:
		return rand.N(writeSpread)
	}
}

// write writes a status on the condition that no other host wrote one. The result is received by
// the watcher of the statuses.
func (m *rollouts) write(ctx context.Context, a *activeRollout, state RolloutState) {
	m.mu.Lock()
	next := RolloutStatus{
		Service:       a.order.Service,
		Version:       a.order.Version,
		State:         state,
		OrderRevision: a.order.Revision,
		Started:       m.statuses.StoreClock() - boottime.Since(a.seenAt),
	}
	if a.hasStatus() {
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
	// A conflict means that another host wrote first. Its status arrives shortly, so a short pause
	// avoids useless calls.
	_ = wait.For(ctx, m.pause(a, err)) // only a host that is stopping skips the pause
	m.mu.Lock()
	a.writing = false
	a.writeAt = time.Time{}
	m.mu.Unlock()
}

const (
	// writePause is the time between two attempts to write a status: longer than a change needs to
	// be received by the watcher.
	writePause = 300 * time.Millisecond
	// maxWriteDoublings bounds the pause after writes that the store refuses or doesn't answer; it
	// doubles with each, up to 4.8 s. Without this, hosts that were cut off from the store tried
	// 300 times in 12 s.
	maxWriteDoublings = 4
)

// pause returns the time until the next attempt after a write that ended with err.
func (m *rollouts) pause(a *activeRollout, err error) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, storage.ErrConflict) {
		a.failures = 0
		return writePause
	}
	pause := writePause << a.failures
	a.failures = min(a.failures+1, maxWriteDoublings)
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
