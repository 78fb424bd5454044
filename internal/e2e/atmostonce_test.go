package e2e

import (
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// faultStep is a fault that begins shortly before bids are sent, or while they
// are in flight.
type faultStep struct {
	desc   string
	before func(s *system)
	during func(s *system, b *bidder)
}

// inFlightDelay is the time from sending the bids of a step to the fault that
// must occur while they are in flight. The service or table is slowed down by
// several times as much.
const inFlightDelay = 250 * time.Millisecond

func atMostOnceSteps() []faultStep {
	slowService := func(s *system) { s.setServiceFaults(service.Faults{SlowMs: 600}) }
	steps := []faultStep{
		{desc: "healthy"},
		{desc: "frozen with bids in the service", before: slowService,
			during: func(s *system, _ *bidder) { s.hosts[3].freeze() }},
		{desc: "killed with bids in the service", before: slowService, during: killAndReplace(0)},
		{desc: "killed between claim and send",
			before: func(s *system) { s.addPlatformFaults(platformd.Faults{DelayMS: pointer[int64](800)}) }, during: killAndReplace(1)},
		{desc: "answers lost",
			before: func(s *system) { s.addPlatformFaults(platformd.Faults{LoseNext: pointer(8)}) }},
		{desc: "commits dropped",
			before: func(s *system) { s.addPlatformFaults(platformd.Faults{DropNext: pointer(8)}) }},
		{desc: "commits that take effect late",
			before: func(s *system) { s.addPlatformFaults(platformd.Faults{DelayNext: pointer(8), DelayNextMS: 700}) }},
		{desc: "table down with bids in the service",
			before: slowService,
			during: func(s *system, _ *bidder) {
				s.addPlatformFaults(platformd.Faults{Down: pointer(true)})
				time.Sleep(2 * inFlightDelay)
			}},
		{desc: "killed again, answers lost", before: func(s *system) {
			slowService(s)
			s.addPlatformFaults(platformd.Faults{LoseNext: pointer(12)})
		}, during: killAndReplace(0)},
	}
	for _, at := range cut.Boundaries() {
		steps = append(steps, faultStep{desc: "cut " + string(at), before: func(s *system) {
			s.setServiceFaults(service.Faults{Cut: cut.Plan{At: at, Times: 3}})
		}, during: func(*system, *bidder) { time.Sleep(inFlightDelay) }})
	}
	return steps
}

// killAndReplace kills a host while it has bids in flight, and starts another host in
// its place.
func killAndReplace(i int) func(*system, *bidder) {
	return func(s *system, b *bidder) {
		old := s.hosts[i]
		fresh := s.replaceHost(i)
		b.hosts.remove(old)
		b.hosts.add(fresh)
	}
}

// bidsPerStep is the number of request keys that a step uses.
const bidsPerStep = 12

// TestBidsRunAtMostOnce checks that no bid runs twice while hosts are killed,
// frozen and replaced, the table is down, slow or loses responses, and services
// cut connections.
func TestBidsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 4)
	s.addServiceInstance("lanes-2", "zone-b")
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	b := newBidder(s)
	for _, step := range atMostOnceSteps() {
		if step.before != nil {
			step.before(s)
		}
		b.start(step.desc, bidsPerStep)
		time.Sleep(inFlightDelay)
		if step.during != nil {
			step.during(s, b)
		}
		s.clearPlatformFaults()
		s.setServiceFaults(service.Faults{})
	}
	b.wait.Wait()
	s.hosts[3].thaw()
	s.waitReady()
	b.repeatOnEachHost()

	history := b.log.all()
	if found := checkAtMostOnce(history, s.serviceRuns(), s.serviceArrivals(), b.expectedAnswer); len(found) > 0 {
		t.Error(formatFindings(found))
	}
	t.Log(countCodes(history))
}

// repeatOnEachHost repeats each bid on each host until the host returns a definite
// answer. A host that was frozen first needs to reach the other hosts again.
func (b *bidder) repeatOnEachHost() {
	keys := map[string]bool{}
	for _, a := range b.log.all() {
		keys[a.key] = true
	}
	for _, h := range b.hosts.list() {
		single := &bidder{s: b.s, hosts: &fleet{hosts: []*entryHost{h}}, log: b.log}
		b.wait.Go(func() {
			for key := range keys {
				single.sendUntilDefinite(key, 0)
			}
		})
	}
	b.wait.Wait()
}

// countCodes counts the attempts of a history by the result code of the answer.
func countCodes(history []attempt) map[string]int {
	counts := map[string]int{}
	for _, a := range history {
		if a.complete {
			counts[a.code.String()]++
		} else {
			counts["no answer"]++
		}
	}
	return counts
}

// TestCheckAtMostOnceRejects checks that checkAtMostOnce reports each kind of
// violation.
func TestCheckAtMostOnceRejects(t *testing.T) {
	const key, requestID = "k", "r1"
	good := attempt{key: key, complete: true, requestID: requestID, status: 200, runState: "ran", body: "whole"}
	refused := attempt{key: key, complete: true, requestID: requestID, status: 503, code: resultcode.StoreUnavailable, runState: "not-run"}
	tests := []struct {
		desc     string
		history  attempt
		change   func(*attempt)
		runs     int
		arrivals service.Arrival
		want     int
	}{
		{desc: "good answer", history: good, runs: 1},
		{desc: "good refusal", history: refused},
		{desc: "two runs", history: good, runs: 2, want: 1},
		{desc: "part of an answer", history: good, change: func(a *attempt) { a.body = "who" }, runs: 1, want: 1},
		{desc: "answer without a run", history: good, want: 1},
		{desc: "understated answer", history: good, change: func(a *attempt) { a.runState = "may-have-run" }, runs: 1, want: 1},
		{desc: "refusal after a run", history: refused, change: func(a *attempt) { a.runsBefore = 1 }, runs: 1, want: 1},
		{desc: "refusal of what arrived", history: refused, arrivals: service.Arrival{Heads: 1}, want: 1},
		{desc: "refusal without a run state", history: refused, change: func(a *attempt) { a.runState = "" }, want: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			a := test.history
			if test.change != nil {
				test.change(&a)
			}
			found := checkAtMostOnce([]attempt{a}, map[string]int{key: test.runs},
				map[string]service.Arrival{requestID: test.arrivals}, func(string) string { return "whole" })
			if len(found) != test.want {
				t.Errorf("found %q", found)
			}
		})
	}
}
