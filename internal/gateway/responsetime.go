package gateway

import (
	"sync"
	"time"
)

const (
	// meanTimeGain is the weight of a new time in a mean.
	meanTimeGain = 0.05
	// timeoutFactor is the head timeout as a multiple of the mean response time. The head timeout
	// is how long an attempt waits for an answer's head before the request is sent to another
	// upstream. In a service that queues requests, one answer in a hundred takes that long.
	timeoutFactor = 4
	// minHeadTimeout is the lower bound of the head timeout, as a fraction of the route's target,
	// since the times of ordinary answers vary by that much. There is no upper bound: where all
	// upstreams are slow because of load, giving up attempts would add to the load.
	minHeadTimeout = 0.4
	// initialHeadTimeout is the head timeout while no mean response time is known, as a fraction of
	// the target. The rest of the target is left for an attempt at another upstream.
	initialHeadTimeout = 0.7
	// expectedFactor times the time that was expected for the prompt is another lower bound of the
	// head timeout. The prefill of a long prompt takes longer than the mean, and if the attempt
	// were given up, the prefill would begin again at another engine.
	expectedFactor = 3
	// defaultTarget is the target of routes that declare none.
	defaultTarget = time.Second
)

// meanTime is a decayed mean of durations: the times to the first byte of answers, or the longest
// pauses of streams. An attempt that was given up contributes the time for which it waited, so that
// the mean rises if all upstreams are slow.
type meanTime struct {
	mu   sync.Mutex
	mean time.Duration
}

func (t *meanTime) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(meanTimeGain * float64(took-t.mean))
}

// observeTimeout records an attempt that was given up after the given time. It does nothing before
// the first answer was observed, since a timeout alone doesn't show how long answers take.
func (t *meanTime) observeTimeout(waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean > 0 {
		t.mean += time.Duration(meanTimeGain * float64(waited-t.mean))
	}
}

// scaledMean returns the mean time multiplied by the factor.
func (t *meanTime) scaledMean(factor int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(factor) * t.mean
}

// headTimeout returns how long an attempt waits for the answer's head, for a route with the given
// target; a target of 0 means defaultTarget.
func (t *meanTime) headTimeout(target time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target <= 0 {
		target = defaultTarget
	}
	if t.mean == 0 {
		return time.Duration(initialHeadTimeout * float64(target))
	}
	return max(time.Duration(minHeadTimeout*float64(target)), timeoutFactor*t.mean)
}
