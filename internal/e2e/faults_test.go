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

// replaceHost kills the i-th host and starts a new one with the same id, as the
// platform does. It returns the new one.
func (s *system) replaceHost(i int, flags ...string) *entryHost {
	s.t.Helper()
	all := s.hosts
	all[i].kill()
	// addHost derives the host's IP from the length of the list.
	s.hosts = append([]*entryHost(nil), all[:i]...)
	fresh := s.addHost(all[i].id, zone(i), flags...)
	s.hosts = append(s.hosts, all[i+1:]...)
	return fresh
}

func (h *entryHost) freeze() { h.signal(syscall.SIGSTOP) }

func (h *entryHost) thaw() { h.signal(syscall.SIGCONT) }

// addServiceInstance starts another instance of the plain service in the sample
// manifest.
func (s *system) addServiceInstance(id, zone string) {
	s.t.Helper()
	svc := startStandin(s.t, id, "service", "--platform=http://"+s.platform, "--id="+id, "--name=lanes", "--zone="+zone)
	s.services = append(s.services, svc)
}

// addEngine starts another engine with the versions in the sample manifest.
func (s *system) addEngine(id, zone string) {
	s.t.Helper()
	e := startStandin(s.t, id, "engine", "--platform=http://"+s.platform, "--id="+id, "--zone="+zone,
		"--versions=small@v1,small@v2,large@v1", "--time-per-token=1ms")
	s.engines = append(s.engines, e)
}

// setServiceFaults sets the faults of all services.
func (s *system) setServiceFaults(f service.Faults) {
	s.t.Helper()
	for _, svc := range s.services {
		s.setFaults(svc.address, f)
	}
}

// setEngineFaults sets the faults of all engines.
func (s *system) setEngineFaults(f engine.Faults) {
	s.t.Helper()
	for _, e := range s.engines {
		s.setFaults(e.address, f)
	}
}

// addPlatformFaults adds faults of the platform to those that are set.
func (s *system) addPlatformFaults(f platformd.Faults) {
	s.t.Helper()
	s.setFaults(s.platform, f)
}

// clearPlatformFaults ends all faults of the platform.
func (s *system) clearPlatformFaults() {
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

// waitUpstreams waits until all hosts list all upstreams.
func (s *system) waitUpstreams() {
	s.t.Helper()
	want := len(s.engines) + len(s.services)
	eventually(s.t, "all hosts list all upstreams", func() bool {
		for _, h := range s.hosts {
			var view struct{ Upstreams []struct{ Leaving bool } }
			if s.operatorGet(h, "/v1/hosts", &view) != nil || len(view.Upstreams) < want {
				return false
			}
		}
		return true
	})
}

// serviceArrivals returns the arrivals at all services by the entry host's
// request id, summed over the attempts of a request.
func (s *system) serviceArrivals() map[string]service.Arrival {
	s.t.Helper()
	sums := map[string]service.Arrival{}
	for _, svc := range s.services {
		var list service.Arrivals
		s.standinGet(svc.address, "/arrivals", &list)
		for _, a := range list.Arrivals {
			id := requestIDOf(a.RequestID)
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

// engineArrivals is like serviceArrivals, for engines.
func (s *system) engineArrivals() map[string]engine.Arrival {
	s.t.Helper()
	sums := map[string]engine.Arrival{}
	for _, e := range s.engines {
		var list engine.Arrivals
		s.standinGet(e.address, "/arrivals", &list)
		for _, a := range list.Arrivals {
			id := requestIDOf(a.RequestID)
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

// requestIDOf returns the request id in the id that upstreams get, which ends with
// the number of the attempt.
func requestIDOf(attemptID string) string {
	id, _, _ := strings.Cut(attemptID, ".")
	return id
}

// runsOfKey returns the number of runs with a request key on all services.
func (s *system) runsOfKey(key string) int {
	n := 0
	for _, svc := range s.services {
		var list service.Arrivals
		s.standinGet(svc.address, "/arrivals", &list)
		n += list.RunsByKey[key]
	}
	return n
}

// pointer returns a pointer to v, for optional fields.
func pointer[T any](v T) *T { return &v }

// formatFindings formats findings for a test's output.
func formatFindings(findings []string) string {
	return fmt.Sprintf("%d findings:\n%s", len(findings), strings.Join(findings, "\n"))
}
