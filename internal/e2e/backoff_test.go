package e2e

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

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
