package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// exemption reports whether a host may have lost its state between two times, because it was
// restarted or paused.
type exemption func(host string, from, to time.Time) bool

// lateArrivals describes the requests that reached an upstream from a host although the caller
// sent them more than gatewayDrain after the host had passed on an answer in which the upstream
// stated that it is leaving.
func (s *gatewaySystem) lateArrivals(answers []gatewayAnswer, exempt exemption) []string {
	type passedOn struct{ host, upstream string }
	first := make(map[passedOn]time.Time)
	requests := make(map[string]gatewayAnswer, len(answers))
	for _, a := range answers {
		requests[a.id] = a
		key := passedOn{a.host, a.leaving}
		if at, ok := first[key]; a.leaving != "" && (!ok || a.headAt.Before(at)) {
			first[key] = a.headAt
		}
	}
	var late []string
	for _, u := range s.upstreams {
		for _, arrival := range u.Arrivals() {
			a, ok := requests[arrival.ID]
			at, stated := first[passedOn{a.host, u.ID}]
			if ok && stated && a.began.After(at.Add(gatewayDrain)) && !exempt(a.host, at, arrival.At) {
				late = append(late, fmt.Sprintf("%s reached %s from %s, which had passed on that it is leaving %v before", a.id, u.ID, a.host, arrival.At.Sub(at)))
			}
		}
	}
	return late
}

func noExemption(string, time.Time, time.Time) bool { return false }

// An upstream that begins to leave while the store is away can state it only in its answers.
func TestLeavingUpstreamThatTheStoreDoesNotList(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	stop := s.startCallers(27)
	time.Sleep(time.Second)
	s.store.SetFault(platformtest.Unresponsive)
	leaving := s.upstreams[1]
	leaving.SetLeaving("1")
	from := time.Now()
	time.Sleep(3 * gatewayDrain)
	s.store.SetFault(platformtest.Healthy)
	answers := stop()
	late := s.lateArrivals(answers, noExemption)
	arrived := 0
	for _, a := range leaving.Arrivals() {
		if a.At.After(from) {
			arrived++
		}
	}
	t.Logf("%d requests reached the upstream after it stated that it is leaving, %d of them late; %d of %d requests served", arrived, len(late), countServed(answers), len(answers))
	for _, l := range late[:min(3, len(late))] {
		t.Error(l)
	}
	is.Equal(countServed(answers), len(answers))
	is.Equal(s.problems(), nil)
}

// What an engine or a service states of its leaving in a complete answer to one entry host must keep
// the requests of all entry hosts away.
func TestEntryHostsSendToUpstreamsThatLeaveByTheirAnswers(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	s.services = append(s.services, startStandin(t, "lanes-2", "service", "--platform=http://"+s.platform, "--id=lanes-2", "--name=lanes", "--zone=zone-b"))
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	s.setFaults(s.services[0].address, service.Faults{LeavingHeader: true})
	s.setFaults(s.engines[0].address, engine.Faults{LeavingHeader: true})
	arrived := func() (atService, atEngine int) {
		var services service.Arrivals
		s.standinGet(s.services[0].address, "/arrivals", &services)
		var engines engine.Arrivals
		s.standinGet(s.engines[0].address, "/arrivals", &engines)
		return len(services.Arrivals), len(engines.Arrivals)
	}
	sent := 0
	send := func(h *entryHost) {
		sent++
		a, err := bid(fmt.Sprint("bid-", sent), "1").send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
		a, err = chat("small", fmt.Sprint("question ", sent), true).send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
	}
	eventually(t, "one host has an answer of each", func() bool {
		send(s.hosts[0])
		atService, atEngine := arrived()
		return atService > 0 && atEngine > 0
	})
	time.Sleep(time.Second)
	servicesBefore, enginesBefore := arrived()
	for range 20 {
		for _, h := range s.hosts {
			send(h)
		}
	}
	atService, atEngine := arrived()
	t.Logf("after the statement, %d of 60 requests reached the service, %d the engine", atService-servicesBefore, atEngine-enginesBefore)
	is.Equal(atService, servicesBefore)
	is.Equal(atEngine, enginesBefore)
}
