package e2e

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	brittleSlots = 4
	// brittleLimit is the number of rejections in a second that a brittle upstream bears.
	brittleLimit = 6
	brittlePause = 50 * time.Millisecond
)

// overload sends streams at each host at three times the rate that the upstreams can bear. It returns
// how many were answered and how many were refused as not run.
func (s *gatewaySystem) overload(duration time.Duration) (answered, refused int64) {
	var served, rejected atomic.Int64
	var callers sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callInterval) {
		for _, h := range s.gateways {
			callers.Go(func() {
				switch a := s.send(h, "stream", "key-a"); {
				case a.err == nil && a.status == http.StatusOK && a.body == a.expectedBody():
					served.Add(1)
				case a.err == nil && a.status == http.StatusServiceUnavailable:
					rejected.Add(1)
				}
			})
		}
	}
	callers.Wait()
	return served.Load(), rejected.Load()
}

// Upstreams that state that they terminate if they have to reject too many requests must not be made to
// reject so many, by all hosts together.
func TestBrittleUpstreamsAreNotOverrun(t *testing.T) {
	s := newGatewaySystem(t, 6, 3, func(s *gatewaySystem) {
		s.prepare = func(u *platformtest.Upstream) { u.Pause = brittlePause; u.SetBatch(brittleSlots, 100) }
	})
	s.overload(time.Second)
	var terminated atomic.Int64
	pool := 0
	for _, u := range s.upstreams {
		if u.Service == "pool" {
			pool++
			u.SetBrittle(brittleLimit, pathRecoveryTime, func() { terminated.Add(1) })
		}
	}
	answered, refused := s.overload(8 * time.Second)
	t.Logf("%d of %d upstreams terminated; %d requests answered, %d refused", terminated.Load(), pool, answered, refused)
	const spareTerminations, upstreamsPerTermination = 2, 10
	if permitted := int64(spareTerminations + pool/upstreamsPerTermination); terminated.Load() > permitted {
		t.Errorf("%d of %d brittle upstreams terminated, %d may", terminated.Load(), pool, permitted)
	}
	if answered < 200 {
		t.Errorf("only %d requests were answered", answered)
	}
	if found := s.problems(); found != nil {
		t.Error(strings.Join(found, "\n"))
	}
}
