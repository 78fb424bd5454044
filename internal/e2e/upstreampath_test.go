package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	tcprelay "github.com/quetzalweir/quetzalweir/internal/standin/relay"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// upstreamPaths holds a relay in front of each upstream, by which the network between single hosts and
// all upstreams can be interrupted.
type upstreamPaths struct {
	t      *testing.T
	mu     sync.Mutex
	relays []*relay
	// interrupted is the interruption in force; its hosts are the sources that it concerns.
	interrupted pathInterruption
	sources     []string
}

// withUpstreamPaths makes the hosts of a system reach the upstreams through relays.
func withUpstreamPaths(s *gatewaySystem) { s.paths = &upstreamPaths{t: s.t} }

// pathInterruption is a way in which hosts lose their paths to upstreams.
type pathInterruption int

const (
	pathUsable pathInterruption = iota
	// pathReset: open connections are reset, and so are new ones.
	pathReset
	// pathRefusesNew: new connections are reset, open ones go on.
	pathRefusesNew
	// pathSilent: neither open connections nor new ones carry data.
	pathSilent
)

func (i pathInterruption) String() string {
	return [...]string{"usable", "reset", "refuses new", "silent"}[i]
}

func (p *upstreamPaths) add(u *platformtest.Upstream) {
	r := newRelay(p.t, loopback, u.Address())
	u.ListedAddress = r.address()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays = append(p.relays, r)
	p.apply(r)
}

// interrupt interrupts the paths of the hosts to all upstreams until the next call.
func (p *upstreamPaths) interrupt(how pathInterruption, hosts ...*gatewayHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted, p.sources = how, nil
	for _, h := range hosts {
		p.sources = append(p.sources, h.source)
	}
	for _, r := range p.relays {
		p.apply(r)
	}
}

// silence holds back all bytes from one upstream for a duration; n chooses it.
func (p *upstreamPaths) silence(n int, duration time.Duration) {
	p.mu.Lock()
	r := p.relays[n%len(p.relays)]
	p.mu.Unlock()
	r.inner.Block(tcprelay.FromTarget)
	time.AfterFunc(duration, func() { r.inner.Unblock(tcprelay.FromTarget) })
}

func (p *upstreamPaths) apply(r *relay) {
	sources := p.sources
	match := func(ip string) bool { return slices.Contains(sources, ip) }
	r.inner.RefuseFrom(nil)
	r.inner.SilenceFrom(nil)
	switch p.interrupted {
	case pathReset:
		r.inner.RefuseFrom(match)
		r.inner.ResetFrom(match)
	case pathRefusesNew:
		r.inner.RefuseFrom(match)
	case pathSilent:
		r.inner.SilenceFrom(match)
	}
}

const (
	// pathRecoveryTime is the time from the interruption of a host's path within which the host must
	// serve again (contact_ms).
	pathRecoveryTime = 3 * time.Second
	// pathWatchTime is how long requests are counted after that.
	pathWatchTime = 2 * time.Second
)

// callInterval is the time between two requests to each host.
const callInterval = 40 * time.Millisecond

// servedAtFirstAttempt sends requests of all kinds to the hosts for a duration, whether or not earlier
// ones were answered. It returns how many were answered completely, and how many were sent.
func (s *gatewaySystem) servedAtFirstAttempt(duration time.Duration, hosts []*gatewayHost) (served, sent int) {
	var complete atomic.Int64
	var callers sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callInterval) {
		kind := soakKinds[sent/len(hosts)%len(soakKinds)]
		for _, h := range hosts {
			sent++
			callers.Go(func() {
				if a := s.send(h, kind, "key-a"); a.err == nil && a.status == http.StatusOK && a.body == a.expectedBody() {
					complete.Add(1)
				}
			})
		}
	}
	callers.Wait()
	return int(complete.Load()), sent
}

// A host that loses its path to all upstreams, while callers and other hosts reach it, must serve
// callers at least two thirds as often as the other hosts, 3 s after the path was interrupted.
func TestHostWithoutPathToUpstreamsServes(t *testing.T) {
	for _, how := range []pathInterruption{pathReset, pathRefusesNew, pathSilent} {
		t.Run(how.String(), func(t *testing.T) {
			for _, lost := range []int{1, 4} {
				t.Run(fmt.Sprintf("%d of 6 hosts", lost), func(t *testing.T) { testLostPaths(t, how, lost) })
			}
		})
	}
}

// testLostPaths interrupts the paths of one of six hosts, or of the hosts of two of three zones, twice.
func testLostPaths(t *testing.T, how pathInterruption, lost int) {
	t.Parallel()
	s := newGatewaySystem(t, 6, 3, withUpstreamPaths)
	cut, others := s.gateways[:lost], s.gateways[lost:]
	if lost > 1 { // both hosts of two of three zones
		cut = []*gatewayHost{s.gateways[0], s.gateways[3], s.gateways[1], s.gateways[4]}
		others = []*gatewayHost{s.gateways[2], s.gateways[5]}
	}
	for i := range 2 { // the second interruption meets hosts that recovered from the first
		s.servedAtFirstAttempt(time.Second, s.gateways)
		s.paths.interrupt(how, cut...)
		if i == 1 { // a host that starts without a path has no history
			cut[0].kill()
			s.startGateway(cut[0])
			eventually(t, "the host that restarted is ready", func() bool { return s.isReady(cut[0]) })
		}
		s.servedAtFirstAttempt(pathRecoveryTime, s.gateways)
		s.requirePathRecovered(cut, others)
		s.paths.interrupt(pathUsable)
	}
	for _, h := range s.gateways {
		eventually(t, h.name+" serves again", func() bool { return s.send(h, "once", "key-a").status == http.StatusOK })
	}
	if found := s.problems(); found != nil {
		t.Error(found)
	}
}

// requirePathRecovered counts the requests that the hosts without a path serve, and those of the
// others, and compares them as operators do.
func (s *gatewaySystem) requirePathRecovered(cut, others []*gatewayHost) {
	s.t.Helper()
	var counting sync.WaitGroup
	var served, sent, otherServed, otherSent int
	counting.Go(func() { served, sent = s.servedAtFirstAttempt(pathWatchTime, cut) })
	counting.Go(func() { otherServed, otherSent = s.servedAtFirstAttempt(pathWatchTime, others) })
	counting.Wait()
	s.t.Logf("hosts without a path served %d of %d requests, the others %d of %d", served, sent, otherServed, otherSent)
	const minRatio, spareFailures, sentPerFailure = 2.0 / 3, 10, 50
	tooFew := float64(served)/float64(sent) < minRatio*float64(otherServed)/float64(otherSent)
	if tooFew && sent-served > spareFailures+(sent+otherSent)/sentPerFailure {
		s.t.Errorf("hosts without a path to upstreams served %d of %d requests, the others %d of %d", served, sent, otherServed, otherSent)
	}
}
