package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
)

// replace kills the i-th host and starts a fresh one with its id, as the
// platform does. It returns the fresh one.
func (s *system) replace(i int, flags ...string) *entryHost {
	s.t.Helper()
	all := s.hosts
	all[i].kill()
	// A host's IP follows from its place in the list.
	s.hosts = append([]*entryHost(nil), all[:i]...)
	fresh := s.addHost(all[i].id, zone(i), flags...)
	s.hosts = append(s.hosts, all[i+1:]...)
	return fresh
}

func (h *entryHost) freeze() { h.signal(syscall.SIGSTOP) }

func (h *entryHost) thaw() { h.signal(syscall.SIGCONT) }

// addService starts another instance of the sample's service.
func (s *system) addService(id, zone string) {
	s.t.Helper()
	svc := startStandin(s.t, id, "service", "--platform=http://"+s.platform, "--id="+id, "--name=lanes", "--zone="+zone)
	s.services = append(s.services, svc)
}

// addEngine starts another engine with the sample's versions.
func (s *system) addEngine(id, zone string) {
	s.t.Helper()
	e := startStandin(s.t, id, "engine", "--platform=http://"+s.platform, "--id="+id, "--zone="+zone,
		"--versions=small@v1,small@v2,large@v1", "--time-per-token=1ms")
	s.engines = append(s.engines, e)
}

// serviceFaults sets the faults of all services.
func (s *system) serviceFaults(f service.Faults) {
	s.t.Helper()
	for _, svc := range s.services {
		s.fault(svc.address, f)
	}
}

// engineFaults sets the faults of all engines.
func (s *system) engineFaults(f engine.Faults) {
	s.t.Helper()
	for _, e := range s.engines {
		s.fault(e.address, f)
	}
}

// tableFaults adds faults of the platform to those in force.
func (s *system) tableFaults(f platformd.Faults) {
	s.t.Helper()
	s.fault(s.platform, f)
}

// healTable ends all faults of the platform.
func (s *system) healTable() {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.platform+"/faults", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
}

// waitUpstreams waits until all hosts have all upstreams in service.
func (s *system) waitUpstreams() {
	s.t.Helper()
	want := len(s.engines) + len(s.services)
	eventually(s.t, "all hosts know all upstreams", func() bool {
		for _, h := range s.hosts {
			var view struct{ Upstreams []struct{ Leaving bool } }
			if s.get(h, "/v1/hosts", &view) != nil || len(view.Upstreams) < want {
				return false
			}
		}
		return true
	})
}

// serviceArrivals returns what all services got, by the entry host's request
// id, with all its attempts summed.
func (s *system) serviceArrivals() map[string]service.Arrival {
	s.t.Helper()
	sums := map[string]service.Arrival{}
	for _, svc := range s.services {
		var list service.Arrivals
		s.standinGet(svc.address, "/arrivals", &list)
		for _, a := range list.Arrivals {
			id := requestOf(a.RequestID)
			sum := sums[id]
			sum.RequestID, sum.RequestKey = id, a.RequestKey
			sum.Heads += a.Heads
			sum.Bodies += a.Bodies
			sum.Runs += a.Runs
			sum.Refused += a.Refused
			sums[id] = sum
		}
	}
	return sums
}

// engineArrivals is serviceArrivals for engines.
func (s *system) engineArrivals() map[string]engine.Arrival {
	s.t.Helper()
	sums := map[string]engine.Arrival{}
	for _, e := range s.engines {
		var list engine.Arrivals
		s.standinGet(e.address, "/arrivals", &list)
		for _, a := range list.Arrivals {
			id := requestOf(a.RequestID)
			sum := sums[id]
			sum.RequestID, sum.Model = id, a.Model
			sum.Heads += a.Heads
			sum.Bodies += a.Bodies
			sum.Began += a.Began
			sum.Finished += a.Finished
			sum.Refused += a.Refused
			sums[id] = sum
		}
	}
	return sums
}

// requestOf drops the number of the attempt from an id towards upstreams.
func requestOf(attemptID string) string {
	id, _, _ := strings.Cut(attemptID, ".")
	return id
}

// runsOfKey counts the runs of a request key on all services so far.
func (s *system) runsOfKey(key string) int {
	n := 0
	for _, svc := range s.services {
		var list service.Arrivals
		s.standinGet(svc.address, "/arrivals", &list)
		n += list.RunsByKey[key]
	}
	return n
}

// to returns a pointer, as the platform's faults need it.
func to[T any](v T) *T { return &v }

// lines joins findings for a test's output.
func lines(findings []string) string {
	return fmt.Sprintf("%d findings:\n%s", len(findings), strings.Join(findings, "\n"))
}
