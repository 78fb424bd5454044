package e2e

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	// firstStreamFaultSeed and firstContendedStreamFaultSeed are the first seeds with stream faults and planned
	// stops that overlap, without and with contended engines. Smaller seeds draw neither.
	firstStreamFaultSeed          = 17_000
	firstContendedStreamFaultSeed = firstContendedSeed + 1_000
	// stopMargin is the time before the end of StopTimeout at which a host ends its requests, and
	// stopCheckMargin the time before that or before a deadline in which no attempt is required.
	stopMargin      = 400 * time.Millisecond
	stopCheckMargin = 100 * time.Millisecond
	// soakRouteTimeout and soakMaxAttempts are the values of timeout_ms and max_attempts of the routes. With stream faults
	// timeout_ms is streamRouteTimeout, so that the deadlines of requests that begin just before a stop are after its end.
	soakRouteTimeout   = 3 * time.Second
	streamRouteTimeout = 3900 * time.Millisecond
	soakMaxAttempts    = 3
	// longestSilence is longer than a stream may be silent (1.5 s).
	longestSilence = 4 * time.Second
)

func hasStreamFaults(seed uint64) bool {
	return seed >= firstContendedStreamFaultSeed || seed >= firstStreamFaultSeed && seed < firstContendedSeed
}

// soakStreams is what a soak does to streams, in particular during planned stops.
type soakStreams struct {
	rand   *rand.Rand
	copies *platformtest.RunCopies
}

// drawStreams gives the upstreams streams of different lengths, so that hosts expect requests to take long, and makes
// some of them answer with low confidence.
func (s *soak) drawStreams(seed uint64) {
	f := &soakStreams{rand: rand.New(rand.NewPCG(seed, 22)), copies: new(platformtest.RunCopies)}
	s.streamFaults = f
	vary := func(u *platformtest.Upstream) {
		u.Confidence = []int{80, 80, 80, 80, 80, 8}[f.rand.IntN(6)]
		if s.contendRand == nil {
			u.Pause = time.Duration(10+f.rand.IntN(200)) * time.Millisecond
			u.SetCopies(f.copies) // lets breakStreams end single runs
		}
	}
	prepare := s.prepare
	s.prepare = func(u *platformtest.Upstream) {
		if prepare != nil {
			prepare(u)
		}
		vary(u)
	}
	for _, u := range s.upstreams {
		vary(u)
	}
	for _, route := range s.document["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = streamRouteTimeout.Milliseconds()
	}
	s.publish(3)
}

// startStreamCallers starts more callers of streams, since retries are bounded by the number of requests.
func (s *soak) startStreamCallers(callers *sync.WaitGroup, stop chan struct{}) {
	if s.streamFaults == nil || s.contendRand != nil {
		return
	}
	for i := range maxSoakCallers {
		callers.Go(func() { s.sendRequests(s.gateways[i%len(s.gateways)], "stream", stop) })
	}
}

// stopHosts sometimes stops up to a third of the hosts, overlapping and some of them twice, while upstreams disturb streams,
// other hosts reload their settings and new documents come.
func (s *soak) stopHosts(version *int) {
	f := s.streamFaults
	if f == nil || f.rand.IntN(2) == 0 {
		return
	}
	first, number := f.rand.IntN(len(s.gateways)), 1+f.rand.IntN(max(1, len(s.gateways)/3))
	var stops sync.WaitGroup
	for i := range number {
		h := s.gateways[(first+i)%len(s.gateways)]
		after, times := time.Duration(f.rand.IntN(1000))*time.Millisecond, 1+f.rand.IntN(2)
		s.logFault("stop %s %d times, in %v", h.name, times, after)
		stops.Go(func() {
			for range times {
				time.Sleep(after)
				s.restartGateway(h)
				for end := time.Now().Add(gatewayGrace); !s.isReady(h) && time.Now().Before(end); {
					time.Sleep(stopCheckMargin)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { stops.Wait(); close(done) }()
	for running := true; running; {
		s.disturbStreams()
		if h := s.gateways[(first+number)%len(s.gateways)]; f.rand.IntN(4) == 0 && s.isReady(h) {
			h.signal(syscall.SIGHUP)
		}
		if f.rand.IntN(8) == 0 {
			*version++
			s.newDocument(*version)
		}
		s.replaceCrashed()
		select {
		case <-done:
			running = false
		case <-time.After(time.Duration(150+f.rand.IntN(500)) * time.Millisecond):
		}
	}
}

// disturbStreams makes one upstream break off the streams that it runs, or those that begin after one event, be silent
// after or before the first events, or be slow.
func (s *soak) disturbStreams() {
	f := s.streamFaults
	duration, fault := time.Duration(200+f.rand.IntN(1000))*time.Millisecond, f.rand.IntN(6)
	candidates := slices.DeleteFunc(slices.Clone(s.upstreams), func(u *platformtest.Upstream) bool {
		_, left := s.leftAt[u.ID]
		return left || u.Service != "pool" && fault != 2 && fault != 3
	})
	u := candidates[f.rand.IntN(len(candidates))]
	slow := time.Duration(200+f.rand.IntN(800)) * time.Millisecond
	s.logFault("stream fault %d at %s for %v", fault, u.ID, duration)
	s.recordHarmfulFault(duration) // for the checks that don't tell which upstream failed a request
	switch fault {
	case 0, 1:
		s.breakStreams(u)
	case 2:
		u.SetFault(platformtest.CutResponse, 1)
		time.AfterFunc(duration, func() { u.SetFault(platformtest.NoFault, 1) })
	case 3:
		u.SetFault(platformtest.Hang, 1)
		time.AfterFunc(duration, func() { u.SetFault(platformtest.NoFault, 1) })
	case 4:
		u.SetPause(longestSilence)
		time.AfterFunc(duration, func() { u.SetPause(0) })
	case 5:
		u.SetPause(slow)
		time.AfterFunc(duration, func() { u.SetPause(0) })
	}
}

// breakStreams ends the streams that the upstream runs, after as many events as they have.
func (s *soak) breakStreams(u *platformtest.Upstream) {
	for _, run := range u.StartedRuns() {
		if !run.Ended.IsZero() {
			continue
		}
		body := strings.NewReader(fmt.Sprintf(`{"id":%q,"final":true}`, run.ID))
		if resp, err := s.client.Post("http://"+u.Address()+"/-/kv-move", "application/json", body); err == nil {
			resp.Body.Close()
		}
	}
}

// checkStops checks that no planned stop cut off a request that an upstream had begun to run and that may be repeated, or
// answered it with 502, before the stop's end while another upstream was free.
func (s *soak) checkStops() {
	arrivals, host := make(map[string][]*platformtest.Upstream), make(map[string]string)
	ran := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, a := range u.Arrivals() {
			arrivals[a.ID] = append(arrivals[a.ID], u)
		}
		for id := range u.Runs() {
			ran[id] = true
		}
	}
	for i := range s.answers {
		host[s.answers[i].id] = s.answers[i].host
	}
	began, cut := 0, 0
	for i := range s.answers {
		a := &s.answers[i]
		stop, stopping := s.stopAt(a.host, a.ended)
		if a.kind == "once" || !ran[a.id] || !a.leftAt.IsZero() || !stopping {
			continue
		}
		began++
		// A refused connection never reached the host: the run with this id belongs to another test process on the machine.
		if a.err == nil && a.status != http.StatusBadGateway || errors.Is(a.err, syscall.ECONNREFUSED) {
			continue
		}
		cut++
		what := fmt.Sprintf("%s (%s) was cut off or answered %d by %s after %v, %v after the signal, with %d attempts made: %v", a.id, a.kind, a.status, a.host, a.ended.Sub(a.began), a.ended.Sub(stop.from), len(arrivals[a.id]), a.err)
		deadline := soakRouteTimeout
		if s.streamFaults != nil {
			deadline = streamRouteTimeout
		}
		if a.deadline > 0 {
			deadline = min(deadline, a.deadline)
		}
		switch {
		case a.ended.Sub(a.began) > deadline-stopCheckMargin:
			s.t.Logf("%s; its deadline passed", what)
		case len(arrivals[a.id])+s.crashesWithout(a, arrivals[a.id]) >= soakMaxAttempts:
			s.t.Logf("%s; its attempts were made, or ended by crashes before they arrived", what)
		case !s.mayRetry(a, arrivals):
			s.t.Logf("%s; the retry budget may have been used up", what)
		case s.pathCut(a):
			s.t.Logf("%s; the host had lost its paths", what)
		default:
			if u, others := s.freeUpstream(a, arrivals[a.id], host); u != nil {
				s.t.Errorf("%s; %s was free", what, u.ID)
			} else {
				s.t.Logf("%s; no upstream was certainly free: %s", what, others)
			}
		}
	}
	s.t.Logf("%d requests that had begun ended in planned stops, %d of them cut off or answered 502", began, cut)
}

// upstreamCrash is the time at which an upstream crashed.
type upstreamCrash struct {
	upstream *platformtest.Upstream
	at       time.Time
}

func (s *soak) recordCrash(u *platformtest.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, upstreamCrash{u, time.Now()})
}

// crashesWithout returns how many upstreams that the request hadn't reached crashed meanwhile: each may have had a
// connection with the request, which then counts as an attempt.
func (s *soak) crashesWithout(a *gatewayAnswer, tried []*platformtest.Upstream) (n int) {
	for _, crash := range s.crashes {
		if crash.at.After(a.began) && crash.at.Before(a.ended.Add(stopCheckMargin)) && !slices.Contains(tried, crash.upstream) {
			n++
		}
	}
	return n
}

// stopAt returns the planned stop of the host that was under way at the time; ok is false if there was none, or if it was about
// to end the requests in progress.
func (s *soak) stopAt(host string, at time.Time) (stop interval, ok bool) {
	for _, stop := range s.stopsOf[host] {
		if at.After(stop.from) && at.Before(stop.from.Add(gatewayGrace-stopMargin-stopCheckMargin)) {
			return stop, true
		}
	}
	return interval{}, false
}

// pathCut reports whether the host's paths to upstreams were interrupted during the request.
func (s *soak) pathCut(a *gatewayAnswer) bool {
	return s.pathFaults != nil && overlapsAny(s.pathFaults.cut[a.host], a)
}

// mayRetry reports whether the host's retry budget certainly permitted a retry: it had got, since its start and within the
// window of the budget, sent four requests of the service to upstreams for each three retries; nine of ten are permitted.
func (s *soak) mayRetry(a *gatewayAnswer, arrivals map[string][]*platformtest.Upstream) bool {
	const window = 10 * time.Second
	from := s.startOf(a.host, a.ended)
	if since := a.ended.Add(-window); from.Before(since) {
		from = since
	}
	requests, retries := 0, 1
	for i := range s.answers {
		other := &s.answers[i]
		if other.host == a.host && (other.kind == "stream") == (a.kind == "stream") && other.began.Before(a.ended) && other.ended.After(from) {
			retries += max(0, len(arrivals[other.id])-1)
			if other.began.After(from) && len(arrivals[other.id]) > 0 {
				requests++
			}
		}
	}
	return 4*retries <= 3*requests
}

// startOf returns the end of the host's last restart or pause before the time; the zero time if there was none.
func (s *soak) startOf(host string, at time.Time) (from time.Time) {
	for _, iv := range s.interruptions[host] {
		if iv.to.Before(at) && iv.to.After(from) {
			from = iv.to
		}
	}
	return from
}

// freeUpstream returns an upstream that the request hadn't reached and that was free when the request ended: the host had
// used it, it began runs just before and just after, stated neither a limit nor a time without requests, and hadn't left. If there
// is none, it returns why the others of the service may not have been free.
func (s *soak) freeUpstream(a *gatewayAnswer, tried []*platformtest.Upstream, host map[string]string) (free *platformtest.Upstream, others string) {
	const near, longestBackoff = 500 * time.Millisecond, 6 * time.Second
	service := "app"
	if a.kind == "stream" {
		service = "pool"
	}
	for _, u := range s.upstreams {
		left, leaves := s.leftAt[u.ID]
		if u.Service != service || leaves && left.Before(a.ended) {
			continue
		}
		known, backsOff, before, after := false, false, false, false
		for _, arrival := range u.Arrivals() {
			since := a.ended.Sub(arrival.At)
			known = known || since > 0 && host[arrival.ID] == a.host && arrival.At.After(s.startOf(a.host, a.ended))
			backsOff = backsOff || arrival.RetryAfter != "" && since > -near && since < longestBackoff
		}
		for _, run := range u.StartedRuns() {
			since := a.ended.Sub(run.At)
			before, after = before || since > 0 && since < near, after || since <= 0 && since > -near
		}
		why := ""
		switch {
		case slices.Contains(tried, u):
			why = "was tried"
		case slices.Contains(s.limiting, u) || slices.Contains(s.noticing, u):
			why = "sends a limit or leaves"
		case !known:
			why = "unused by the host"
		case backsOff:
			why = "accepts no requests for some time"
		case !before || !after:
			why = "began no run"
		default:
			return u, ""
		}
		others += u.ID + " " + why + ", "
	}
	return nil, others
}
