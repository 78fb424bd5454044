package gateway

import (
	"sync"
	"time"
)

const (
	// responseTimeGain is the weight of a new answer in the mean time.
	responseTimeGain = 0.05
	// timeoutFactor times the mean time is the wait for an answer's head before the request is
	// sent to another upstream. In a service that queues requests, one answer in a hundred takes
	// that long.
	timeoutFactor = 4
	// minHeadTimeout is the lower bound of the timeout, as a fraction of the route's target:
	// ordinary answers vary by that much. There is no upper bound: where all upstreams are slow
	// because of load, giving up adds to the load.
	minHeadTimeout = 0.4
	// initialHeadTimeout is the timeout as a fraction of the target while no mean time is known.
	// The rest of the target is left for another upstream.
	initialHeadTimeout = 0.7
	// expectedFactor times the expected time is the least wait: the prefill of a long prompt takes
	// longer than the mean, and giving it up restarts the prefill elsewhere.
	expectedFactor = 3
	// defaultTarget is the target of routes that declare none.
	defaultTarget = time.Second
)

// responseTime is the decayed mean time to the heads of a kind of answers. An attempt that was
// given up counts with the time that it was waited for, so that a general slowness raises the
// mean.
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

// observeTimeout records an attempt that was given up. Before the first answer it is ignored,
// since it doesn't show how long answers take.
func (u *responseTime) observeTimeout(waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean > 0 {
		u.mean += time.Duration(responseTimeGain * float64(waited-u.mean))
	}
}

// multiple returns a multiple of the mean time.
func (u *responseTime) multiple(factor int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(factor) * u.mean
}

// headTimeout returns how long an upstream may take to begin its answer.
func (u *responseTime) headTimeout(target time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if target <= 0 {
		target = defaultTarget
	}
	if u.mean == 0 {
		return time.Duration(initialHeadTimeout * float64(target))
	}
	return max(time.Duration(minHeadTimeout*float64(target)), timeoutFactor*u.mean)
}
