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

// exposureBudget is the number of answers that the version in roll-out may give.
const exposureBudget = 200

// rollIn assigns half of the new sessions to v2, within the exposure budget.
func rollIn(round int) func(*manifest.Document) {
	return func(doc *manifest.Document) {
		v := doc.Models[0].Versions
		v[0].Share = 50
		v[1].Share = 50
		v[1].Exposure = &manifest.Exposure{Round: round, Answers: exposureBudget, MaxErrorRate: 0.05}
	}
}

// TestBadVersionIsStoppedByAllHosts makes a version fail every request during its
// roll-out. The hosts must stop it by themselves within its exposure budget and
// serve callers with the other version. The stop must persist when all hosts are
// replaced, until operators start a new round.
func TestBadVersionIsStoppedByAllHosts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	doc := edit(t, edit(t, devenv.Manifest(), rollIn(1)), func(d *manifest.Document) { d.Parent = "" })
	s.submit(doc)
	s.setErrorRate(1)

	eventually(t, "all hosts have stopped the version", func() bool {
		for i := range 12 {
			s.askQuestion(i)
		}
		return s.versionStoppedOn(s.hosts...)
	})
	exposed := s.runsOf("small@v2")
	is.True(exposed <= exposureBudget) // never more than the budget
	is.True(exposed > 0)
	for i := range 60 {
		is.Equal(s.askQuestion(i).get("Quetzalweir-Version"), "v1") // callers are served by the other version
	}
	is.Equal(s.runsOf("small@v2"), exposed)
	s.replaceAll()
	is.True(s.versionStoppedOn(s.hosts...)) // the stop persists without the hosts that decided it
	is.Equal(s.askQuestion(0).get("Quetzalweir-Version"), "v1")

	s.setErrorRate(0)
	s.submitTo(s.hosts[0], edit(t, doc, rollIn(2)))
	eventually(t, "a new round serves the version again", func() bool {
		return s.askQuestion(s.runsOf("small@v2")).get("Quetzalweir-Version") == "v2"
	})
}

// replaceAll kills all hosts and then starts three others.
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

// askQuestion sends the i-th chat, to one of the hosts in turn.
func (s *system) askQuestion(i int) answer {
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

// setErrorRate sets the error rate of small@v2 on all engines.
func (s *system) setErrorRate(rate float64) {
	s.t.Helper()
	for _, e := range s.engines {
		s.setFaults(e.address, engine.Faults{Versions: map[string]engine.VersionFault{"small@v2": {ErrorRate: rate}}})
	}
}

// versionStoppedOn reports whether all the given hosts have stopped small@v2.
func (s *system) versionStoppedOn(hosts ...*entryHost) bool {
	for _, h := range hosts {
		var stops []rollout.Stop
		if s.operatorGet(h, entry.PathStops, &stops) != nil || len(stops) == 0 {
			return false
		}
	}
	return true
}
