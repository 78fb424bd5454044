package gateway

import (
	"fmt"
	"time"
)

const (
	// minBad is the least number of bad answers that stop a version. Two can
	// come together by chance when an upstream dies.
	minBad = 3
	// badFactor and badFloor say how much more often than the old version's the
	// new one's answers must be bad: badFactor times the old rate and the floor.
	badFactor = 2.5
	badFloor  = 0.06
	// slowFactor is how many times as long as the old version's mean an answer
	// takes that counts as slow.
	slowFactor = 4
	// slowLeast is the least time of a slow answer: shorter ones vary for other
	// reasons, such as an upstream's queue.
	slowLeast = 250 * time.Millisecond
	// meanGain is the weight of a new time in a mean.
	meanGain = 0.1
)

// evidence compares two versions of a service by their answers on this host, for
// each route and over all.
type evidence struct {
	routes map[string]*tallies
	total  tallies
}

type tallies struct {
	old, new tally
	// meanOld is the mean time to the first byte on the old version.
	meanOld time.Duration
}

type tally struct {
	answers int
	bad     int
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
	bad := result.outcome != outcomeDone
	if !bad {
		bad = t.slow(isNew, result.firstByte)
	}
	t.count(isNew, bad)
	e.total.count(isNew, bad)
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

func (t *tallies) count(isNew, bad bool) {
	side := &t.old
	if isNew {
		side = &t.new
	}
	side.answers++
	if bad {
		side.bad++
	}
}

// verdict is the reason to stop the new version, or empty.
func (e *evidence) verdict() string {
	if e.total.worse() {
		return "all-routes"
	}
	for name, t := range e.routes {
		if t.worse() {
			return "route " + name
		}
	}
	return ""
}

// worse says that the new version's answers are bad far more often.
func (t *tallies) worse() bool {
	if t.new.bad < minBad {
		return false
	}
	return t.new.rate() > badFactor*t.old.rate()+badFloor
}

func (t *tally) rate() float64 { return float64(t.bad) / float64(max(1, t.answers)) }

// String shows the counts, bad of all, old and new.
func (e *evidence) String() string {
	return fmt.Sprintf("old %d/%d new %d/%d", e.total.old.bad, e.total.old.answers, e.total.new.bad, e.total.new.answers)
}
