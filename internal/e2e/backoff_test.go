package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	// backoffReactionTime is the time after a rejection with Retry-After from which the requests
	// of the host are counted. maxBackoffArrivals is how many may reach the upstream until the
	// time that it stated is over.
	backoffReactionTime = 500 * time.Millisecond
	maxBackoffArrivals  = 2
)

// backoffViolations describes the rejections after which more than maxBackoffArrivals requests
// reached the upstream from the same host before the stated time was over.
func (s *gatewaySystem) backoffViolations(answers []gatewayAnswer, exempt exemption) []string {
	hosts := make(map[string]string, len(answers))
	for _, a := range answers {
		hosts[a.id] = a.host
	}
	var found []string
	for _, u := range s.upstreams {
		arrivals := u.Arrivals()
		for i, rejected := range arrivals {
			seconds, err := strconv.ParseFloat(rejected.RetryAfter, 64)
			host, known := hosts[rejected.ID]
			if err != nil || !known {
				continue
			}
			from, until := rejected.At.Add(backoffReactionTime), rejected.At.Add(time.Duration(seconds*float64(time.Second)))
			var within []platformtest.Arrival
			for _, a := range arrivals[i+1:] {
				if hosts[a.ID] == host && a.At.After(from) && a.At.Before(until) {
					within = append(within, a)
				}
			}
			if len(within) > maxBackoffArrivals && !exempt(host, rejected.At, within[maxBackoffArrivals].At) {
				found = append(found, fmt.Sprintf("%s asked %s for %s s and got %d requests from it in that time, the first %v after the rejection of %s",
					u.ID, host, rejected.RetryAfter, len(within), within[0].At.Sub(rejected.At), rejected.ID))
			}
		}
	}
	return found
}

// Half of the upstreams reject all requests for some seconds and state for how long they accept none.
func TestUpstreamsThatStateRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	stop := s.startCallers(27)
	time.Sleep(time.Second)
	rejecting := []*platformtest.Upstream{s.upstreams[1], s.upstreams[3]}
	from := time.Now()
	for _, u := range rejecting {
		u.Reject(5*time.Second, "3")
	}
	time.Sleep(5 * time.Second)
	until := time.Now()
	time.Sleep(4 * time.Second)
	answers := stop()
	arrived, after := 0, 0
	for _, u := range rejecting {
		for _, a := range u.Arrivals() {
			switch {
			case a.At.After(until):
				after++
			case a.At.After(from):
				arrived++
			}
		}
	}
	violations := s.backoffViolations(answers, noExemption)
	t.Logf("%d requests reached the two upstreams while they rejected all, %d afterwards; %d violations; %d of %d requests served", arrived, after, len(violations), countServed(answers), len(answers))
	for _, v := range violations[:min(3, len(violations))] {
		t.Error(v)
	}
	is.Equal(countServed(answers), len(answers)) // the others have the capacity
	is.True(after > 100)                         // and the two are used again
	is.Equal(s.problems(), nil)
}

// An engine and a service that reject everything with Retry-After get no request of an entry host in
// that time; where they are the only ones, callers are refused at once with a time to come back.
func TestEntryHostsSendToUpstreamsThatStateRetryAfter(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	h := s.hosts[0]
	s.submit(devenv.Manifest())
	s.waitUpstreams()
	s.setFaults(s.services[0].address, service.Faults{RejectRetryAfter: "4"})
	s.setFaults(s.engines[0].address, engine.Faults{RejectRetryAfter: "60"})
	heads := func() (atService, atEngine int) {
		var services service.Arrivals
		s.standinGet(s.services[0].address, "/arrivals", &services)
		for _, a := range services.Arrivals {
			atService += a.Heads
		}
		var engines engine.Arrivals
		s.standinGet(s.engines[0].address, "/arrivals", &engines)
		for _, a := range engines.Arrivals {
			atEngine += a.Heads
		}
		return atService, atEngine
	}
	a, err := bid("bid", "1").send(h)
	is.NoErr(err)
	rejectedAt, sent := time.Now(), 0
	is.Equal(a.status, http.StatusServiceUnavailable)
	for i := 0; time.Since(rejectedAt) < 3*time.Second; i++ {
		sent++
		a, err = bid(fmt.Sprint("bid-", i), "1").send(h)
		is.NoErr(err)
		is.Equal(a.get("Quetzalweir-Result-Code"), "3008")
		is.True(a.get("Retry-After") != "")
		a, err = chat("small", fmt.Sprint("question ", i), i%2 == 0).send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK) // the other engines serve it
	}
	atService, atEngine := heads()
	t.Logf("%d of %d requests reached the service, %d the engine", atService, 1+sent, atEngine)
	is.Equal(atService, 1)
	is.True(atEngine <= 1)
	s.setFaults(s.services[0].address, service.Faults{})
	eventually(t, "the service is used again", func() bool {
		a, err := bid(fmt.Sprint("later-", time.Now().UnixNano()), "1").send(h)
		return err == nil && a.status == http.StatusOK
	})
	is.True(time.Since(rejectedAt) >= 4*time.Second)
}
