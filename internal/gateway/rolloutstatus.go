package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage"
)

// dueStatus returns the state of the roll-out that has to be written to the store now. The second
// result is false if there is none.
func (ro *rollouts) dueStatus(sr *serviceRollout) (RolloutState, bool) {
	switch {
	case sr.unsaved && sr.hasStatus():
		return sr.status.State, true
	case sr.stopped:
		return RolloutReverted, true
	case !sr.hasStatus():
		// Before the first response from the store its clock isn't known. With a wrong start time
		// the shares would be raised at once.
		_, received := ro.statuses.Age()
		return RolloutRunning, received
	case sr.sendsAllToNew() && ro.sessionRamp.mayComplete(ro.progress(sr)):
		return RolloutCompleted, ro.isConclusive(sr)
	default:
		return RolloutRunning, false
	}
}

// isConclusive reports whether the evidence suffices to complete the roll-out. On completion the
// old version's upstreams stop for good, so that a bad version would fail requests from then on,
// while the only cost of completing a sound version late is an overdue roll-out. If the evidence
// doesn't suffice, the roll-out continues until there are enough answers, with all requests on the
// new version and the old one ready to take over. For a service that gets too few answers for that,
// it suffices that none of them is bad.
func (ro *rollouts) isConclusive(sr *serviceRollout) bool {
	timesSuffice := sr.evidence.timesSuffice(ro.progress(sr) >= timesDueAt, boottime.Now())
	if sr.evidence.sufficesToComplete() && ro.fullLoadSuffices(sr) && timesSuffice || ro.fewAnswersNoneBad(sr) {
		return true
	}
	if !sr.inconclusive && ro.progress(sr) >= almostDueAt {
		sr.inconclusive = true
		ro.log.Warn().Str("event", "rollout-doubted").Str("service", sr.order.Service).Str("version", sr.order.Version).
			Str("evidence", sr.evidence.String()).Msg("")
		ro.logEvidence(sr, "doubted")
	}
	return false
}

// minConclusiveAnswers is the minimum number of answers of both versions during a roll-out. With
// fewer, a statistical test can't be conclusive, and fewAnswersNoneBad decides.
const minConclusiveAnswers = 60

// fewAnswersNoneBad reports whether, in at least half of the roll-out's duration, the service gave
// fewer answers than minConclusiveAnswers and none of the new version's was bad. A failure on a route
// on which the old version fails, too, doesn't count as bad unless it is suspected. The answer times mustn't
// favor a slower version.
func (ro *rollouts) fewAnswersNoneBad(sr *serviceRollout) bool {
	routes := sr.evidence.allCounts()
	for _, v := range routes {
		if v.New.Failed > 0 && (v.Old.Failed == 0 || rollout.IsWorse(failureSample(v.Old), failureSample(v.New), suspectAlpha)) {
			return false
		}
	}
	v := sumRoutes(routes)
	return boottime.Since(sr.receivedAt) >= sr.order.Duration/2 &&
		v.Old.Answers+v.New.Answers < minConclusiveAnswers && sr.evidence.timesUnsuspicious(boottime.Now())
}

// shouldWriteNow reports whether this host should write the due status now. The status becomes due
// on all hosts at about the same time. During an outage of the store no host should write.
func (ro *rollouts) shouldWriteNow(sr *serviceRollout, next RolloutState) bool {
	if ro.statuses.Unreachable() {
		return false
	}
	if sr.writeAt.IsZero() {
		sr.writeAt = boottime.Now().Add(ro.writeDelay(next))
	}
	return !boottime.Now().Before(sr.writeAt)
}

// writeDelay returns the time until this host should write a status that is due. Hosts with
// followers are few and receive each other's writes first, so they write first. A follower waits
// until a status that its hub wrote should have reached it. When all hosts wrote without such
// delays, 195 hosts wrote the first status of a roll-out 92 times within a second.
func (ro *rollouts) writeDelay(next RolloutState) time.Duration {
	final := next != RolloutRunning
	switch {
	case ro.hasFollowers():
		return rand.N(hubWriteSpread)
	case ro.statuses.HasFreshUpdate() && final:
		return followerFinalWriteDelay + rand.N(followerFinalWriteDelay)
	case ro.statuses.HasFreshUpdate():
		return followerWriteDelay + rand.N(firstWriteSpread)
	case next == RolloutReverted:
		return 0 // without a hub, the other hosts may not have the evidence to stop the version
	case next == RolloutCompleted:
		return rand.N(completionWriteSpread)
	default:
		return rand.N(firstWriteSpread)
	}
}

// writeStatus writes a status on the condition that no other host wrote one since the last one that
// was received. The watcher of the status table then receives the status that was written.
func (ro *rollouts) writeStatus(ctx context.Context, sr *serviceRollout, state RolloutState) {
	ro.mu.Lock()
	next := RolloutStatus{
		Service:       sr.order.Service,
		Version:       sr.order.Version,
		State:         state,
		BaseVersion:   sr.baseVersion,
		OrderRevision: sr.order.Revision,
		Started:       ro.statuses.StoreClock() - boottime.Since(sr.receivedAt),
	}
	if sr.hasStatus() {
		next.Started = sr.status.Started
	}
	expected := sr.status.Revision
	evidence := sr.evidence.String()
	if state == RolloutCompleted {
		ro.logEvidence(sr, "completed")
	}
	ro.mu.Unlock()

	err := ro.commitStatus(ctx, next, expected)
	line := ro.log.Info()
	if err != nil && !errors.Is(err, storage.ErrConflict) {
		line = ro.log.Warn()
	}
	line.Str("event", "rollout-write").Str("service", next.Service).Str("state", state.String()).
		Str("evidence", evidence).AnErr("error", err).Msg("")
	// A conflict means that another host wrote first. Its status is received shortly, so a short
	// pause avoids useless calls.
	_ = wait.For(ctx, ro.retryPause(sr, err)) // only a host that is stopping skips the pause
	ro.mu.Lock()
	sr.writing = false
	sr.writeAt = time.Time{}
	ro.mu.Unlock()
}

const (
	// writePause is the time between two attempts to write a status. It is longer than the watcher
	// needs to receive a change.
	writePause = 300 * time.Millisecond
	// maxPauseDoublings bounds how often the pause doubles. It doubles with each consecutive write
	// that the store refuses or doesn't answer, up to 4.8 s. With a constant pause, hosts that were
	// cut off from the store tried 300 times in 12 s.
	maxPauseDoublings = 4
)

// retryPause returns the time until the next attempt after a write that ended with err.
func (ro *rollouts) retryPause(sr *serviceRollout, err error) time.Duration {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if err == nil || errors.Is(err, storage.ErrConflict) {
		sr.failedWrites = 0
		return writePause
	}
	pause := writePause << sr.failedWrites
	sr.failedWrites = min(sr.failedWrites+1, maxPauseDoublings)
	return pause/2 + rand.N(pause)
}

func (ro *rollouts) commitStatus(ctx context.Context, next RolloutStatus, expected storage.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, statusWriteTimeout)
	defer cancel()
	data, err := ro.settings.Codec.EncodeStatus(next)
	if err != nil {
		return err
	}
	key := ro.settings.Tables.OrdersPrefix + next.Service
	_, err = ro.settings.StatusTable.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: uint64(expected)}},
		Puts:       []storage.Put{{Key: key, Value: data}},
	})
	return err
}
