package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// edit returns the manifest that follows data, changed.
func edit(t *testing.T, data []byte, change func(*manifest.Document)) []byte {
	t.Helper()
	doc, err := manifest.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	doc.Parent = manifest.Digest(data)
	change(doc)
	next := manifest.Encode(doc)
	if _, err := manifest.Parse(next); err != nil {
		t.Fatal(err)
	}
	return next
}

// withdrawV1 leaves v2 as the only version of the small model.
func withdrawV1(doc *manifest.Document) {
	v := doc.Models[0].Versions
	v[0].State, v[0].Share = manifest.Withdrawn, 0
	v[1].State, v[1].Share, v[1].Exposure = manifest.Serving, 100, nil
}

// shift moves all new sessions to v2 without ending those on v1.
func shift(doc *manifest.Document) {
	v := doc.Models[0].Versions
	v[0].State, v[0].Share = manifest.RollingOut, 0
	v[1].State, v[1].Share, v[1].Exposure = manifest.Serving, 100, nil
}

// inForceBound is how long after its acceptance a manifest may go unheeded by a
// host that still takes work: the freshness bound of 5 s, and a second for the
// request that was being decided.
const inForceBound = 6 * time.Second

// runsOf counts the requests of a version that began on any engine.
func (s *system) runsOf(versioned string) int {
	s.t.Helper()
	n := 0
	for _, e := range s.engines {
		var arrivals engine.Arrivals
		s.standinGet(e.address, "/arrivals", &arrivals)
		for _, a := range arrivals.Arrivals {
			if a.Model == versioned {
				n += a.Began
			}
		}
	}
	return n
}

// TestWithdrawnVersionUnderFaults withdraws a version while one host is frozen
// and another is cut from the platform and from its peers. Past the bound no
// engine gets work of the version from any host, thawed or cut off.
func TestWithdrawnVersionUnderFaults(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 4)
	first := devenv.Manifest()
	s.submit(first)
	frozen, cutOff := s.hosts[1], s.hosts[2]

	cutOff.toPlatform.cutAll()
	s.cutPeers(cutOff)
	frozen.signal(syscall.SIGSTOP)
	s.submitTo(s.hosts[0], edit(t, first, withdrawV1))
	time.Sleep(inForceBound)
	before := s.runsOf("small@v1")
	frozen.signal(syscall.SIGCONT)

	var wait sync.WaitGroup
	for _, h := range s.hosts {
		wait.Go(func() {
			for i := range 40 {
				a, err := chat("small", fmt.Sprintf("%s %d tokens=1", h.id, i), false).send(h)
				if err != nil {
					t.Errorf("%s: %v", h.id, err)
					return
				}
				if a.status == http.StatusOK && a.get("Quetzalweir-Version") != "v2" {
					t.Errorf("%s answered with version %s", h.id, a.get("Quetzalweir-Version"))
				}
				if a.status != http.StatusOK && a.get("Quetzalweir-Run-State") != "not-run" {
					t.Errorf("%s refused with run state %s: %s", h.id, a.get("Quetzalweir-Run-State"), a.body)
				}
			}
		})
	}
	wait.Wait()
	is.Equal(s.runsOf("small@v1"), before) // no work of the withdrawn version
	a, err := chat("small", "cut off", false).send(cutOff)
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Result-Code"), "5004") // says that its manifest is stale

	cutOff.toPlatform.heal()
	s.healPeers()
	s.waitReady()
	a, err = chat("small", "healed", false).send(cutOff)
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Version"), "v2")
}

// TestSessionsKeepTheirVersion opens sessions, shifts all new ones to another
// version, kills a host, and checks that every session stays where it was until
// its version is withdrawn, and is told when it is.
func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	first := devenv.Manifest()
	s.submit(first)
	const sessions = 30
	bound := make([]string, sessions)
	token := make([]string, sessions)
	for i := range sessions {
		bound[i], token[i] = s.firstRequests(i)
	}
	is.True(strings.Contains(strings.Join(bound, " "), "v1")) // some are on the version to be shifted

	second := edit(t, first, shift)
	s.submit(second)
	eventually(t, "the shift is in force", func() bool { return s.epochs(2) })
	s.hosts[0].kill()
	rest := s.hosts[1:]
	for i := range sessions {
		for _, arg := range []string{fmt.Sprintf("session-%d", i), token[i]} {
			a, err := chat("small", "again tokens=1", false).with("Quetzalweir-Session", arg).send(rest[i%2])
			is.NoErr(err)
			is.Equal(a.get("Quetzalweir-Version"), bound[i])
			is.Equal(a.get("Quetzalweir-Session-Moved"), "")
		}
	}

	s.hosts = rest
	s.submit(edit(t, second, withdrawV1))
	eventually(t, "the withdrawal is in force", func() bool { return s.epochs(3) })
	for i := range sessions {
		a, err := chat("small", "after tokens=1", false).with("Quetzalweir-Session", token[i]).send(rest[i%2])
		is.NoErr(err)
		is.Equal(a.get("Quetzalweir-Version"), "v2")
		is.Equal(a.get("Quetzalweir-Session-Moved") != "", bound[i] == "v1") // told, if it had to move
	}
}

// firstRequests sends concurrent first requests of a bare session id to all
// hosts; they must agree on a version.
func (s *system) firstRequests(i int) (version, token string) {
	s.t.Helper()
	answers := make([]answer, len(s.hosts))
	var wait sync.WaitGroup
	for j, h := range s.hosts {
		wait.Go(func() {
			a, err := chat("small", "first tokens=1", false).with("Quetzalweir-Session", fmt.Sprintf("session-%d", i)).send(h)
			if err != nil || a.status != http.StatusOK {
				s.t.Errorf("session %d on %s: %v %s", i, h.id, err, a.body)
			}
			answers[j] = a
		})
	}
	wait.Wait()
	for _, a := range answers {
		if a.get("Quetzalweir-Version") != answers[0].get("Quetzalweir-Version") {
			s.t.Errorf("session %d has versions %s and %s", i, a.get("Quetzalweir-Version"), answers[0].get("Quetzalweir-Version"))
		}
	}
	return answers[0].get("Quetzalweir-Version"), answers[0].get("Quetzalweir-Session")
}

// epochs says whether all hosts have at least this epoch in force.
func (s *system) epochs(epoch uint64) bool {
	for _, h := range s.hosts {
		var view struct{ Epoch uint64 }
		if s.get(h, "/v1/hosts", &view) != nil || view.Epoch < epoch {
			return false
		}
	}
	return true
}

// leavingBound is how long after one host learnt that an upstream leaves the
// others may still send to it.
const leavingBound = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork tells one host that an engine leaves, while
// the platform's list goes on showing it as live and two other hosts are cut
// from each other.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	s.submit(devenv.Manifest())
	a, b := s.hosts[1], s.hosts[2]
	a.fromPeers.cutFrom(func(ip string) bool { return ip == b.ip })
	b.fromPeers.cutFrom(func(ip string) bool { return ip == a.ip })

	req, err := http.NewRequest(http.MethodPost, "http://"+s.hosts[0].operators+"/v1/upstreams/engine-2/leaving", nil)
	is.NoErr(err)
	is.NoErr(s.operator(req, nil))
	time.Sleep(leavingBound)
	before := s.arrivals(s.engines[1])
	for i := range 60 {
		answer, err := chat("large", fmt.Sprintf("%d tokens=1", i), false).send(s.hosts[i%3])
		is.NoErr(err)
		is.Equal(answer.status, http.StatusOK)
		is.True(answer.get("Quetzalweir-Upstream") != "engine-2")
	}
	is.Equal(s.arrivals(s.engines[1]), before)
}

func (s *system) arrivals(e standin) int {
	s.t.Helper()
	var arrivals engine.Arrivals
	s.standinGet(e.address, "/arrivals", &arrivals)
	return len(arrivals.Arrivals)
}

// TestServiceThatLeavesIsReported has a service say in its load report that it
// leaves; calls are refused at once, truthfully and with when to come back.
func TestServiceThatLeavesIsReported(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	s.submit(devenv.Manifest())
	s.fault(s.services[0].address, service.Faults{Leaving: true})
	tries := 0
	eventually(t, "both hosts know", func() bool {
		for _, h := range s.hosts {
			tries++
			a, err := bid(fmt.Sprintf("early-%d", tries), "{}").send(h)
			if err != nil || a.get("Quetzalweir-Result-Code") != "3004" {
				return false
			}
		}
		return true
	})
	a, err := bid("late", "{}").send(s.hosts[0])
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Run-State"), "not-run")
	is.True(a.get("Retry-After") != "")
	var refusal struct{ Error struct{ Code int } }
	is.NoErr(json.Unmarshal([]byte(a.body), &refusal))
	is.Equal(refusal.Error.Code, 3004)
	is.Equal(s.serviceRuns()["late"], 0)
}
