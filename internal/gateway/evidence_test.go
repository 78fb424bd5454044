package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// newRolloutInProgress returns the roll-outs of a host that has one roll-out in progress.
func newRolloutInProgress() *rollouts {
	ro := newRollouts(&Settings{CanaryShare: 0.2}, newFleetWithTwoNewUpstreams(), zerolog.Nop())
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	return ro
}

// newFleetWithTwoNewUpstreams returns a fleet with two upstreams of the new version, so that bad
// answers of only one of them don't stop the version.
func newFleetWithTwoNewUpstreams() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, version := range map[string]string{"a": "v1", "b": "v2", "c": "v2"} {
		f.ApplyEntry(Upstream{ID: id, Service: "svc", Version: version}, 1)
	}
	return f
}

// newRoutedRequest returns a new request on route r.
func newRoutedRequest() *Request {
	return &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
}

// choiceOf returns a choice of the upstream.
func choiceOf(id, version string) *choice {
	return &choice{upstream: Upstream{ID: id, Service: "svc", Version: version}}
}

func versionCounts(old, bad, newAnswers, newBad int) exchange.VersionTallies {
	return exchange.VersionTallies{
		Old: exchange.Tally{Answers: old, Failed: bad},
		New: exchange.Tally{Answers: newAnswers, Failed: newBad},
	}
}

// withBothSources returns the counts with both upstreams of the new version added as sources of bad
// answers.
func withBothSources(v exchange.VersionTallies) exchange.VersionTallies {
	v.New.AddBadUpstream("b")
	v.New.AddBadUpstream("c")
	return v
}

// Bad answers that several hosts received stop the version although no single host received enough.
func TestEvidenceOfSeveralHostsIsCombined(t *testing.T) {
	is := is.New(t)
	ro := newRolloutInProgress()
	for range 50 {
		ro.observeResult(newRoutedRequest(), choiceOf("a", "v1"), attemptResult{outcome: outcomeDone}, false)
	}
	for range minBadAnswers - 1 {
		ro.observeResult(newRoutedRequest(), choiceOf("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!ro.byService["svc"].stopped)
	own := versionCounts(50, 0, minBadAnswers-1, minBadAnswers-1)
	own.New.AddBadUpstream("b")
	var loads exchange.LoadCounts
	for range minBadAnswers - 1 {
		loads.CountAnswer(0)
		loads.CountFailure(0, "b")
	}
	is.Equal(ro.ownEvidence(), []exchange.Evidence{{Service: "svc", Order: 5, Hosts: 1, BelowFullLoad: 1, Routes: map[string]exchange.VersionTallies{"r": own}, Loads: loads}})
	others := versionCounts(100, 0, 1, 1)
	others.New.AddBadUpstream("c")
	ro.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.VersionTallies{"r": others}}})
	is.True(ro.byService["svc"].stopped)
}

// Bad answers from a single upstream must not stop the version, since a single upstream can be bad
// with any version.
func TestOneBadUpstreamStopsNoVersion(t *testing.T) {
	is := is.New(t)
	ro := newRolloutInProgress()
	for range 50 {
		ro.observeResult(newRoutedRequest(), choiceOf("a", "v1"), attemptResult{outcome: outcomeDone}, false)
		ro.observeResult(newRoutedRequest(), choiceOf("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!ro.byService["svc"].stopped)
	ro.observeResult(newRoutedRequest(), choiceOf("c", "v2"), attemptResult{outcome: outcomeFailed}, false)
	is.True(ro.byService["svc"].stopped)
}

// A request that fails at each attempt counts as one failure. When its retry counted, too, sound versions
// were stopped or not completed in time, on routes with requests that fail with any version.
func TestRequestThatFailsTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	ro := newRolloutInProgress()
	r := newRoutedRequest()
	ro.observeResult(r, choiceOf("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	ro.observeResult(r, choiceOf("c", "v2"), attemptResult{outcome: outcomeFailed}, false)
	ro.observeResult(r, choiceOf("a", "v1"), attemptResult{outcome: outcomeFailed}, false)
	counts := ro.byService["svc"].evidence.ownCounts()["r"]
	is.Equal([2]int{counts.New.Answers, counts.New.Failed}, [2]int{1, 1})
	is.Equal([2]int{counts.Old.Answers, counts.Old.Failed}, [2]int{1, 1})
}

// The crash of an upstream cuts off all requests that it runs, but counts as one bad answer.
func TestCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	now := time.Now()
	o := observation{route: "r", upstream: "b", isNew: true}
	for range 20 {
		e.observeEnd(o, attemptResult{outcome: outcomeUnknown}, now)
	}
	is.Equal(e.ownCounts()["r"].New.Failed, 1)
	e.observeEnd(o, attemptResult{outcome: outcomeBroken}, now.Add(2*crashWindow))
	is.Equal(e.ownCounts()["r"].New.Failed, 2)
}

// An upstream that sends invalid answers didn't crash: each counts.
func TestInvalidAnswersCountEach(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	o := observation{route: "r", upstream: "b", isNew: true}
	for range 20 {
		e.observeEnd(o, attemptResult{outcome: outcomeUnknown, err: responsecheck.CheckHead(1, 0, nil)}, time.Now())
	}
	is.Equal(e.ownCounts()["r"].New.Failed, 20)
	is.Equal((&attemptResult{outcome: outcomeUnknown, err: responsecheck.CheckHead(1, 0, nil)}).guardOutcome(), guard.Answered)
}

// A stream counts as one answer, when its head arrives. If it fails later, the failure is counted
// for that answer.
func TestStreamIsCountedByItsHead(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	o := observation{route: "r", upstream: "b", isNew: true}
	e.observeHead(o, time.Millisecond)
	is.Equal(e.ownCounts()["r"].New.Answers, 1)
	o.headCounted = true
	e.observeEnd(o, attemptResult{outcome: outcomeBroken}, time.Now())
	is.Equal(e.ownCounts()["r"].New.Answers, 1)
	is.Equal(e.ownCounts()["r"].New.Failed, 1)
	e.observeEnd(o, attemptResult{outcome: outcomeDone}, time.Now())
	is.Equal(e.ownCounts()["r"].New.Answers, 1)
}

// Attempts that were given up after a timeout count as slow, not as failed. Under load they are
// frequent on every version, so that counting them as failed would hide a version that fails.
func TestTimeoutsCountAsSlow(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.observeEnd(observation{route: "r", upstream: "a"}, attemptResult{outcome: outcomeSilent}, time.Now())
	old := e.ownCounts()["r"].Old
	is.Equal(old.Failed, 0)
	is.Equal(old.Slow, 1)
}

// Whether an engine's answer is slow depends on the time expected for its prompt, not on the times
// of other prompts.
func TestSlowByTheExpectedTime(t *testing.T) {
	tests := []struct {
		desc     string
		expected time.Duration
		took     time.Duration
		want     bool
	}{
		{"a long prompt", 2 * time.Second, 3 * time.Second, false},
		{"a long prompt on a slow version", 2 * time.Second, 9 * time.Second, true},
		{"a short prompt", 50 * time.Millisecond, 90 * time.Millisecond, false},
		{"a short prompt, below the least excess", 20 * time.Millisecond, 55 * time.Millisecond, false},
		{"a short prompt on a slow version", 50 * time.Millisecond, 130 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var counts routeEvidence
			is.New(t).Equal(counts.isSlow(observation{expected: test.expected}, test.took), test.want)
		})
	}
}

// A version whose answers mostly take two to four times as long as expected is stopped, although
// one in four answers of the old version takes even longer because its engines are busy. The times
// of the new version were recorded from such a version.
func TestSlowVersionIsStoppedThoughTheOldOneIsBusy(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	now := time.Now()
	add := func(isNew bool, upstream string, expected, took time.Duration) {
		e.observeEnd(observation{route: "r", upstream: upstream, isNew: isNew, expected: expected}, attemptResult{firstByte: took}, now)
	}
	for i := range 300 {
		took := 110 * time.Millisecond
		if i%4 == 0 {
			took = 700 * time.Millisecond
		}
		add(false, "old", 100*time.Millisecond, took)
	}
	firsts := [][2]time.Duration{{110, 340}, {44, 90}, {37, 74}, {657, 2459}, {146, 501}, {83, 222}, {51, 123}, {159, 428},
		{34, 89}, {38, 80}, {106, 374}, {35, 86}, {34, 80}, {28, 60}, {105, 801}, {33, 70}, {151, 300}, {161, 565},
		{52, 92}, {31, 670}, {399, 1200}, {374, 1300}, {41, 552}, {35, 121}}
	for i, f := range firsts {
		add(true, fmt.Sprint("new ", i%4), f[0]*time.Millisecond, f[1]*time.Millisecond)
	}
	is.True(!e.sufficesToComplete())
	is.True(e.stopReason(4) != "")
}

// About thirty good answers suffice to complete a version. A handful don't, and neither do many
// answers of which too many are bad.
func TestCompletionNeedsEvidence(t *testing.T) {
	tests := []struct {
		desc string
		seen exchange.VersionTallies
		want bool
	}{
		{"nothing", versionCounts(0, 0, 0, 0), false},
		{"a handful of good answers", versionCounts(400, 0, 8, 0), false},
		{"forty good answers", versionCounts(400, 0, 40, 0), true},
		{"some bad ones", versionCounts(400, 0, 60, 9), false},
		{"as many as with the old version", versionCounts(400, 80, 120, 20), true},
		{"slow ones", exchange.VersionTallies{Old: exchange.Tally{Answers: 400}, New: exchange.Tally{Answers: 60, Slow: 25}}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := newEvidence()
			e.remoteRoutes = map[string]exchange.VersionTallies{"r": test.seen}
			is.New(t).Equal(e.sufficesToComplete(), test.want)
		})
	}
}

// A service with few requests is completed although a request failed, if requests of that route fail with
// the old version, too. Such a roll-out never ended.
func TestFewAnswersOnAFailingRoute(t *testing.T) {
	tests := []struct {
		desc string
		seen exchange.VersionTallies
		want bool
	}{
		{"none failed", versionCounts(12, 0, 2, 0), true},
		{"one failed, as some did with the old version", versionCounts(12, 3, 2, 1), true},
		{"one failed, none with the old version", versionCounts(12, 0, 2, 1), false},
		{"most failed, few with the old version", versionCounts(40, 1, 8, 5), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			ro := newRolloutInProgress()
			sr := ro.byService["svc"]
			sr.receivedAt = sr.receivedAt.Add(-sr.order.Duration)
			sr.evidence.remoteRoutes = map[string]exchange.VersionTallies{"r": test.seen}
			is.New(t).Equal(ro.fewAnswersNoneBad(sr), test.want)
		})
	}
}

// A version that may be bad on one route must not be completed because the answers on all routes
// together suffice.
func TestSuspectedRouteDelaysCompletion(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.remoteRoutes = map[string]exchange.VersionTallies{"good": versionCounts(400, 0, 60, 0), "poor": versionCounts(100, 0, 4, 2)}
	is.True(!e.sufficesToComplete())
	is.Equal(e.stopReason(2), "") // there are too few bad answers to stop it
	e.remoteRoutes["poor"] = versionCounts(100, 0, 40, 2)
	is.True(e.sufficesToComplete())
}

func TestRemoteEvidence(t *testing.T) {
	tests := []struct {
		desc  string
		order storage.Revision
		seen  exchange.VersionTallies
		want  bool
	}{
		{"bad", 5, withBothSources(versionCounts(100, 1, 12, 6)), true},
		{"no worse than the old version", 5, withBothSources(versionCounts(100, 50, 12, 6)), false},
		{"good", 5, versionCounts(100, 1, 50, 0), false},
		{"of an earlier order", 4, withBothSources(versionCounts(100, 1, 12, 12)), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			ro := newRolloutInProgress()
			ro.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: test.order, Routes: map[string]exchange.VersionTallies{"r": test.seen}}})
			is.Equal(ro.byService["svc"].stopped, test.want)
			is.Equal(len(ro.ownEvidence()[0].Routes), 0) // doesn't include what other hosts counted
		})
	}
}

// Evidence that is received from other hosts replaces what was received before, so that no answer
// is counted twice.
func TestRemoteEvidenceIsReplaced(t *testing.T) {
	is := is.New(t)
	ro := newRolloutInProgress()
	for range 10 {
		ro.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.VersionTallies{"r": withBothSources(versionCounts(100, 0, 2, 2))}}})
	}
	is.True(!ro.byService["svc"].stopped)
}
