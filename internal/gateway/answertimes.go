package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// timesAlpha is the probability with which the comparison of answer times stops a new version that
	// is as fast as the old one. It is smaller than failedAlpha, since the times of requests that wait
	// for the same prompts aren't independent.
	timesAlpha = 1e-4
	// timesCompletionAlpha is the probability with which a version that is materially slower passes the
	// comparison of answer times for completion before it is almost due.
	timesCompletionAlpha = 0.02
	// timesDueAt is when less evidence of answer times suffices to complete a roll-out, as a fraction of its
	// duration. What is left is the time for the last status to be stored.
	timesDueAt = 0.975
	// minReferenceTimes is the minimum number of the old version's times for which a version is stopped.
	minReferenceTimes = 10
	// fullLoadWeight is the part of an answer as which a time to the first event at full load counts. The
	// new version's upstreams get the load at once and with few cached prompts, so that requests wait for
	// each other. Times between events at full load don't count at all, since they depend on the number of
	// requests that an engine runs.
	fullLoadWeight = 0.5
	// gapEvents is the number of events over which the time between the events of a stream is averaged.
	gapEvents = 6
)

// pendingAnswer is an attempt under way without a first event.
type pendingAnswer struct {
	observation
	// reference is the expected time to the first event; 0 if it isn't known.
	reference time.Duration
}

// startAnswer records that an attempt is under way.
func (e *evidence) startAnswer(c *choice, o observation) {
	e.pending[c] = pendingAnswer{o, e.route(o.route).reference(o)}
}

// reference returns the expected time to the first event; 0 if it isn't known.
func (re *routeEvidence) reference(o observation) time.Duration {
	if o.expected > 0 {
		return o.expected
	}
	return re.oldMeanTime
}

// observeFirstEvent counts the time to the first byte or event of an attempt.
func (e *evidence) observeFirstEvent(c *choice, o observation, took time.Duration) {
	delete(e.pending, c)
	if reference := e.route(o.route).reference(o); reference > 0 {
		bucket := rollout.TimeBucket(float64(took) / float64(reference))
		eachCounts(&e.ownFirstEvents, o, func(t *rollout.TimeCounts) { t.Answered[bucket]++ })
	}
}

// endAnswer counts the time of an attempt that ended, unless its first event was counted. An attempt that was
// given up shows that its answer takes longer than it was waited for.
func (e *evidence) endAnswer(c *choice, o observation, result attemptResult, now time.Time) {
	_, isPending := e.pending[c]
	delete(e.pending, c)
	if !isPending && o.headCounted {
		return
	}
	switch {
	case result.outcome == outcomeDone:
		e.observeFirstEvent(c, o, result.firstByte)
	case result.outcome == outcomeSilent || result.abandonedByCaller():
		if !o.sentAt.IsZero() {
			countUnanswered(&e.ownFirstEvents, pendingAnswer{o, e.route(o.route).reference(o)}, now)
		}
	}
}

// observeEventGap counts the mean time between the first events of a stream, as a multiple of the mean of the
// old version's streams on the route.
func (e *evidence) observeEventGap(o observation, gap time.Duration) {
	re := e.route(o.route)
	if reference := re.oldMeanGap; reference > 0 {
		bucket := rollout.TimeBucket(float64(gap) / float64(reference))
		eachCounts(&e.ownEventGaps, o, func(t *rollout.TimeCounts) { t.Answered[bucket]++ })
	}
	if !o.isNew && (re.oldMeanGap == 0 || gap < plainSlowFactor*re.oldMeanGap) {
		updateMean(&re.oldMeanGap, gap)
	}
}

// firstEvents returns the times to the first event of all hosts. The attempts under way on this host are
// counted as unanswered so far.
func (e *evidence) firstEvents(now time.Time) exchange.VersionTimes {
	sum := e.ownFirstEventsAt(now)
	sum.Add(e.remoteFirstEvents)
	return sum
}

func (e *evidence) ownFirstEventsAt(now time.Time) exchange.VersionTimes {
	sum := e.ownFirstEvents
	for _, p := range e.pending {
		countUnanswered(&sum, p, now)
	}
	return sum
}

// eventGaps returns the times between events of all hosts.
func (e *evidence) eventGaps() exchange.VersionTimes {
	sum := e.ownEventGaps
	sum.Add(e.remoteEventGaps)
	return sum
}

func countUnanswered(times *exchange.VersionTimes, p pendingAnswer, now time.Time) {
	if p.reference <= 0 {
		return
	}
	bucket := rollout.TimeBucket(float64(now.Sub(p.sentAt)) / float64(p.reference))
	eachCounts(times, p.observation, func(t *rollout.TimeCounts) { t.Unanswered[bucket]++ })
}

// eachCounts calls count for the counts that an answer belongs to.
func eachCounts(times *exchange.VersionTimes, o observation, count func(*rollout.TimeCounts)) {
	if !o.isNew {
		count(&times.Old)
		return
	}
	group := exchange.UpstreamGroup(o.upstream)
	count(&times.New[group])
	if o.atFullLoad {
		count(&times.FullLoad[group])
	}
}

// timesStopReason returns the reason to stop the new version because of its answer times; empty if there is none.
// upstreams is the number of upstreams of the new version.
func (e *evidence) timesStopReason(upstreams int, now time.Time) string {
	var bad exchange.Tally
	for _, v := range e.allCounts() {
		bad.Add(v.New)
	}
	severalBad := bad.MinBadUpstreams() >= min(minBadUpstreams, upstreams)
	if isSlower(e.firstEvents(now), severalBad, fullLoadWeight) {
		return "first-event times"
	}
	if isSlower(e.eventGaps(), severalBad, 0) {
		return "times between events"
	}
	return ""
}

// isSlower reports whether the new version's answers take longer than can be explained by chance or by a single
// slow upstream: the times of both groups of its upstreams favor a slower version. If all answers are of one group,
// severalBad decides.
func isSlower(times exchange.VersionTimes, severalBad bool, weight float64) bool {
	if times.Old.Total() < minReferenceTimes || !compareAll(times, weight).IsSlower(timesAlpha) {
		return false
	}
	for i, group := range times.New {
		if group.Total() == 0 && !severalBad || compareDiscounted(times.Old, group, times.FullLoad[i], weight).LogRatio() < 0 {
			return false
		}
	}
	return true
}

// compareAll compares all times of the new version with the old version's. Those at full load count as the given
// part of an answer.
func compareAll(times exchange.VersionTimes, weight float64) rollout.TimeComparison {
	return compareDiscounted(times.Old, sumGroups(times.New), sumGroups(times.FullLoad), weight)
}

// compareDiscounted compares the new version's times with the old version's. fullLoad are those of them that
// count as the given part of an answer.
func compareDiscounted(old, all, fullLoad rollout.TimeCounts, weight float64) rollout.TimeComparison {
	all.Subtract(fullLoad)
	return rollout.CompareTimes(old, all).Add(fullLoad, weight)
}

// compareFullLoad compares the new version's times at full load with the old version's.
func compareFullLoad(times exchange.VersionTimes, weight float64) rollout.TimeComparison {
	fullLoad := sumGroups(times.FullLoad)
	return compareDiscounted(times.Old, fullLoad, fullLoad, weight)
}

func sumGroups(groups [2]rollout.TimeCounts) rollout.TimeCounts {
	sum := groups[0]
	sum.Add(groups[1])
	return sum
}

// timesSuffice reports whether the answer times suffice to complete the new version: they exclude that it is
// materially slower or, if almostDue is set, no such slowdown explains them better than chance; and it isn't suspected
// because of its times at full load or between events.
func (e *evidence) timesSuffice(almostDue bool, now time.Time) bool {
	first := e.firstEvents(now)
	if compareFullLoad(first, fullLoadWeight).IsSlower(suspectAlpha) || compareAll(e.eventGaps(), 0).IsSlower(suspectAlpha) {
		return false
	}
	all := compareAll(first, fullLoadWeight)
	return all.IsNotSlower(timesCompletionAlpha) || almostDue && all.LogRatio() <= 0 && all.IsNotSlower(1)
}

// timesUnsuspicious reports whether the answer times don't favor a slower version.
func (e *evidence) timesUnsuspicious(now time.Time) bool {
	return compareAll(e.firstEvents(now), fullLoadWeight).LogRatio() <= 0
}
