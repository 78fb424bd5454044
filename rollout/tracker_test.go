package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestVersionsWithoutARuleAreUnrestricted(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), testRule)
	is.True(tracker.Take("m", "1"))
	is.True(tracker.Cleared("m", "1"))
	is.True(!tracker.Cleared("m", "2"))
}

func TestStopsByReason(t *testing.T) {
	tests := []struct {
		desc    string
		outcome Outcome
		want    Reason
	}{
		{"errors", Outcome{Failed: true}, ReasonErrors},
		{"slow first tokens", Outcome{FirstToken: 2 * time.Second, Rated: true, Rating: 0.9}, ReasonLatency},
		{"poor ratings", Outcome{FirstToken: time.Millisecond, Rated: true, Rating: 0.3}, ReasonRating},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			tracker := newTracker("a", newClock(), testRule)
			n := takeAndObserve(tracker, 700, tt.outcome)
			t.Logf("stopped after %d answers", n)
			is.True(n < 40)
			stop, ok := tracker.Stopped("m", "2")
			is.True(ok)
			is.Equal(stop.Reason, tt.want)
			is.Equal(stop.Summary.Answers, uint64(n))
			is.True(stop.Summary.Strength >= 1/DefaultFalseStop)
			is.True(!tracker.Take("m", "2"))
		})
	}
}

func TestClearedVersionIsNotBoundByTheBudget(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), testRule)
	n := takeAndObserve(tracker, 5000, goodOutcome)
	is.Equal(n, 5000) // more than the budget of 700
	is.True(tracker.Cleared("m", "2"))
	is.True(tracker.Export()[0].Taken < uint64(testRule.Budget))
}

func TestClearedVersionCanBeStopped(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	tracker := newTracker("a", clock, testRule)
	takeAndObserve(tracker, 20000, goodOutcome)
	clock.Advance(maxSegments * SegmentLength)
	n := takeAndObserve(tracker, 500, Outcome{Failed: true})
	is.True(n < 10) // the segments show the failures despite 20,000 earlier good answers
	stop, _ := tracker.Stopped("m", "2")
	is.Equal(stop.Reason, ReasonErrors)
}

func TestPacingWaitsForEvidence(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	tracker := newTracker("a", clock, testRule)
	takeOnly := func() (n int) {
		for tracker.Take("m", "2") {
			n++
		}
		return n
	}
	is.Equal(takeOnly(), DefaultInitial)
	tracker.Observe("m", "2", goodOutcome)
	is.Equal(takeOnly(), 2) // one answer ended, and its evidence allows one more
	tracker.Refund("m", "2")
	is.Equal(takeOnly(), 1)
	clock.Advance(DefaultObserveTimeout)
	is.Equal(takeOnly(), DefaultInitial+1)
}

func TestPacingWaitsForRatings(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), testRule)
	unrated := Outcome{FirstToken: time.Millisecond}
	is.Equal(takeAndObserve(tracker, 700, unrated), DefaultInitialUnrated)
	tracker.Rate("m", "2", 0.9)
	is.Equal(takeAndObserve(tracker, 700, unrated), DefaultUnratedGrowth+1)
}

func TestStopHoldsUntilANewRound(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), testRule)
	stop := Stop{Model: "m", Version: "2", Round: testRule.Round, Reason: ReasonErrors, Host: "b", At: start}
	is.True(tracker.AdoptStop(stop))
	is.True(!tracker.AdoptStop(stop)) // already stored
	is.True(!tracker.Take("m", "2"))
	tracker.SetVersions([]VersionRule{testRule}) // the same round
	is.True(!tracker.Take("m", "2"))
	tracker.SetVersions(nil)
	tracker.SetVersions([]VersionRule{testRule}) // removed and restored
	is.True(!tracker.Take("m", "2"))

	renewed := testRule
	renewed.Round++
	tracker.SetVersions([]VersionRule{renewed})
	is.True(tracker.Take("m", "2"))
	is.True(!tracker.AdoptStop(stop)) // outdated
	tracker.SetVersions([]VersionRule{testRule})
	is.True(tracker.Take("m", "2")) // a lower round is ignored
}

func TestStopReceivedBeforeItsRuleApplies(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock())
	tracker.AdoptStop(Stop{Model: "m", Version: "2", Round: testRule.Round, At: start})
	is.Equal(len(tracker.Stops()), 1) // exported before its rule is set
	tracker.SetVersions([]VersionRule{testRule})
	is.True(!tracker.Take("m", "2"))
}

func TestStopsConverge(t *testing.T) {
	is := is.New(t)
	first := Stop{Model: "m", Version: "2", Round: 5, Reason: ReasonErrors, Host: "b", At: start}
	second := Stop{Model: "m", Version: "2", Round: 5, Reason: ReasonRating, Host: "a", At: start.Add(1)}
	a, b := newTracker("a", newClock(), testRule), newTracker("b", newClock(), testRule)
	a.AdoptStop(first)
	a.AdoptStop(second)
	b.AdoptStop(second)
	b.AdoptStop(first)
	is.Equal(a.Stops(), b.Stops())
}

func TestSharedEvidenceStopsSooner(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b := newTracker("a", clock, testRule), newTracker("b", clock, testRule)
	for range 2 { // too few for a stop on either host alone
		a.Observe("m", "2", Outcome{Failed: true})
		b.Observe("m", "2", Outcome{Failed: true})
	}
	_, stopped := a.Stopped("m", "2")
	is.True(!stopped)
	a.Merge(b.Export())
	_, stopped = a.Stopped("m", "2")
	is.True(stopped)
}

func TestEvidenceReceivedBeforeItsRuleCounts(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b := newTracker("a", clock, testRule), newTracker("b", clock)
	for range 4 {
		a.Observe("m", "2", Outcome{Failed: true})
	}
	b.Merge(a.Export())
	b.SetVersions([]VersionRule{testRule})
	is.True(!b.Take("m", "2"))
}

func TestExportSinceSendsChangesOnly(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b := newTracker("a", clock, testRule), newTracker("b", clock, testRule)
	a.Observe("m", "2", goodOutcome)
	evidence, next := a.ExportSince(0)
	is.Equal(len(evidence), 1)
	b.Merge(evidence)
	echoed, _ := b.ExportSince(0)
	a.Merge(echoed) // a ignores its own evidence
	evidence, _ = a.ExportSince(next)
	is.Equal(len(evidence), 0)
	b.Merge(echoed)
	_, next = b.ExportSince(0)
	b.Merge(a.Export()) // nothing new
	evidence, _ = b.ExportSince(next)
	is.Equal(len(evidence), 0)
}

func TestAnswersInFlightCountAsGood(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	tracker := New(Options{Host: "a", Clock: clock.Now, Pacing: Pacing{Off: true}})
	tracker.SetVersions([]VersionRule{testRule})
	for range 60 {
		tracker.Take("m", "2")
	}
	// Failures often end before good answers: 3 of 3 ended answers failed, but
	// these are 5% of the 60 taken, which is within the limit.
	for range 3 {
		tracker.Observe("m", "2", Outcome{Failed: true})
	}
	_, stopped := tracker.Stopped("m", "2")
	is.True(!stopped)
	for range 57 {
		tracker.Observe("m", "2", goodOutcome)
	}
	_, stopped = tracker.Stopped("m", "2")
	is.True(!stopped)
}

func TestTakeUnpacedEnforcesOnlyTheBudget(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), smallRule)
	for range smallRule.Budget {
		is.True(tracker.TakeUnpaced("m", "2"))
	}
	is.True(!tracker.TakeUnpaced("m", "2")) // the budget is used up
}

func TestAbandonedAnswersEnd(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", newClock(), testRule)
	for tracker.Take("m", "2") {
	}
	tracker.Abandon("m", "2")
	is.True(tracker.Take("m", "2"))
	is.True(!tracker.Take("m", "2"))
	evidence := tracker.Export()[0]
	is.Equal(evidence.inFlight(), uint64(DefaultInitial))
	is.Equal(evidence.Taken, uint64(DefaultInitial+1)) // still charged to the budget
}

// TestExportOwnIsSmallerThanExport observes 1.4 rated answers a second, one
// host's part of 10 a second over seven hosts.
func TestExportOwnIsSmallerThanExport(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b := newTracker("entry-1", clock, testRule), newTracker("entry-2", clock, testRule)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		clock.Advance(700 * time.Millisecond)
		a.Observe("m", "2", Outcome{Rated: true, Rating: 0.8 + 0.1*rnd.NormFloat64(), FirstToken: time.Millisecond})
	}
	own, _ := a.ExportOwn(0)
	short, err := json.Marshal(own)
	is.NoErr(err)
	long, err := json.Marshal(a.Export())
	is.NoErr(err)
	t.Logf("%d bytes with the last segments, %d with all", len(short), len(long))
	is.True(len(short) < len(long))
	b.Merge(own)
	relayed, _ := b.ExportOwn(0)
	is.Equal(len(relayed), 0) // b has no evidence of its own
	is.Equal(len(b.Export()), 1)
}
