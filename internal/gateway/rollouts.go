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
	// firstWriteSpread is the time over which hosts spread their attempts to write the first status
	// of a roll-out, which any host may write. Most hosts receive the status that the first one
	// wrote before their own attempt. completionWriteSpread is the same for the last status, which
	// has to be stored before the duration of the roll-out has passed.
	firstWriteSpread      = 1200 * time.Millisecond
	completionWriteSpread = 200 * time.Millisecond
	// hubWriteSpread is the time over which hosts with followers spread their attempts to write a
	// status. At most a few of them write before they receive the status that the first one wrote.
	// A follower waits for at least followerWriteDelay, or followerFinalWriteDelay if the status
	// ends the roll-out, since it receives a status within half a second of the write.
	hubWriteSpread          = 200 * time.Millisecond
	followerWriteDelay      = 1500 * time.Millisecond
	followerFinalWriteDelay = 700 * time.Millisecond
	// maxStatusAge is the maximum age of the status data at which a host raises a new version's
	// share. A host with older data may have missed that another host stopped the version.
	maxStatusAge = 3 * time.Second
	// statusWriteTimeout bounds the time for a write of a status.
	statusWriteTimeout = time.Second
	// rolloutInterval is the interval at which the shares of roll-outs are raised and their due
	// statuses written.
	rolloutInterval = 100 * time.Millisecond
)

// rollouts carries out the roll-outs that operators order. Each host sends the new version its
// share of the host's own requests, so that the version gets this share of all hosts' requests.
// Each host stops the version when the evidence that it has shows that the version is worse, and
// writes this to the store, from where the other hosts receive it.
type rollouts struct {
	settings *Settings
	fleet    *Fleet
	statuses *feed.Watcher
	// hasFollowers reports whether other hosts receive the store's tables from this one.
	hasFollowers func() bool
	// countAnswer counts an answer of a version in the metrics.
	countAnswer func(service, version string, state RolloutState, failed bool)
	log         zerolog.Logger
	// requestRamp is the ramp for requests without a session, sessionRamp the one for requests of
	// sessions.
	requestRamp ramp
	sessionRamp ramp

	mu        sync.Mutex
	byService map[string]*serviceRollout
	// storedStatuses are the statuses in the store by service. They are kept because a status can
	// be received before its order.
	storedStatuses map[string]RolloutStatus
}

// serviceRollout is the newest roll-out of a service.
type serviceRollout struct {
	order  RolloutOrder
	status RolloutStatus
	// baseVersion is the version that serves the requests that don't run on the new one; empty if it
	// isn't known.
	baseVersion string
	// stopped is set when the evidence on this host shows that the new version is worse.
	stopped bool
	// requestShare is the new version's share of requests without a session, sessionShare its share
	// of sessions.
	requestShare float64
	sessionShare float64
	// recentShares holds the new version's share of all requests in the last intervals, as far back as the other hosts'
	// counts can lag.
	recentShares []float64
	// peakRate is the recent number of requests a second. It rises at once and falls slowly.
	peakRate float64
	// receivedAt is when this host received the order.
	receivedAt time.Time
	evidence   evidence
	// fullLoad holds the times of the full load that are over, the oldest first.
	fullLoad []timeSpan
	// allToNewSince is since when this host has sent all requests to the new version; zero while it doesn't.
	allToNewSince time.Time
	// fullLoadSince is since when the new version has got all requests, as far as this host observed; zero while
	// it doesn't.
	fullLoadSince time.Time
	// watch is what is observed of the new version after its completion, which this host received at completedAt. loadLimit is
	// the fraction of an upstream's slots that may then be in use; 0 if there is no limit. limitLog is what was logged of it. The
	// counts by load were halved last at loadsHalvedAt.
	watch         completedWatch
	completedAt   time.Time
	loadLimit     float64
	limitLog      loadLimitLog
	loadsHalvedAt time.Time
	// inconclusive is set if enough of the roll-out's duration has passed to complete it, but the
	// evidence doesn't suffice for that.
	inconclusive bool
	// writing is set while this host writes a status and during the pause after the write. writeAt
	// is when this host is to write the status that is due; zero if none is due.
	writing bool
	writeAt time.Time
	// unsaved is set if the store was restored from a backup and lacks the status, or contains it
	// with an earlier revision of the order, so that it has to be written again.
	unsaved bool
	// earlierRevisions are the revisions of the order's row in earlier eras of the store.
	earlierRevisions []storage.Revision
	era              eraTracker
	// failedWrites counts the consecutive writes that the store refused or didn't answer, up to
	// maxPauseDoublings.
	failedWrites int
}

func newRollouts(settings *Settings, fleet *Fleet, log zerolog.Logger) *rollouts {
	return &rollouts{
		settings:       settings,
		fleet:          fleet,
		hasFollowers:   func() bool { return false },
		countAnswer:    func(string, string, RolloutState, bool) {},
		log:            log,
		requestRamp:    newRamp(settings.CanaryShare, 0),
		sessionRamp:    newRamp(settings.CanaryShare, sessionsFrom),
		byService:      make(map[string]*serviceRollout),
		storedStatuses: make(map[string]RolloutStatus),
	}
}

// addOrder begins the roll-out that operators ordered, unless it is in progress already. listed is
// set if the order was received with the whole table.
func (ro *rollouts) addOrder(o RolloutOrder, listed bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	current := ro.byService[o.Service]
	if current != nil && (o.Revision <= current.order.Revision || ro.adoptReissuedOrder(current, o, listed)) {
		return
	}
	sr := &serviceRollout{order: o, baseVersion: ro.baseVersionFor(o, current), receivedAt: boottime.Now(), evidence: newEvidence()}
	sr.era.observe(o.Revision)
	ro.byService[o.Service] = sr
	ro.log.Info().Str("event", "rollout-ordered").Str("service", o.Service).Str("version", o.Version).Str("base", sr.baseVersion).
		Dur("duration", o.Duration).Stringer("revision", o.Revision).Msg("")
	if stored, ok := ro.storedStatuses[o.Service]; ok {
		ro.applyStatus(sr, stored)
	}
}

// setStatus stores the status of a roll-out as it was received from the store, and applies it.
func (ro *rollouts) setStatus(s RolloutStatus) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.storedStatuses[s.Service] = s
	if sr := ro.byService[s.Service]; sr != nil {
		ro.applyStatus(sr, s)
	}
}

// applyStatus applies a status if it belongs to the order. The state of an order only advances: a
// completed or reverted roll-out doesn't run again.
func (ro *rollouts) applyStatus(sr *serviceRollout, s RolloutStatus) {
	if s.Revision <= sr.status.Revision {
		return
	}
	if !sr.matchesOrder(s.OrderRevision) {
		// The status belongs to an earlier order. The write that replaces its row is conditional on
		// its revision.
		sr.status.Revision = s.Revision
		sr.adoptBaseVersion(s)
		return
	}
	if sr.hasStatus() && s.State < sr.status.State {
		// The store was restored from a backup, which contained an earlier status.
		sr.status.Revision = s.Revision
		sr.unsaved = true
		return
	}
	sr.adoptBaseVersion(s)
	sr.unsaved = s.OrderRevision != sr.order.Revision
	s.OrderRevision = sr.order.Revision
	sr.status = s
	sr.writeAt = time.Time{}
	if s.State == RolloutCompleted && sr.completedAt.IsZero() {
		sr.completedAt = boottime.Now()
		sr.loadsHalvedAt = sr.completedAt
	}
	if sr.stopped && s.State == RolloutCompleted {
		// The old version's upstreams stop. Without the new one, this host would refuse all requests.
		sr.stopped = false
		ro.log.Warn().Str("event", "rollout-stop-overruled").Str("service", s.Service).Str("version", s.Version).
			Str("evidence", sr.evidence.String()).Msg("")
	}
	ro.log.Info().Str("event", "rollout-status").Str("service", s.Service).Str("version", s.Version).
		Str("state", s.State.String()).Stringer("revision", s.Revision).Msg("")
}

// hasStatus reports whether a status of the order was received.
func (sr *serviceRollout) hasStatus() bool { return sr.status.OrderRevision == sr.order.Revision }

// running reports whether the roll-out is neither completed nor reverted.
func (sr *serviceRollout) running() bool { return !sr.hasStatus() || sr.status.State == RolloutRunning }

// versionFilter returns a function that reports whether a version may run the request. While a
// service has no roll-out, only its base version may: the entries of a new version's upstreams can
// reach a host before the order of its roll-out does.
func (ro *rollouts) versionFilter(r *Request) func(version string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	sr := ro.byService[r.Service]
	if sr == nil {
		baseVersion := ro.fleet.BaseVersion(r.Service)
		return func(version string) bool { return baseVersion == "" || version == baseVersion }
	}
	isNew := func(version string) bool { return version == sr.order.Version }
	isOld := ro.oldVersionFilter(sr, r)
	canary := ro.isCanary(sr, r)
	if canary && !ro.hasUpstreamFor(r, isNew) {
		canary = false
	} else if !canary && !ro.versionWithdrawn(sr) && !ro.fleet.hasInService(r.Service, r.regions, isOld) {
		canary = true
	}
	if canary {
		return isNew
	}
	return isOld
}

// hasUpstreamFor reports whether the request can run on an upstream of a matching version. For a
// session's request it ignores that upstreams are cold, rate-limited or in an evacuated zone: such
// a request is refused rather than run on another version than the session's. Other requests run on
// the old version in that case.
func (ro *rollouts) hasUpstreamFor(r *Request, matches func(version string) bool) bool {
	if r.Session != "" {
		return ro.fleet.hasInService(r.Service, r.regions, matches)
	}
	return ro.fleet.hasAvailable(r.Service, r.regions, matches)
}

// versionWithdrawn reports whether this host stopped the new version or the roll-out was reverted,
// so that the version must not get requests.
func (ro *rollouts) versionWithdrawn(sr *serviceRollout) bool {
	return sr.stopped || sr.hasStatus() && sr.status.State == RolloutReverted
}

// isCanary reports whether the request belongs to the new version's share, by a hash that is the
// same on all hosts. The requests of a session may reach several hosts, which raise the shares at
// different times. In the first half of a roll-out no session may change its version, so
// sessionShare is 0; later it only rises, so that no session returns to the old version.
func (ro *rollouts) isCanary(sr *serviceRollout, r *Request) bool {
	switch {
	case ro.versionWithdrawn(sr):
		return false
	case sr.hasStatus() && sr.status.State == RolloutCompleted:
		return true
	case r.Session != "":
		return evenhash.Point("canary", sr.order.Version, r.Session) < sr.sessionShare
	default:
		return evenhash.Point("canary", sr.order.Version, r.ID) < sr.requestShare
	}
}

// observeHead counts the head of a stream as an answer of its version.
func (ro *rollouts) observeHead(r *Request, c *choice, took time.Duration) {
	ro.countLoad(r, c, attemptResult{outcome: outcomeDone}, false)
	ro.addObservation(r, c, func(e *evidence, o observation) { e.observeHead(o, took) })
}

// observeStart records that an attempt is under way.
func (ro *rollouts) observeStart(r *Request, c *choice) {
	ro.countSent(r, c)
	ro.addObservation(r, c, func(e *evidence, o observation) { e.startAnswer(c, o) })
}

// observeFirstEvent counts the time to the first event of an attempt for its version.
func (ro *rollouts) observeFirstEvent(r *Request, c *choice, took time.Duration) {
	ro.addObservation(r, c, func(e *evidence, o observation) { e.observeFirstEvent(c, o, took) })
}

// observeEventGap counts the mean time between the first events of a stream for its version.
func (ro *rollouts) observeEventGap(r *Request, c *choice, gap time.Duration) {
	ro.addObservation(r, c, func(e *evidence, o observation) { e.observeEventGap(o, gap) })
}

// observeCutOff records that an attempt ended whose cause isn't known yet.
func (ro *rollouts) observeCutOff(r *Request, c *choice) {
	ro.addObservation(r, c, func(e *evidence, o observation) { delete(e.pending, c) })
}

// observeResult counts the result of an attempt for its version. headCounted is set if observeHead
// counted the head of its answer. A request that a version fails several times counts once: some
// requests fail at each attempt, and the tests assume that failures are independent.
func (ro *rollouts) observeResult(r *Request, c *choice, result attemptResult, headCounted bool) {
	ro.countLoad(r, c, result, headCounted)
	ro.addObservation(r, c, func(e *evidence, o observation) {
		now := boottime.Now()
		o.headCounted = headCounted
		e.endAnswer(c, o, result, now)
		if result.isBadAnswer() && !r.addFailedVersion(c.upstream.Version) {
			return
		}
		e.observeEnd(o, result, now)
	})
}

// evaluating reports whether a roll-out of the service is in progress and wasn't stopped by this
// host, so that answers are counted.
func (ro *rollouts) evaluating(service string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	sr := ro.byService[service]
	return sr != nil && sr.running() && !sr.stopped
}

// addObservation adds an observation to the evidence of the service's roll-out and evaluates it, if
// a roll-out is in progress.
func (ro *rollouts) addObservation(r *Request, c *choice, add func(e *evidence, o observation)) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	sr := ro.byService[r.Service]
	if sr == nil || !sr.running() || sr.stopped {
		return
	}
	add(&sr.evidence, observation{
		route:      r.Route.Name,
		upstream:   c.upstream.ID,
		isNew:      c.upstream.Version == sr.order.Version,
		expected:   c.placement.ExpectedTime,
		atFullLoad: sr.hadFullLoadAt(c.chosenAt),
		sentAt:     c.chosenAt,
	})
	ro.evaluate(sr)
}

// ownEvidence returns what this host counted for each roll-out in progress, and for completed versions that may fail above a load.
func (ro *rollouts) ownEvidence() []exchange.Evidence {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var list []exchange.Evidence
	for _, sr := range ro.byService {
		if sr.running() {
			own := exchange.Evidence{
				Service: sr.order.Service, Order: sr.order.Revision, Hosts: 1, Routes: sr.evidence.ownCounts(),
				FirstEvents: sr.evidence.ownFirstEventsAt(boottime.Now()), EventGaps: sr.evidence.ownEventGaps,
				Sent: sr.evidence.ownSent, Loads: sr.evidence.ownLoads,
			}
			if !sr.sendsAllToNew() {
				own.BelowFullLoad = 1
			}
			list = append(list, own)
		} else if own, ok := sr.completedEvidence(); ok {
			list = append(list, own)
		}
	}
	return list
}

// setRemoteEvidence sets the numbers of answers that the other hosts counted for roll-outs in
// progress.
func (ro *rollouts) setRemoteEvidence(list []exchange.Evidence) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, e := range list {
		sr := ro.byService[e.Service]
		if sr == nil || sr.order.Revision != e.Order || sr.stopped {
			continue
		}
		if !sr.running() {
			sr.evidence.remoteLoads = e.Loads
			continue
		}
		sr.evidence.setRemote(e)
		ro.evaluate(sr)
	}
}

// evaluate stops the new version if its numbers of bad answers show that it is worse.
func (ro *rollouts) evaluate(sr *serviceRollout) {
	ro.stopFor(sr, sr.evidence.stopReason(ro.fleet.countVersion(sr.order.Service, sr.order.Version)))
}

// evaluateTimes stops the new version if its answer times show that it is worse. The comparison takes too long
// to be made at each answer.
func (ro *rollouts) evaluateTimes(sr *serviceRollout) {
	if sr.running() && !sr.stopped {
		ro.stopFor(sr, sr.evidence.timesStopReason(ro.fleet.countVersion(sr.order.Service, sr.order.Version), boottime.Now()))
	}
}

// stopFor stops the new version, unless the reason is empty.
func (ro *rollouts) stopFor(sr *serviceRollout, reason string) {
	if reason != "" {
		sr.stopped = true
		ro.log.Warn().Str("event", "rollout-stopped").Str("service", sr.order.Service).Str("version", sr.order.Version).
			Str("reason", reason).Str("evidence", sr.evidence.String()).Msg("")
		ro.logEvidence(sr, "stopped")
	}
}

// progress returns the fraction of the roll-out's duration that has passed. It is measured by the
// store's clock once a status states when the roll-out began.
func (ro *rollouts) progress(sr *serviceRollout) float64 {
	elapsed := boottime.Since(sr.receivedAt)
	if sr.hasStatus() && ro.statuses != nil {
		elapsed = ro.statuses.StoreClock() - sr.status.Started
	}
	return float64(elapsed) / float64(max(sr.order.Duration, time.Millisecond))
}

// run raises the shares of the roll-outs and writes their due statuses, every rolloutInterval until
// the context ends.
func (ro *rollouts) run(ctx context.Context) {
	wait.Every(ctx, rolloutInterval, func() { ro.processAll(ctx) })
}

func (ro *rollouts) processAll(ctx context.Context) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, sr := range ro.byService {
		ro.updateLoadLimit(sr, boottime.Now())
		if !sr.running() && !sr.unsaved {
			continue
		}
		sr.evidence.updateRecentSent()
		ro.raiseShares(sr)
		sr.updateFullLoad(boottime.Now())
		ro.evaluateTimes(sr)
		next, due := ro.dueStatus(sr)
		if !due || sr.writing || !ro.shouldWriteNow(sr, next) {
			continue
		}
		sr.writing = true
		go ro.writeStatus(ctx, sr, next)
	}
}

// raiseShares raises the roll-out's shares to the values of its ramps at the current time, if the
// status data is recent and what was sent to the new version so far permits it. If the traffic rises so far that the rest
// of the roll-out would exceed the permitted exposure, it lowers the share of requests without a session again.
func (ro *rollouts) raiseShares(sr *serviceRollout) {
	if !sr.hasStatus() {
		return
	}
	age, ok := ro.statuses.Age()
	if !ok || age > maxStatusAge || ro.statuses.Unreachable() {
		return
	}
	sent := ro.sentSinceOrder(sr)
	sr.peakRate = sr.nextPeakRate(sent.recentRate)
	progress, duration := ro.progress(sr), sr.order.Duration
	rate, headroom := sent.meanRate, sent.headroom
	requests, sessions := ro.requestRamp.withHeadroom(headroom, rate, duration), ro.sessionRamp.withHeadroom(headroom, rate, duration)
	permitted := sent.permittedRest(ro.settings.CanaryShare, sr.meanRecentShare(), progress, duration)
	reserve := sent.rate * fullLoadReserve.Seconds() / sent.inDuration(duration)
	// A session that runs on the new version stays there.
	sr.sessionShare = max(sr.sessionShare, sessions.shareWithin(progress, permitted, reserve, sr.sessionShare >= 1))
	sr.requestShare = requests.shareWithin(progress, permitted, reserve, sr.requestShare >= 1)
	sr.recordShare()
}

// hasUnfinished reports whether, for any service, a roll-out is in progress or its final status has
// to be written again.
func (ro *rollouts) hasUnfinished() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, sr := range ro.byService {
		if sr.running() || sr.unsaved {
			return true
		}
	}
	return false
}
