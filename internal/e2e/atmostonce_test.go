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
// are under way.
type faultStep struct {
	desc   string
	before func(s *system)
	during func(s *system, b *bidder)
}

// underWay is the time after which bids of a step are under way in a service
// or table that is slowed down by several times as much.
const underWay = 250 * time.Millisecond

func atMostOnceSteps() []faultStep {
	slowService := func(s *system) { s.serviceFaults(service.Faults{SlowMs: 600}) }
	steps := []faultStep{
		{desc: "healthy"},
		{desc: "frozen with bids in the service", before: slowService,
			during: func(s *system, _ *bidder) { s.hosts[3].freeze() }},
		{desc: "killed with bids in the service", before: slowService, during: replaceHost(0)},
		{desc: "killed between claim and send",
			before: func(s *system) { s.tableFaults(platformd.Faults{DelayMS: to[int64](800)}) }, during: replaceHost(1)},
		{desc: "answers lost",
			before: func(s *system) { s.tableFaults(platformd.Faults{LoseNext: to(8)}) }},
		{desc: "commits dropped",
			before: func(s *system) { s.tableFaults(platformd.Faults{DropNext: to(8)}) }},
		{desc: "commits that take effect late",
			before: func(s *system) { s.tableFaults(platformd.Faults{DelayNext: to(8), DelayNextMS: 700}) }},
		{desc: "table down with bids in the service",
			before: slowService,
			during: func(s *system, _ *bidder) {
				s.tableFaults(platformd.Faults{Down: to(true)})
				time.Sleep(2 * underWay)
			}},
		{desc: "killed again, answers lost", before: func(s *system) {
			slowService(s)
			s.tableFaults(platformd.Faults{LoseNext: to(12)})
		}, during: replaceHost(0)},
	}
	for _, at := range cut.Boundaries() {
		steps = append(steps, faultStep{desc: "cut " + string(at), before: func(s *system) {
			s.serviceFaults(service.Faults{Cut: cut.Plan{At: at, Times: 3}})
		}, during: func(*system, *bidder) { time.Sleep(underWay) }})
	}
	return steps
}

// replaceHost replaces a host with the bids that it has.
func replaceHost(i int) func(*system, *bidder) {
	return func(s *system, b *bidder) {
		old := s.hosts[i]
		fresh := s.replace(i)
		b.hosts.remove(old)
		b.hosts.add(fresh)
	}
}

// bidsPerStep is the number of keys of a step.
const bidsPerStep = 12

// TestBidsRunAtMostOnce sends bids through hosts that are killed, frozen and
// replaced, with a table that is down, slow and loses answers, to services
// that cut connections.
func TestBidsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 4)
	s.addService("lanes-2", "zone-b")
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	b := newBidder(s)
	for _, step := range atMostOnceSteps() {
		if step.before != nil {
			step.before(s)
		}
		b.start(step.desc, bidsPerStep)
		time.Sleep(underWay)
		if step.during != nil {
			step.during(s, b)
		}
		s.healTable()
		s.serviceFaults(service.Faults{})
	}
	b.wait.Wait()
	s.hosts[3].thaw()
	s.waitReady()
	b.repeatAll()

	history := b.log.all()
	if found := checkAtMostOnce(history, s.serviceRuns(), s.serviceArrivals(), b.wantBid); len(found) > 0 {
		t.Error(lines(found))
	}
	t.Log(countCodes(history))
}

// repeatAll sends each bid again through each host until the host gives a
// definite answer; one that has just woken needs a moment to know the others.
func (b *bidder) repeatAll() {
	keys := map[string]bool{}
	for _, a := range b.log.all() {
		keys[a.key] = true
	}
	for _, h := range b.hosts.list() {
		alone := &bidder{s: b.s, hosts: &fleet{hosts: []*entryHost{h}}, log: b.log}
		b.wait.Go(func() {
			for key := range keys {
				alone.one(key, 0)
			}
		})
	}
	b.wait.Wait()
}

// countCodes counts the answers of a history by their result codes.
func countCodes(history []attempt) map[string]int {
	counts := map[string]int{}
	for _, a := range history {
		if a.whole {
			counts[a.code.String()]++
		} else {
			counts["no answer"]++
		}
	}
	return counts
}

// The checker finds what it is for.
func TestCheckAtMostOnceRejects(t *testing.T) {
	const key, id = "k", "r1"
	good := attempt{key: key, whole: true, requestID: id, status: 200, runState: "ran", body: "whole"}
	refused := attempt{key: key, whole: true, requestID: id, status: 503, code: resultcode.StoreUnavailable, runState: "not-run"}
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
				map[string]service.Arrival{id: test.arrivals}, func(string) string { return "whole" })
			if len(found) != test.want {
				t.Errorf("found %q", found)
			}
		})
	}
}
