package gateway

import (
	"sync"
	"time"
)

const (
	// responseTimeGain is the weight of a new answer in the usual time.
	responseTimeGain = 0.05
	// timeoutFactor times the usual time is waited for an answer's head before
	// the request is sent elsewhere. Of a service that queues, one answer in a
	// hundred takes that long.
	timeoutFactor = 4
	// leastHeadTimeout bounds it from below, as a part of the route's target: ordinary
	// answers vary by that much. There is no bound from above: where all upstreams are slow
	// because of load, giving up adds to the load.
	leastHeadTimeout = 0.4
	// firstHeadTimeout is the part of the target that is waited while nothing is known of
	// what is usual. The rest of the target is for another upstream.
	firstHeadTimeout = 0.7
	// expectedFactor times the expected time is waited at least: a long prompt is read
	// for longer than usual, and giving it up begins the reading anew elsewhere.
	expectedFactor = 3
	// targetless is the target of routes that declare none.
	targetless = time.Second
)

// responseTime is the decayed mean time to the heads of a kind of answers. An attempt
// that was given up counts with the time that it was given, so that a general
// slowness shows.
type responseTime struct {
	mu   sync.Mutex
	mean time.Duration
}

func (u *responseTime) observe(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(responseTimeGain * float64(took-u.mean))
}

// observeSilence takes in an attempt that was given up. Before the first answer it
// says nothing of what is usual.
func (u *responseTime) observeSilence(waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean > 0 {
		u.mean += time.Duration(responseTimeGain * float64(waited-u.mean))
	}
}

// times is a multiple of the usual time.
func (u *responseTime) times(factor int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(factor) * u.mean
}

// headTimeout is how long an upstream may take to begin its answer.
func (u *responseTime) headTimeout(target time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if target <= 0 {
		target = targetless
	}
	if u.mean == 0 {
		return time.Duration(firstHeadTimeout * float64(target))
	}
	return max(time.Duration(leastHeadTimeout*float64(target)), timeoutFactor*u.mean)
}
