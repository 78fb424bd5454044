package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/rollout"
)

// budget is the exposure of the version that rolls in, in answers.
const budget = 200

// rollIn puts half of the new sessions on v2 within the budget.
func rollIn(round int) func(*manifest.Document) {
	return func(doc *manifest.Document) {
		v := doc.Models[0].Versions
		v[0].Share = 50
		v[1].Share = 50
		v[1].Exposure = &manifest.Exposure{Round: round, Answers: budget, MaxErrorRate: 0.05}
	}
}

// TestBadVersionIsStoppedByAllHosts has a version fail every request in the
// middle of its roll-out. The hosts stop it by themselves within its budget,
// callers get the other version, the stop outlives all hosts, and operators
// resume with a new round.
func TestBadVersionIsStoppedByAllHosts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	doc := edit(t, edit(t, devenv.Manifest(), rollIn(1)), func(d *manifest.Document) { d.Parent = "" })
	s.submit(doc)
	s.versionFault(1)

	eventually(t, "all hosts have stopped the version", func() bool {
		for i := range 12 {
			s.ask(i)
		}
		return s.stoppedOn(s.hosts...)
	})
	exposed := s.runsOf("small@v2")
	is.True(exposed <= budget) // never more than the budget
	is.True(exposed > 0)
	for i := range 60 {
		is.Equal(s.ask(i).get("Quetzalweir-Version"), "v1") // and callers are served
	}
	is.Equal(s.runsOf("small@v2"), exposed)
	s.replaceAll()
	is.True(s.stoppedOn(s.hosts...)) // the stop outlives the hosts that made it
	is.Equal(s.ask(0).get("Quetzalweir-Version"), "v1")

	s.versionFault(0)
	s.submitTo(s.hosts[0], edit(t, doc, rollIn(2)))
	eventually(t, "a new round serves the version again", func() bool {
		return s.ask(s.runsOf("small@v2")).get("Quetzalweir-Version") == "v2"
	})
}

// replaceAll kills all hosts at once and starts others.
func (s *system) replaceAll() {
	s.t.Helper()
	for _, h := range s.hosts {
		h.kill()
	}
	s.hosts = nil
	for i := range 3 {
		s.addHost(fmt.Sprintf("entry-second-%d", i+1), zone(i))
	}
	s.waitReady()
}

// ask sends a question to one of the hosts.
func (s *system) ask(i int) answer {
	s.t.Helper()
	a, err := chat("small", fmt.Sprintf("question %d tokens=1", i), false).send(s.hosts[i%len(s.hosts)])
	if err != nil {
		s.t.Fatal(err)
	}
	if a.status != http.StatusOK && a.status != http.StatusBadGateway {
		s.t.Fatalf("status %d: %s", a.status, a.body)
	}
	return a
}

// versionFault sets the error rate of small@v2 on all engines.
func (s *system) versionFault(rate float64) {
	s.t.Helper()
	for _, e := range s.engines {
		s.fault(e.address, engine.Faults{Versions: map[string]engine.VersionFault{"small@v2": {ErrorRate: rate}}})
	}
}

// stoppedOn says whether the hosts have stopped small@v2.
func (s *system) stoppedOn(hosts ...*entryHost) bool {
	for _, h := range hosts {
		var stops []rollout.Stop
		if s.get(h, entry.PathStops, &stops) != nil || len(stops) == 0 {
			return false
		}
	}
	return true
}
