package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

const (
	// minBad is the least number of bad answers that stop a version. Two can
	// come together by chance when an upstream dies.
	minBad = 3
	// failedChance and slowChance are how probable a new version's count of
	// failed or slow answers may be, at the old version's rate, for the version
	// to be stopped. Failures are rare and independent; slow answers come in
	// bursts with load, and dozens of hosts look at each route after each answer.
	failedChance = 5e-4
	slowChance   = 1e-5
	// slowFactor is how many times as long as the old version's mean an answer
	// takes that counts as slow.
	slowFactor = 4
	// slowLeast is the least time of a slow answer: shorter ones vary for other
	// reasons, such as an upstream's queue.
	slowLeast = 250 * time.Millisecond
	// meanGain is the weight of a new time in a mean.
	meanGain = 0.1
)

// evidence compares two versions of a service by their answers, for each route and
// over all.
type evidence struct {
	// routes are this host's own counts, others those of the other hosts that it
	// hears of.
	routes map[string]*tallies
	others map[string]exchange.Versions
}

type tallies struct {
	exchange.Versions
	// meanOld is the mean time to the first byte on the old version.
	meanOld time.Duration
}

func newEvidence() evidence { return evidence{routes: make(map[string]*tallies)} }

// add takes in how an attempt on the new or the old version ended.
func (e *evidence) add(r *Request, isNew bool, result attemptResult) {
	switch result.outcome {
	case outcomeUnsent, outcomeRefused, outcomeAbandoned:
		return
	}
	t := e.routes[r.Route.Name]
	if t == nil {
		t = &tallies{}
		e.routes[r.Route.Name] = t
	}
	failed := result.outcome != outcomeDone
	slow := !failed && t.slow(isNew, result.firstByte)
	t.count(isNew, failed, slow)
}

// slow says whether a time is far above the old version's mean.
func (t *tallies) slow(isNew bool, took time.Duration) bool {
	slow := t.meanOld > 0 && took > slowLeast && took > slowFactor*t.meanOld
	if !isNew && !slow {
		if t.meanOld == 0 {
			t.meanOld = took
		}
		t.meanOld += time.Duration(meanGain * float64(took-t.meanOld))
	}
	return slow
}

func (t *tallies) count(isNew, failed, slow bool) {
	side := &t.Old
	if isNew {
		side = &t.New
	}
	side.Answers++
	if failed {
		side.Failed++
	}
	if slow {
		side.Slow++
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

// verdict is the reason to stop the new version, or empty.
func (e *evidence) verdict() string {
	routes := e.all()
	if worse(total(routes)) {
		return "all-routes"
	}
	for name, counts := range routes {
		if worse(counts) {
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

// worse says that the new version's answers fail or are slow far more often than
// chance explains.
func worse(v exchange.Versions) bool {
	return unlikely(v.New.Failed, v.New.Answers, v.Old.Failed, v.Old.Answers, failedChance) ||
		unlikely(v.New.Slow, v.New.Answers, v.Old.Slow, v.Old.Answers, slowChance)
}

// unlikely says whether as many bad answers as the new version's have at most the
// chance at the old version's rate. The rate is taken with one bad answer and four
// answers more, so that a short good record doesn't make every failure telling.
func unlikely(newBad, newAnswers, oldBad, oldAnswers int, chance float64) bool {
	if newBad < minBad {
		return false
	}
	rate := float64(oldBad+1) / float64(oldAnswers+4)
	return poissonTail(newBad, rate*float64(newAnswers)) <= chance
}

// poissonTail is the probability of at least n events where mean are expected.
func poissonTail(n int, mean float64) float64 {
	term := math.Exp(-mean)
	below := 0.0
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return max(0, 1-below)
}

// String shows the counts, failed and slow of all, old and new: the host's own and
// those of all hosts.
func (e *evidence) String() string {
	return countsText(total(e.own())) + " of all " + countsText(total(e.all()))
}

func countsText(v exchange.Versions) string {
	return fmt.Sprintf("old %d+%d/%d new %d+%d/%d", v.Old.Failed, v.Old.Slow, v.Old.Answers, v.New.Failed, v.New.Slow, v.New.Answers)
}
