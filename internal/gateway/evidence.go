package gateway

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/rollout"
)

const (
	// failedAlpha and slowAlpha are the probabilities with which a version that is like
	// the old one is stopped by one of the tests, of all answers or of one route's.
	// Failures are independent; slow answers come in bursts with load.
	failedAlpha = 2e-3
	slowAlpha   = 1e-4
	// failedTolerance and slowTolerance are the parts of all answers by which a new
	// version may be worse and be completed. The smaller they are, the more answers a
	// sound version needs: 15 for 0.2 where the old version is sound, which a roll-out of
	// 16 s at 19 requests a second gives within its exposure.
	failedTolerance = 0.2
	slowTolerance   = 0.3
	// clearAlpha is the probability with which a version that is worse by more than the
	// tolerance is completed by the test.
	clearAlpha = 0.05
	// minBad is the least number of bad answers that stop a version. Two can
	// come together by chance when an upstream dies.
	minBad = 3
	// minSources is the number of upstreams that must have given bad answers for a
	// version to be stopped, if it has as many: a version is bad wherever it runs, a
	// single upstream can be bad with any version.
	minSources = 2
	// slowFactor is how many times as long as expected an engine's answer takes that
	// counts as slow, slowExcess by how much it must be longer. A fifth to a third of
	// ordinary answers are, since they wait for prompts that nobody here knew of; of a
	// version that runs a part of its steps eight times as long, three quarters and more.
	// With a factor of 4 it was one in seven of both.
	slowFactor = 2
	slowExcess = 40 * time.Millisecond
	// plainFactor is the same of a plain service against its mean time, plainLeast the
	// least time of a slow answer: shorter ones vary for other reasons, such as an
	// upstream's queue.
	plainFactor = 4
	plainLeast  = 250 * time.Millisecond
	// meanGain is the weight of a new time in a mean.
	meanGain = 0.1
	// crashSpan is the time within which answers that one upstream broke off count as
	// one: a crash breaks off all that it runs.
	crashSpan = time.Second
)

// evidence compares two versions of a service by their answers, for each route and
// over all.
type evidence struct {
	// routes are this host's own counts, others those of the other hosts that it
	// hears of.
	routes map[string]*tallies
	others map[string]exchange.Versions
	// brokenAt is when an upstream last broke answers off.
	brokenAt map[string]time.Time
}

type tallies struct {
	exchange.Versions
	// meanOld is the mean time to the first byte on the old version.
	meanOld time.Duration
}

func newEvidence() evidence {
	return evidence{routes: make(map[string]*tallies), brokenAt: make(map[string]time.Time)}
}

// observation is what one attempt is about.
type observation struct {
	route    string
	upstream string
	isNew    bool
	// expected is the time in which an engine was expected to answer; 0 for plain
	// services, whose old version's mean time stands for it.
	expected time.Duration
	// counted says that the answer's head was counted as an answer.
	counted bool
}

// head takes in the head of a stream. It counts as soon as it comes: failures come at
// once, and good answers that are counted at their end make a version look worse than it
// is.
func (e *evidence) head(o observation, took time.Duration) {
	t := e.of(o.route)
	t.count(o, false, t.slow(o, took))
}

// end takes in how an attempt ended.
func (e *evidence) end(o observation, result attemptResult, now time.Time) {
	t := e.of(o.route)
	switch result.outcome {
	case outcomeDone:
		if !o.counted {
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
		// It was waited for several times as long as expected.
		t.count(o, false, true)
	}
}

func (e *evidence) of(route string) *tallies {
	t := e.routes[route]
	if t == nil {
		t = &tallies{}
		e.routes[route] = t
	}
	return t
}

// slow says whether a time is far above what was expected.
func (t *tallies) slow(o observation, took time.Duration) bool {
	if o.expected > 0 {
		return took > o.expected+slowExcess && took > slowFactor*o.expected
	}
	slow := t.meanOld > 0 && took > plainLeast && took > plainFactor*t.meanOld
	if !o.isNew && !slow {
		if t.meanOld == 0 {
			t.meanOld = took
		}
		t.meanOld += time.Duration(meanGain * float64(took-t.meanOld))
	}
	return slow
}

func (t *tallies) count(o observation, failed, slow bool) {
	side := &t.Old
	if o.isNew {
		side = &t.New
	}
	if !o.counted {
		side.Answers++
	}
	if failed {
		side.Failed++
	}
	if slow {
		side.Slow++
	}
	if failed || slow {
		side.Blame(o.upstream)
	}
}

// own are this host's counts by route.
func (e *evidence) own() map[string]exchange.Versions {
	routes := make(map[string]exchange.Versions, len(e.routes))
	for name, t := range e.routes {
		routes[name] = t.Versions
	}
	return routes
}

// all are the counts of all hosts by route.
func (e *evidence) all() map[string]exchange.Versions {
	routes := e.own()
	for name, counts := range e.others {
		sum := routes[name]
		sum.Add(counts)
		routes[name] = sum
	}
	return routes
}

// verdict is the reason to stop the new version, which has a number of upstreams; empty
// if there is none.
func (e *evidence) verdict(upstreams int) string {
	routes := e.all()
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

// worse says that the new version's answers fail or are slow more often than chance and
// a single bad upstream explain.
func worse(v exchange.Versions, upstreams int) bool {
	if v.New.Sources() < min(minSources, upstreams) {
		return false
	}
	return v.New.Failed >= minBad && rollout.Worse(failures(v.Old), failures(v.New), failedAlpha) ||
		v.New.Slow >= minBad && rollout.Worse(slowness(v.Old), slowness(v.New), slowAlpha)
}

// suspectAlpha is the probability with which a route of a version that is like the old
// one is suspected at any time.
const suspectAlpha = 0.2

// cleared says that enough answers speak for the new version, and those of no route
// against it: a version that is bad on one route of several may be good enough over all.
func (e *evidence) cleared() bool {
	routes := e.all()
	for _, v := range routes {
		if rollout.Worse(failures(v.Old), failures(v.New), suspectAlpha) {
			return false
		}
	}
	v := total(routes)
	return rollout.NotWorse(failures(v.Old), failures(v.New), failedTolerance, clearAlpha) &&
		rollout.NotWorse(slowness(v.Old), slowness(v.New), slowTolerance, clearAlpha)
}

func failures(t exchange.Tally) rollout.Sample {
	return rollout.Sample{Bad: min(t.Failed, t.Answers), Total: t.Answers}
}

func slowness(t exchange.Tally) rollout.Sample {
	return rollout.Sample{Bad: min(t.Slow, t.Answers), Total: t.Answers}
}

// String shows the counts, failed and slow of all, old and new: the host's own and
// those of all hosts.
func (e *evidence) String() string {
	return countsText(total(e.own())) + " of all " + countsText(total(e.all()))
}

func countsText(v exchange.Versions) string {
	return fmt.Sprintf("old %d+%d/%d new %d+%d/%d", v.Old.Failed, v.Old.Slow, v.Old.Answers, v.New.Failed, v.New.Slow, v.New.Answers)
}
