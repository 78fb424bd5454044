package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// newRolloutInProgress returns the roll-outs of a host with one in progress.
func newRolloutInProgress() *rollouts {
	m := newRollouts(&Settings{CanaryShare: 0.2}, fleetWithTwoNewUpstreams(), zerolog.Nop())
	m.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	return m
}

// fleetWithTwoNewUpstreams returns a fleet with two upstreams of the new version, so that bad
// answers of a single one don't stop it.
func fleetWithTwoNewUpstreams() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, version := range map[string]string{"a": "v1", "b": "v2", "c": "v2"} {
		f.Set(Upstream{ID: id, Service: "svc", Version: version}, 1)
	}
	return f
}

// choiceOf returns a choice of the upstream.
func choiceOf(id, version string) *choice {
	return &choice{upstream: Upstream{ID: id, Service: "svc", Version: version}}
}

func answers(old, bad, newAnswers, newBad int) exchange.Versions {
	return exchange.Versions{
		Old: exchange.Tally{Answers: old, Failed: bad},
		New: exchange.Tally{Answers: newAnswers, Failed: newBad},
	}
}

// withBothSources adds both upstreams of the new version as sources of bad answers.
func withBothSources(v exchange.Versions) exchange.Versions {
	v.New.AddSource("b")
	v.New.AddSource("c")
	return v
}

// Bad answers on several hosts stop the version although no host has enough by itself.
func TestEvidenceOfSeveralHostsIsCombined(t *testing.T) {
	is := is.New(t)
	r := &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
	m := newRolloutInProgress()
	for range 50 {
		m.observe(r, choiceOf("a", "v1"), attemptResult{outcome: outcomeDone}, false)
	}
	for range minBadAnswers - 1 {
		m.observe(r, choiceOf("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!m.active["svc"].stopped)
	own := answers(50, 0, minBadAnswers-1, minBadAnswers-1)
	own.New.AddSource("b")
	is.Equal(m.ownEvidence(), []exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": own}}})
	others := answers(100, 0, 1, 1)
	others.New.AddSource("c")
	m.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": others}}})
	is.True(m.active["svc"].stopped)
}

// A bad version is bad on each of its upstreams, while a single upstream can be bad with any
// version.
func TestOneBadUpstreamStopsNoVersion(t *testing.T) {
	is := is.New(t)
	r := &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
	m := newRolloutInProgress()
	for range 50 {
		m.observe(r, choiceOf("a", "v1"), attemptResult{outcome: outcomeDone}, false)
		m.observe(r, choiceOf("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!m.active["svc"].stopped)
	m.observe(r, choiceOf("c", "v2"), attemptResult{outcome: outcomeFailed}, false)
	is.True(m.active["svc"].stopped)
}

// A crash cuts off all requests that an upstream runs, and counts as one event.
func TestCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	now := time.Now()
	o := observation{route: "r", upstream: "b", isNew: true}
	for range 20 {
		e.observeEnd(o, attemptResult{outcome: outcomeUnknown}, now)
	}
	is.Equal(e.ownCounts()["r"].New.Failed, 1)
	e.observeEnd(o, attemptResult{outcome: outcomeBroken}, now.Add(2*crashSpan))
	is.Equal(e.ownCounts()["r"].New.Failed, 2)
}

// The head of a stream is counted once, on arrival: a later failure belongs to the same answer.
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

// Requests that were given up after a timeout count as slow, not as failed: under load they are
// frequent on every version and would hide a version that fails.
func TestTimeoutsCountAsSlow(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.observeEnd(observation{route: "r", upstream: "a"}, attemptResult{outcome: outcomeSilent}, time.Now())
	old := e.ownCounts()["r"].Old
	is.Equal(old.Failed, 0)
	is.Equal(old.Slow, 1)
}

// An engine's answer is slow relative to the expected time of its prompt, not to other prompts.
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
			is.New(t).Equal(counts.slow(observation{expected: test.expected}, test.took), test.want)
		})
	}
}

// A version that takes two to four times as long as expected on most answers is stopped, although
// one in four answers of the old version takes as long, too. The figures were recorded from such a
// version.
func TestSlowVersionBesideABusyOne(t *testing.T) {
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
	is.True(!e.sufficient())
	is.True(e.stopReason(4) != "")
}

// A sound version is completed on some thirty answers, not on a handful, and not on many of which
// too many are bad.
func TestCompletionNeedsEvidence(t *testing.T) {
	tests := []struct {
		desc string
		seen exchange.Versions
		want bool
	}{
		{"nothing", answers(0, 0, 0, 0), false},
		{"a handful of good answers", answers(400, 0, 8, 0), false},
		{"forty good answers", answers(400, 0, 40, 0), true},
		{"some bad ones", answers(400, 0, 60, 9), false},
		{"as many as with the old version", answers(400, 80, 120, 20), true},
		{"slow ones", exchange.Versions{Old: exchange.Tally{Answers: 400}, New: exchange.Tally{Answers: 60, Slow: 25}}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := newEvidence()
			e.remote = map[string]exchange.Versions{"r": test.seen}
			is.New(t).Equal(e.sufficient(), test.want)
		})
	}
}

// A version that is bad on one route isn't completed because of the other routes' answers.
func TestSuspectedRouteDelaysCompletion(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.remote = map[string]exchange.Versions{"good": answers(400, 0, 60, 0), "poor": answers(100, 0, 4, 2)}
	is.True(!e.sufficient())
	is.Equal(e.stopReason(2), "") // too few to stop it
	e.remote["poor"] = answers(100, 0, 40, 2)
	is.True(e.sufficient())
}

func TestRemoteEvidence(t *testing.T) {
	tests := []struct {
		desc  string
		order storage.Revision
		seen  exchange.Versions
		want  bool
	}{
		{"bad", 5, withBothSources(answers(100, 1, 12, 6)), true},
		{"no worse than the old version", 5, withBothSources(answers(100, 50, 12, 6)), false},
		{"good", 5, answers(100, 1, 50, 0), false},
		{"of an earlier order", 4, withBothSources(answers(100, 1, 12, 12)), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := newRolloutInProgress()
			m.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: test.order, Routes: map[string]exchange.Versions{"r": test.seen}}})
			is.Equal(m.active["svc"].stopped, test.want)
			is.Equal(len(m.ownEvidence()[0].Routes), 0) // the other hosts' counts aren't forwarded
		})
	}
}

// Each report replaces the previous one, so that counts aren't added twice.
func TestRemoteEvidenceIsReplaced(t *testing.T) {
	is := is.New(t)
	m := newRolloutInProgress()
	for range 10 {
		m.setRemoteEvidence([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": withBothSources(answers(100, 0, 2, 2))}}})
	}
	is.True(!m.active["svc"].stopped)
}
