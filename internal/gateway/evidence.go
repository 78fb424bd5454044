package gateway

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// failedAlpha and slowAlpha are the probabilities with which a version that equals the old one
	// is stopped by one of the tests, over all answers or one route's. Failures are independent;
	// slow answers come in bursts with load.
	failedAlpha = 2e-3
	slowAlpha   = 1e-4
	// failedTolerance and slowTolerance are the fractions of all answers by which a new version
	// may be worse and still be completed. The smaller they are, the more answers a sound version
	// needs: 15 for 0.2 where the old version is sound, which a roll-out of 16 s at 19 requests a
	// second provides within its exposure.
	failedTolerance = 0.2
	slowTolerance   = 0.3
	// completionAlpha is the probability with which a version that is worse by more than the tolerance
	// passes the test for completion.
	completionAlpha = 0.05
	// minBadAnswers is the least number of bad answers that stop a version. Two can coincide by chance
	// when an upstream ends.
	minBadAnswers = 3
	// minSources is the number of upstreams that must have given bad answers for a version to be
	// stopped, if it has as many: a bad version is bad on each of its upstreams, while a single
	// upstream can be bad with any version.
	minSources = 2
	// slowFactor is the multiple of the expected time from which an engine's answer counts as
	// slow, slowExcess the least excess over that time. A fifth to a third of ordinary answers
	// count as slow because they wait for prompts that are unknown to this host; of a version
	// that runs a part of its steps eight times as long, three quarters and more. With a factor of
	// 4 it was one in seven of both.
	slowFactor = 2
	slowExcess = 40 * time.Millisecond
	// plainSlowFactor is the same for a plain service relative to its mean time, plainSlowMin the
	// least time of a slow answer: shorter ones vary for other reasons, such as an upstream's
	// queue.
	plainSlowFactor = 4
	plainSlowMin    = 250 * time.Millisecond
	// meanGain is the weight of a new time in a mean.
	meanGain = 0.1
	// crashSpan is the time within which answers that one upstream cut off count as one: a crash
	// cuts off all requests in progress.
	crashSpan = time.Second
)

// evidence compares two versions of a service by their answers, for each route and in total.
type evidence struct {
	// routes are this host's own counts, remote those received from the other hosts.
	routes map[string]*routeEvidence
	remote map[string]exchange.Versions
	// brokenAt is when each upstream last cut off an answer.
	brokenAt map[string]time.Time
}

type routeEvidence struct {
	exchange.Versions
	// meanOld is the mean time to the first byte on the old version.
	meanOld time.Duration
}

func newEvidence() evidence {
	return evidence{routes: make(map[string]*routeEvidence), brokenAt: make(map[string]time.Time)}
}

// observation describes the attempt that a result belongs to.
type observation struct {
	route    string
	upstream string
	isNew    bool
	// expected is the time in which an engine was expected to answer; 0 for plain services, which
	// are compared with the old version's mean time.
	expected time.Duration
	// headCounted is set if the answer's head was already counted as an answer.
	headCounted bool
}

// observeHead counts the head of a stream. It is counted on arrival: failures arrive at once, and
// counting good answers only at their end would make a version look worse than it is.
func (e *evidence) observeHead(o observation, took time.Duration) {
	t := e.route(o.route)
	t.count(o, false, t.slow(o, took))
}

// observeEnd counts the result of an attempt.
func (e *evidence) observeEnd(o observation, result attemptResult, now time.Time) {
	t := e.route(o.route)
	switch result.outcome {
	case outcomeDone:
		if !o.headCounted {
			t.count(o, false, t.slow(o, result.firstByte))
		}
	case outcomeFailed:
		t.count(o, true, false)
	case outcomeUnknown, outcomeBroken:
		if now.Sub(e.brokenAt[o.upstream]) > crashSpan {
			e.brokenAt[o.upstream] = now
			t.count(o, true, false)
		}
	case outcomeSilent:
		// The attempt was given up after several times the expected time.
		t.count(o, false, true)
	}
}

func (e *evidence) route(route string) *routeEvidence {
	t := e.routes[route]
	if t == nil {
		t = &routeEvidence{}
		e.routes[route] = t
	}
	return t
}

// slow reports whether a time is far above the expected one.
func (t *routeEvidence) slow(o observation, took time.Duration) bool {
	if o.expected > 0 {
		return took > o.expected+slowExcess && took > slowFactor*o.expected
	}
	slow := t.meanOld > 0 && took > plainSlowMin && took > plainSlowFactor*t.meanOld
	if !o.isNew && !slow {
		if t.meanOld == 0 {
			t.meanOld = took
		}
		t.meanOld += time.Duration(meanGain * float64(took-t.meanOld))
	}
	return slow
}

func (t *routeEvidence) count(o observation, failed, slow bool) {
	side := &t.Old
	if o.isNew {
		side = &t.New
	}
	if !o.headCounted {
		side.Answers++
	}
	if failed {
		side.Failed++
	}
	if slow {
		side.Slow++
	}
	if failed || slow {
		side.AddSource(o.upstream)
	}
}

// ownCounts returns this host's counts by route.
func (e *evidence) ownCounts() map[string]exchange.Versions {
	routes := make(map[string]exchange.Versions, len(e.routes))
	for name, t := range e.routes {
		routes[name] = t.Versions
	}
	return routes
}

// allCounts returns the counts of all hosts by route.
func (e *evidence) allCounts() map[string]exchange.Versions {
	routes := e.ownCounts()
	for name, counts := range e.remote {
		sum := routes[name]
		sum.Add(counts)
		routes[name] = sum
	}
	return routes
}

// stopReason returns the reason to stop the new version, which has the given number of upstreams;
// empty if there is none.
func (e *evidence) stopReason(upstreams int) string {
	routes := e.allCounts()
	if worse(total(routes), upstreams) {
		return "all-routes"
	}
	for name, counts := range routes {
		if worse(counts, upstreams) {
			return "route " + name
		}
	}
	return ""
}

func total(routes map[string]exchange.Versions) exchange.Versions {
	var sum exchange.Versions
	for _, counts := range routes {
		sum.Add(counts)
	}
	return sum
}

// worse reports whether the new version's answers fail or are slow more often than chance and a
// single bad upstream explain.
func worse(v exchange.Versions, upstreams int) bool {
	if v.New.Sources() < min(minSources, upstreams) {
		return false
	}
	return v.New.Failed >= minBadAnswers && rollout.Worse(failureSample(v.Old), failureSample(v.New), failedAlpha) ||
		v.New.Slow >= minBadAnswers && rollout.Worse(slowSample(v.Old), slowSample(v.New), slowAlpha)
}

// suspectAlpha is the probability with which a route of a version that equals the old one is
// suspected at any time.
const suspectAlpha = 0.2

// sufficient reports whether there are enough good answers of the new version to complete it, and
// no route is suspected: a version that is bad on one of several routes may be good enough in
// total.
func (e *evidence) sufficient() bool {
	routes := e.allCounts()
	for _, v := range routes {
		if rollout.Worse(failureSample(v.Old), failureSample(v.New), suspectAlpha) {
			return false
		}
	}
	v := total(routes)
	return rollout.NotWorse(failureSample(v.Old), failureSample(v.New), failedTolerance, completionAlpha) &&
		rollout.NotWorse(slowSample(v.Old), slowSample(v.New), slowTolerance, completionAlpha)
}

func failureSample(t exchange.Tally) rollout.Sample {
	return rollout.Sample{Bad: min(t.Failed, t.Answers), Total: t.Answers}
}

func slowSample(t exchange.Tally) rollout.Sample {
	return rollout.Sample{Bad: min(t.Slow, t.Answers), Total: t.Answers}
}

// String returns the counts, failed and slow of all, for the old and the new version: this host's
// own and those of all hosts.
func (e *evidence) String() string {
	return countsText(total(e.ownCounts())) + " of all " + countsText(total(e.allCounts()))
}

func countsText(v exchange.Versions) string {
	return fmt.Sprintf("old %d+%d/%d new %d+%d/%d", v.Old.Failed, v.Old.Slow, v.Old.Answers, v.New.Failed, v.New.Slow, v.New.Answers)
}
