package gateway

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// failedAlpha and slowAlpha are the probabilities with which a single test, over all answers or
	// over those of one route, stops a new version that is as good as the old one: failedAlpha for
	// the test of failed answers, slowAlpha for that of slow ones. slowAlpha is smaller because
	// slow answers occur in bursts with load, while failures are independent.
	failedAlpha = 2e-3
	slowAlpha   = 1e-4
	// failedTolerance and slowTolerance are the differences between the new and the old version's
	// fractions of bad answers up to which a new version may still be completed. The smaller they
	// are, the more answers are needed to complete a sound version: 15 for a tolerance of 0.2 if
	// the old version is sound. A roll-out of 16 s at 19 requests a second provides that many
	// within the permitted exposure.
	failedTolerance = 0.2
	slowTolerance   = 0.3
	// completionAlpha is the probability with which a version that is worse by more than the
	// tolerance passes the test for completion.
	completionAlpha = 0.05
	// minBadAnswers is the minimum number of bad answers for which a version is stopped. Two can
	// coincide by chance when an upstream terminates.
	minBadAnswers = 3
	// minBadUpstreams is the number of upstreams of a version that must have given bad answers
	// before the version is stopped, unless it has fewer upstreams. A bad version gives bad answers
	// on each of its upstreams, while a single upstream can be bad with any version.
	minBadUpstreams = 2
	// An engine's answer counts as slow if its time to the first byte exceeds slowFactor times the
	// expected time and exceeds the expected time by more than slowExcess. Of the answers of an
	// ordinary version, 20 to 33% count as slow, because they wait for prompts that this host has no
	// data on. Of a version that takes eight times as long for a part of its steps, at least 75% do.
	// With a factor of 4, one answer in seven counted as slow on both versions, so that the test
	// couldn't distinguish them.
	slowFactor = 2
	slowExcess = 40 * time.Millisecond
	// An answer of a plain service counts as slow if it took more than plainSlowFactor times the
	// mean time on the old version, and more than plainSlowMin. Times below plainSlowMin vary for
	// reasons other than the version, such as the queue of an upstream.
	plainSlowFactor = 4
	plainSlowMin    = 250 * time.Millisecond
	// oldMeanGain is the weight of a new time in the mean time on the old version.
	oldMeanGain = 0.1
	// crashWindow is the time within which all answers that one upstream cut off count as one bad
	// answer, since a crash cuts off all requests in progress.
	crashWindow = time.Second
)

// evidence compares two versions of a service by their answers, for each route and in total.
type evidence struct {
	// ownRoutes holds the numbers of answers that this host counted, by route. remoteRoutes holds
	// those that the other hosts counted. remoteHosts is the number of these hosts, and
	// remoteBelowFullLoad the number of those that still send requests to the old version.
	ownRoutes           map[string]*routeEvidence
	remoteRoutes        map[string]exchange.VersionTallies
	remoteHosts         int
	remoteBelowFullLoad int
	// ownFirstEvents and ownEventGaps hold the answer times that this host counted, remoteFirstEvents and
	// remoteEventGaps those that the other hosts counted.
	ownFirstEvents, ownEventGaps       exchange.VersionTimes
	remoteFirstEvents, remoteEventGaps exchange.VersionTimes
	// ownSent and ownLoads hold what this host counted, remoteSent and remoteLoads the sums of what the other
	// hosts counted.
	ownSent, remoteSent   exchange.SentCounts
	ownLoads, remoteLoads exchange.LoadCounts
	// formerSent holds ownSent.All at each rolloutInterval of the last recentSentSpan, the oldest first.
	formerSent []int
	// ownSessionSent is the part of ownSent.All that belongs to sessions.
	ownSessionSent int
	// pending holds the attempts under way that have no first event yet.
	pending map[*choice]pendingAnswer
	// cutOffAt holds for each upstream, by id, the time of the last counted answer that it cut off.
	cutOffAt map[string]time.Time
}

// routeEvidence holds the numbers of answers that this host counted on one route.
type routeEvidence struct {
	exchange.VersionTallies
	// oldMeanTime is the decayed mean time to the first byte on the old version, without slow
	// answers; it is computed for plain services only. oldMeanGap is the mean time between events.
	oldMeanTime time.Duration
	oldMeanGap  time.Duration
}

func newEvidence() evidence {
	return evidence{ownRoutes: make(map[string]*routeEvidence), cutOffAt: make(map[string]time.Time), pending: make(map[*choice]pendingAnswer)}
}

// observation describes the attempt whose answer is counted. isNew is set if the attempt's upstream
// runs the new version.
type observation struct {
	route    string
	upstream string
	isNew    bool
	// expected is the time in which an engine was expected to begin its answer; 0 for plain
	// services, whose times are compared with the mean time on the old version.
	expected time.Duration
	// headCounted is set if the answer's head was already counted as an answer.
	headCounted bool
	// atFullLoad is set if the request was sent while the new version got all requests.
	atFullLoad bool
	// sentAt is when the attempt began; zero if it isn't known.
	sentAt time.Time
}

// observeHead counts the head of a stream as an answer when it arrives. Failures are counted at
// once, so counting good answers only at their end would make a version look worse than it is.
func (e *evidence) observeHead(o observation, took time.Duration) {
	re := e.route(o.route)
	re.countAnswer(o, false, re.isSlow(o, took))
}

// observeEnd counts the result of an attempt.
func (e *evidence) observeEnd(o observation, result attemptResult, now time.Time) {
	re := e.route(o.route)
	if result.isBadAnswer() {
		re.countAnswer(o, true, false)
		return
	}
	switch result.outcome {
	case outcomeDone:
		if !o.headCounted {
			re.countAnswer(o, false, re.isSlow(o, result.firstByte))
		}
	case outcomeUnknown, outcomeBroken:
		if now.Sub(e.cutOffAt[o.upstream]) > crashWindow {
			e.cutOffAt[o.upstream] = now
			re.countAnswer(o, true, false)
		}
	case outcomeSilent:
		// The upstream sent no response within the head timeout, which is several times the
		// expected time.
		re.countAnswer(o, false, true)
	case outcomeAbandoned:
		if result.abandonedByCaller() {
			re.countAbandoned(o, now)
		}
	}
}

func (e *evidence) route(route string) *routeEvidence {
	re := e.ownRoutes[route]
	if re == nil {
		re = &routeEvidence{}
		e.ownRoutes[route] = re
	}
	return re
}

// isSlow reports whether an answer with this time to its first byte counts as slow. For a plain
// service it also adds the times of the old version's answers that aren't slow to oldMeanTime.
func (re *routeEvidence) isSlow(o observation, took time.Duration) bool {
	slow := re.exceedsSlowLimit(o, took)
	if o.expected == 0 && !o.isNew && !slow {
		updateMean(&re.oldMeanTime, took)
	}
	return slow
}

func (re *routeEvidence) exceedsSlowLimit(o observation, took time.Duration) bool {
	if o.expected > 0 {
		return took > o.expected+slowExcess && took > slowFactor*o.expected
	}
	return re.oldMeanTime > 0 && took > plainSlowMin && took > plainSlowFactor*re.oldMeanTime
}

// updateMean adds a time to a decayed mean.
func updateMean(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
	}
	*mean += time.Duration(oldMeanGain * float64(took-*mean))
}

func (re *routeEvidence) countAnswer(o observation, failed, slow bool) {
	if !o.isNew {
		countIn(&re.Old, o, failed, slow)
		return
	}
	countIn(&re.New, o, failed, slow)
	if o.atFullLoad {
		countIn(&re.FullLoad, o, failed, slow)
	}
}

// countAbandoned counts an attempt that ended because the caller left or the deadline passed.
func (re *routeEvidence) countAbandoned(o observation, now time.Time) {
	tallies := []*exchange.Tally{&re.Old}
	if o.isNew {
		tallies = []*exchange.Tally{&re.New}
		if o.atFullLoad {
			tallies = append(tallies, &re.FullLoad)
		}
	}
	for _, t := range tallies {
		t.Abandoned++
		if !o.headCounted && !o.sentAt.IsZero() && re.exceedsSlowLimit(o, now.Sub(o.sentAt)) {
			t.AddBadUpstream(o.upstream)
		}
	}
}

// countIn adds the answer to the tally.
func countIn(tally *exchange.Tally, o observation, failed, slow bool) {
	if !o.headCounted {
		tally.Answers++
	}
	if failed {
		tally.Failed++
	}
	if slow {
		tally.Slow++
	}
	if failed || slow {
		tally.AddBadUpstream(o.upstream)
	}
}

// setRemote stores the sums of what the other hosts counted.
func (e *evidence) setRemote(sum exchange.Evidence) {
	e.remoteRoutes, e.remoteHosts, e.remoteBelowFullLoad = sum.Routes, sum.Hosts, sum.BelowFullLoad
	e.remoteFirstEvents, e.remoteEventGaps = sum.FirstEvents, sum.EventGaps
	e.remoteSent, e.remoteLoads = sum.Sent, sum.Loads
}

// ownCounts returns the numbers of answers that this host counted per version, by route.
func (e *evidence) ownCounts() map[string]exchange.VersionTallies {
	routes := make(map[string]exchange.VersionTallies, len(e.ownRoutes))
	for name, re := range e.ownRoutes {
		routes[name] = re.VersionTallies
	}
	return routes
}

// allCounts returns the numbers of answers per version, by route, summed over all hosts.
func (e *evidence) allCounts() map[string]exchange.VersionTallies {
	routes := e.ownCounts()
	for name, counts := range e.remoteRoutes {
		sum := routes[name]
		sum.Add(counts)
		routes[name] = sum
	}
	return routes
}

// stopReason returns the reason to stop the new version; empty if there is none. upstreams is the
// number of upstreams of the new version.
func (e *evidence) stopReason(upstreams int) string {
	routes := e.allCounts()
	if isWorse(sumRoutes(routes), upstreams) {
		return "all-routes"
	}
	for name, counts := range routes {
		if isWorse(counts, upstreams) {
			return "route " + name
		}
	}
	return fullLoadStopReason(routes, upstreams)
}

func sumRoutes(routes map[string]exchange.VersionTallies) exchange.VersionTallies {
	var sum exchange.VersionTallies
	for _, counts := range routes {
		sum.Add(counts)
	}
	return sum
}

// isWorse reports whether the new version's answers fail or are slow more often than can be
// explained by chance or by a single bad upstream.
func isWorse(v exchange.VersionTallies, upstreams int) bool {
	if v.New.MinBadUpstreams() < min(minBadUpstreams, upstreams) {
		return false
	}
	return v.New.Failed >= minBadAnswers && rollout.IsWorse(failureSample(v.Old), failureSample(v.New), failedAlpha) ||
		v.New.Slow >= minBadAnswers && rollout.IsWorse(slowSample(v.Old), slowSample(v.New), slowAlpha)
}

// suspectAlpha is the probability with which a route is suspected, at any time during the roll-out,
// although the new version is as good there as the old one.
const suspectAlpha = 0.2

// sufficesToComplete reports whether the evidence suffices to complete the new version: there are
// enough good answers in total, and no single route is suspected. A version that is bad on one of
// several routes may be good enough in total.
func (e *evidence) sufficesToComplete() bool {
	routes := e.allCounts()
	for _, v := range routes {
		if rollout.IsWorse(failureSample(v.Old), failureSample(v.New), suspectAlpha) {
			return false
		}
	}
	var failed, slow []rollout.Stratum
	for _, v := range routes {
		failed = append(failed, rollout.Stratum{Baseline: failureSample(v.Old), Candidate: failureSample(v.New)})
		slow = append(slow, rollout.Stratum{Baseline: slowSample(v.Old), Candidate: slowSample(v.New)})
	}
	return rollout.IsNotWorseInStrata(failed, failedTolerance, completionAlpha) &&
		rollout.IsNotWorseInStrata(slow, slowTolerance, completionAlpha)
}

func failureSample(t exchange.Tally) rollout.AnswerCounts {
	return rollout.AnswerCounts{Bad: min(t.Failed, t.Answers), Total: t.Answers}
}

func slowSample(t exchange.Tally) rollout.AnswerCounts {
	return rollout.AnswerCounts{Bad: min(t.Slow, t.Answers), Total: t.Answers}
}

// String returns, for log lines, the numbers of failed, slow and all answers of the old version, of the
// new one, and of the new one at full load: first as counted by this host, then summed over all hosts.
func (e *evidence) String() string {
	return countsText(sumRoutes(e.ownCounts())) + " of all " + countsText(sumRoutes(e.allCounts()))
}

func countsText(v exchange.VersionTallies) string {
	return fmt.Sprintf("old %s new %s full-load %s", tallyText(v.Old), tallyText(v.New), tallyText(v.FullLoad))
}

func tallyText(t exchange.Tally) string { return fmt.Sprintf("%d+%d/%d", t.Failed, t.Slow, t.Answers) }
