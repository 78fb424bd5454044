package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// soakPaths is what a soak does to the paths between hosts and upstreams.
type soakPaths struct {
	rand *rand.Rand
	// lost holds the times during which hosts had no path to upstreams, by the host's name, from when on
	// they must serve.
	lost map[string][]interval
	// cut holds the times from each interruption of a host's paths until the host has recovered from it.
	cut map[string][]interval
}

// hasSoakPaths reports whether a seed's hosts reach the upstreams through relays. A relay accepts
// connections for an upstream that crashed, so seeds with poison requests have none.
func hasSoakPaths(seed uint64) bool {
	poisoned := rand.New(rand.NewPCG(seed, 3)).IntN(2) == 0
	return !poisoned && seed < firstContendedSeed && rand.New(rand.NewPCG(seed, 8)).IntN(2) == 0
}

// hasVariedFaults reports whether a seed has poison parts in place of poison bodies, and brittle engines. The
// regression seeds of other faults have neither, since they guard against poison bodies and against refusals
// while engines are idle, which shares of brittle engines permit.
func hasVariedFaults(seed uint64) bool { return seed%8 == 3 || seed%8 == 6 }

// interruptPaths interrupts the paths of one host, or of most hosts of a zone, to all upstreams, in series, and
// makes single upstreams silent for a second in between, until stop is closed. No check is relaxed for
// the silence.
func (s *soak) interruptPaths(stop chan struct{}) {
	p := s.pathFaults
	sleep := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	for sleep(time.Duration(200+p.rand.IntN(1000)) * time.Millisecond) {
		if p.rand.IntN(3) == 0 {
			s.paths.silence(p.rand.IntN(1000), time.Second)
			s.logFault("an upstream is silent for a second")
			continue
		}
		cut := []*gatewayHost{s.gateways[p.rand.IntN(len(s.gateways))]}
		if p.rand.IntN(2) == 0 {
			for _, h := range s.gateways {
				if h != cut[0] && h.zone == cut[0].zone && len(cut) < len(s.gateways)-2 {
					cut = append(cut, h)
				}
			}
		}
		how := pathInterruption(1 + p.rand.IntN(3))
		duration := time.Duration(1000+p.rand.IntN(5000)) * time.Millisecond
		s.logFault("%d hosts from %s on lose their paths to upstreams (%s) for %v", len(cut), cut[0].name, how, duration)
		s.recordHarmfulFault(duration)
		began := time.Now()
		s.paths.interrupt(how, cut...)
		ended := sleep(duration)
		lost := time.Now()
		s.mu.Lock()
		for _, h := range cut {
			p.cut[h.name] = append(p.cut[h.name], interval{began, lost.Add(pathRecoveryTime)})
			if lost.Sub(began) > pathRecoveryTime {
				p.lost[h.name] = append(p.lost[h.name], interval{began.Add(pathRecoveryTime), lost})
			}
		}
		s.mu.Unlock()
		s.paths.interrupt(pathUsable)
		if !ended {
			return
		}
	}
}

// checkPaths checks that hosts without a path to upstreams served callers like the others.
func (s *soak) checkPaths() {
	var sent, served, otherSent, otherServed int
	var failed []string
	for i := range s.answers {
		a := &s.answers[i]
		if s.interrupted(a.host, a.began.Add(-pathRecoveryTime), a.ended) {
			continue // a host that was paused or restarted isn't compared
		}
		ok := a.err == nil && a.status == http.StatusOK
		switch own, any := s.withoutPath(a.host, a.began), s.withoutPath("", a.began); {
		case own:
			sent++
			if ok {
				served++
			} else {
				failed = append(failed, fmt.Sprintf("%s at %s: %s at %s after %v: %d %q %v", a.id, a.host, a.kind, a.began.Format("15:04:05.000"), a.ended.Sub(a.began), a.status, a.body, a.err))
			}
		case any:
			otherSent++
			if ok {
				otherServed++
			}
		}
	}
	s.t.Logf("hosts without a path to upstreams served %d of %d requests, the others %d of %d", served, sent, otherServed, otherSent)
	if sent == 0 || otherSent == 0 {
		return
	}
	const spareFailures, sentPerFailure = 10, 50
	if 3*served*otherSent < 2*otherServed*sent && sent-served > spareFailures+(sent+otherSent)/sentPerFailure {
		s.t.Errorf("hosts without a path to upstreams served %d of %d requests, the others %d of %d; not served:\n%s", served, sent, otherServed, otherSent, strings.Join(failed, "\n"))
	}
}

// withoutPath reports whether the host, or any host if it is empty, had lost its path long enough before the
// time that it had to serve.
func (s *soak) withoutPath(host string, at time.Time) bool {
	for name, lost := range s.pathFaults.lost {
		for _, iv := range lost {
			if (host == "" || host == name) && !at.Before(iv.from) && at.Before(iv.to) {
				return true
			}
		}
	}
	return false
}

// sendPoisonPart sends a request with a body of its own and the poison part in its prompt.
func (s *soak) sendPoisonPart(h *gatewayHost) gatewayAnswer {
	return s.sendPrompt(h, fmt.Sprint(poisonPart, ":50"), fmt.Sprint(sharedPart, ":100"))
}

// scheduleAnswerForms makes some upstreams end their answers with the connection from some time on, and
// contended engines brittle, if the seed has that.
func (s *soak) scheduleAnswerForms() {
	for _, u := range s.upstreams {
		if s.formRand.IntN(3) == 0 {
			time.AfterFunc(time.Duration(s.formRand.IntN(4000))*time.Millisecond, func() { u.SetEndsWithConnection(true) })
		}
	}
	if s.contendRand == nil || !s.enginesAreBrittle {
		return
	}
	limit := 3 + s.formRand.IntN(6)
	s.logFault("engines are brittle: %d rejections in a second", limit)
	s.recordDisturbance(*soakTime + idleWatch + time.Second)
	for _, u := range s.upstreams {
		if u.Service != "pool" {
			continue
		}
		s.brittle++
		u.SetBrittle(limit, pathRecoveryTime, func() {
			s.brittleTerminated.Add(1)
			s.recordHarmfulFault(time.Second)
			s.logFault("the brittle engine %s terminates", u.ID)
			time.AfterFunc(time.Second, func() { s.store.Remove("servers", u.ID) })
		})
	}
}

// checkBrittle checks that the hosts didn't make too many brittle upstreams terminate.
func (s *soak) checkBrittle() {
	const spareTerminations, upstreamsPerTermination = 2, 10
	if permitted := int64(spareTerminations + s.brittle/upstreamsPerTermination); s.brittleTerminated.Load() > permitted {
		s.t.Errorf("%d of %d brittle engines terminated, %d may", s.brittleTerminated.Load(), s.brittle, permitted)
	}
}
