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

// evidentRollouts is a host with a roll-out under way.
func evidentRollouts() *rollouts {
	m := newRollouts(&Settings{CanaryShare: 0.2}, twoUpstreams(), zerolog.Nop())
	m.order(Order{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	return m
}

// twoUpstreams is a fleet with two upstreams of the new version, so that one alone can't
// speak for it.
func twoUpstreams() *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for id, version := range map[string]string{"a": "v1", "b": "v2", "c": "v2"} {
		f.Set(Upstream{ID: id, Service: "svc", Version: version}, 1)
	}
	return f
}

// on is a choice of an upstream.
func on(id, version string) *choice {
	return &choice{upstream: Upstream{ID: id, Service: "svc", Version: version}}
}

func answers(old, bad, fresh, freshBad int) exchange.Versions {
	return exchange.Versions{
		Old: exchange.Tally{Answers: old, Failed: bad},
		New: exchange.Tally{Answers: fresh, Failed: freshBad},
	}
}

// everywhere names both upstreams of the new version as sources of bad answers.
func everywhere(v exchange.Versions) exchange.Versions {
	v.New.Blame("b")
	v.New.Blame("c")
	return v
}

// Bad answers that no host has enough of by itself stop the version together.
func TestHostsJudgeTogether(t *testing.T) {
	is := is.New(t)
	r := &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
	m := evidentRollouts()
	for range 50 {
		m.observe(r, on("a", "v1"), attemptResult{outcome: outcomeDone}, false)
	}
	for range minBad - 1 {
		m.observe(r, on("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!m.active["svc"].stopped)
	own := answers(50, 0, minBad-1, minBad-1)
	own.New.Blame("b")
	is.Equal(m.seen(), []exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": own}}})
	others := answers(100, 0, 1, 1)
	others.New.Blame("c")
	m.takeOthers([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": others}}})
	is.True(m.active["svc"].stopped)
}

// A version is bad wherever it runs; one upstream of several can be bad with any version.
func TestOneBadUpstreamStopsNoVersion(t *testing.T) {
	is := is.New(t)
	r := &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
	m := evidentRollouts()
	for range 50 {
		m.observe(r, on("a", "v1"), attemptResult{outcome: outcomeDone}, false)
		m.observe(r, on("b", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
	is.True(!m.active["svc"].stopped)
	m.observe(r, on("c", "v2"), attemptResult{outcome: outcomeFailed}, false)
	is.True(m.active["svc"].stopped)
}

// A crash breaks off all that an upstream runs, which is one event.
func TestACrashCountsOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	now := time.Now()
	o := observation{route: "r", upstream: "b", isNew: true}
	for range 20 {
		e.end(o, attemptResult{outcome: outcomeUnknown}, now)
	}
	is.Equal(e.own()["r"].New.Failed, 1)
	e.end(o, attemptResult{outcome: outcomeBroken}, now.Add(2*crashSpan))
	is.Equal(e.own()["r"].New.Failed, 2)
}

// The head of a stream counts when it comes and once: what breaks off later is the same
// answer.
func TestAStreamCountsByItsHead(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	o := observation{route: "r", upstream: "b", isNew: true}
	e.head(o, time.Millisecond)
	is.Equal(e.own()["r"].New.Answers, 1)
	o.counted = true
	e.end(o, attemptResult{outcome: outcomeBroken}, time.Now())
	is.Equal(e.own()["r"].New.Answers, 1)
	is.Equal(e.own()["r"].New.Failed, 1)
	e.end(o, attemptResult{outcome: outcomeDone}, time.Now())
	is.Equal(e.own()["r"].New.Answers, 1)
}

// Requests that were given up because nothing came are slow, not failed: under load they
// are many on every version, and would hide a version that fails.
func TestSilenceIsSlowness(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.end(observation{route: "r", upstream: "a"}, attemptResult{outcome: outcomeSilent}, time.Now())
	old := e.own()["r"].Old
	is.Equal(old.Failed, 0)
	is.Equal(old.Slow, 1)
}

// An engine's answer is slow by what was expected of its prompt, not by other prompts.
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
		{"a short prompt, too short to tell", 20 * time.Millisecond, 55 * time.Millisecond, false},
		{"a short prompt on a slow version", 50 * time.Millisecond, 130 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var counts tallies
			is.New(t).Equal(counts.slow(observation{expected: test.expected}, test.took), test.want)
		})
	}
}

// A version that takes two to four times as long as expected on most answers is stopped,
// though one in four of the old version's takes as long, too; the test's figures are of the
// answers that such a version gave.
func TestSlowVersionBesideABusyOne(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	now := time.Now()
	add := func(isNew bool, upstream string, expected, took time.Duration) {
		e.end(observation{route: "r", upstream: upstream, isNew: isNew, expected: expected}, attemptResult{firstByte: took}, now)
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
	is.True(!e.cleared())
	is.True(e.verdict(4) != "")
}

// A sound version is completed on some thirty answers, not on a handful, and not on many
// of which too many are bad.
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
			e.others = map[string]exchange.Versions{"r": test.seen}
			is.New(t).Equal(e.cleared(), test.want)
		})
	}
}

// A version that is bad on one route isn't completed on the others' answers.
func TestSuspectedRouteDelaysCompletion(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.others = map[string]exchange.Versions{"good": answers(400, 0, 60, 0), "poor": answers(100, 0, 4, 2)}
	is.True(!e.cleared())
	is.Equal(e.verdict(2), "") // too few to stop it
	e.others["poor"] = answers(100, 0, 40, 2)
	is.True(e.cleared())
}

func TestOthersEvidence(t *testing.T) {
	tests := []struct {
		desc  string
		order storage.Revision
		seen  exchange.Versions
		want  bool
	}{
		{"bad", 5, everywhere(answers(100, 1, 12, 6)), true},
		{"no worse than the old version", 5, everywhere(answers(100, 50, 12, 6)), false},
		{"good", 5, answers(100, 1, 50, 0), false},
		{"of an earlier order", 4, everywhere(answers(100, 1, 12, 12)), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := evidentRollouts()
			m.takeOthers([]exchange.Evidence{{Service: "svc", Order: test.order, Routes: map[string]exchange.Versions{"r": test.seen}}})
			is.Equal(m.active["svc"].stopped, test.want)
			is.Equal(len(m.seen()[0].Routes), 0) // others' counts aren't told on
		})
	}
}

// Each report replaces the last one: counts aren't added twice.
func TestOthersEvidenceReplaces(t *testing.T) {
	is := is.New(t)
	m := evidentRollouts()
	for range 10 {
		m.takeOthers([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": everywhere(answers(100, 0, 2, 2))}}})
	}
	is.True(!m.active["svc"].stopped)
}
