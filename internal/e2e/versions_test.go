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

// edit returns a changed manifest whose parent is data.
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

// withdrawV1 withdraws v1 of the small model, so that v2 is its only version.
func withdrawV1(doc *manifest.Document) {
	v := doc.Models[0].Versions
	v[0].State, v[0].Share = manifest.Withdrawn, 0
	v[1].State, v[1].Share, v[1].Exposure = manifest.Serving, 100, nil
}

// shiftToV2 assigns all new sessions to v2; existing ones remain on v1.
func shiftToV2(doc *manifest.Document) {
	v := doc.Models[0].Versions
	v[0].State, v[0].Share = manifest.RollingOut, 0
	v[1].State, v[1].Share, v[1].Exposure = manifest.Serving, 100, nil
}

// staleManifestBound is how long after the acceptance of a manifest a host may still
// serve requests by the previous manifest: the freshness bound of 5 s, and a second for
// a request that was being routed at the end of that bound.
const staleManifestBound = 6 * time.Second

// runsOf returns the number of requests that began to run on a version, on all
// engines.
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

// TestWithdrawnVersionUnderFaults withdraws a version while one host is frozen and
// another is cut from the platform and from its peers. After staleManifestBound no host,
// not even the thawed host or the one that was cut off, may send requests for the
// version.
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
	time.Sleep(staleManifestBound)
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
	is.Equal(s.runsOf("small@v1"), before) // no request ran on the withdrawn version
	a, err := chat("small", "cut off", false).send(cutOff)
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Result-Code"), "5004") // the code for a stale manifest

	cutOff.toPlatform.heal()
	s.healPeers()
	s.waitReady()
	a, err = chat("small", "healed", false).send(cutOff)
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Version"), "v2")
}

// TestSessionsKeepTheirVersion opens sessions, assigns all new ones to another version
// and kills a host. Every session must keep its version until the version is withdrawn,
// and the answer must report when a session was moved.
func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	first := devenv.Manifest()
	s.submit(first)
	const sessions = 30
	versions := make([]string, sessions)
	tokens := make([]string, sessions)
	for i := range sessions {
		versions[i], tokens[i] = s.openSession(i)
	}
	is.True(strings.Contains(strings.Join(versions, " "), "v1")) // some sessions are on v1

	second := edit(t, first, shiftToV2)
	s.submit(second)
	eventually(t, "the shift is in force", func() bool { return s.epochInForce(2) })
	s.hosts[0].kill()
	remaining := s.hosts[1:]
	for i := range sessions {
		for _, arg := range []string{fmt.Sprintf("session-%d", i), tokens[i]} {
			a, err := chat("small", "again tokens=1", false).with("Quetzalweir-Session", arg).send(remaining[i%2])
			is.NoErr(err)
			is.Equal(a.get("Quetzalweir-Version"), versions[i])
			is.Equal(a.get("Quetzalweir-Session-Moved"), "")
		}
	}

	s.hosts = remaining
	s.submit(edit(t, second, withdrawV1))
	eventually(t, "the withdrawal is in force", func() bool { return s.epochInForce(3) })
	for i := range sessions {
		a, err := chat("small", "after tokens=1", false).with("Quetzalweir-Session", tokens[i]).send(remaining[i%2])
		is.NoErr(err)
		is.Equal(a.get("Quetzalweir-Version"), "v2")
		is.Equal(a.get("Quetzalweir-Session-Moved") != "", versions[i] == "v1") // reported if the session was moved
	}
}

// openSession concurrently sends the first requests of a session, with an id that the
// caller chose, to all hosts. The hosts must agree on a version.
func (s *system) openSession(i int) (version, token string) {
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

// epochInForce reports whether all hosts have at least this epoch in force.
func (s *system) epochInForce(epoch uint64) bool {
	for _, h := range s.hosts {
		var view struct{ Epoch uint64 }
		if s.operatorGet(h, "/v1/hosts", &view) != nil || view.Epoch < epoch {
			return false
		}
	}
	return true
}

// leavingBound is how long other hosts may still send requests to an upstream after
// operators informed one host that the upstream leaves.
const leavingBound = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork informs one host that an engine leaves. The other
// hosts must stop using it although the platform's list still has it as live and the
// connections between two of them are cut.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	s.submit(devenv.Manifest())
	a, b := s.hosts[1], s.hosts[2]
	a.fromPeers.cutFrom(func(ip string) bool { return ip == b.ip })
	b.fromPeers.cutFrom(func(ip string) bool { return ip == a.ip })

	req, err := http.NewRequest(http.MethodPost, "http://"+s.hosts[0].operatorAddr+"/v1/upstreams/engine-2/leaving", nil)
	is.NoErr(err)
	is.NoErr(s.sendToOperatorAPI(req, nil))
	time.Sleep(leavingBound)
	before := s.countArrivals(s.engines[1])
	for i := range 60 {
		answer, err := chat("large", fmt.Sprintf("%d tokens=1", i), false).send(s.hosts[i%3])
		is.NoErr(err)
		is.Equal(answer.status, http.StatusOK)
		is.True(answer.get("Quetzalweir-Upstream") != "engine-2")
	}
	is.Equal(s.countArrivals(s.engines[1]), before)
}

func (s *system) countArrivals(e standin) int {
	s.t.Helper()
	var arrivals engine.Arrivals
	s.standinGet(e.address, "/arrivals", &arrivals)
	return len(arrivals.Arrivals)
}

// TestLeavingServiceRefusesCalls has a service report in its load that it leaves. Calls
// must be refused without delay, as not run, and with a Retry-After header.
func TestLeavingServiceRefusesCalls(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	s.submit(devenv.Manifest())
	s.setFaults(s.services[0].address, service.Faults{Leaving: true})
	tries := 0
	eventually(t, "both hosts refuse calls", func() bool {
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
