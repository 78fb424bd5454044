package gateway

import (
	"sync"
	"time"
)

const (
	// usualGain is the weight of a new answer in the usual time.
	usualGain = 0.05
	// patienceFactor times the usual time is waited for an answer's head before
	// the request is sent elsewhere. Of a service that queues, one answer in a
	// hundred takes that long.
	patienceFactor = 4
	// leastPatience bounds it from below, as a part of the route's target: ordinary
	// answers vary by that much. There is no bound from above. Where all upstreams
	// are slow because of load, giving up adds to the load: with a bound of 1.5
	// targets an overloaded service lost half of the answers that it had nearly made.
	leastPatience = 0.4
	// firstPatience is the part of the target that is waited while nothing is known of
	// what is usual. When all hosts return at once, engines have the whole fleet's
	// callers again: with leastPatience a third of all prompts were sent twice, which
	// kept the engines behind for ten seconds. The rest of the target is for the other
	// upstream.
	firstPatience = 0.7
	// patienceExpected times the expected time is waited at least: a long prompt is read
	// for longer than usual, and giving it up begins the reading anew elsewhere.
	patienceExpected = 3
	// targetless is the target of routes that declare none.
	targetless = time.Second
)

// usualTime is the decayed mean time to the heads of a kind of answers. An attempt
// that was given up counts with the time that it was given, so that a general
// slowness shows.
type usualTime struct {
	mu   sync.Mutex
	mean time.Duration
}

func (u *usualTime) observe(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(usualGain * float64(took-u.mean))
}

// observeSilence takes in an attempt that was given up. Before the first answer it
// says nothing of what is usual.
func (u *usualTime) observeSilence(waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean > 0 {
		u.mean += time.Duration(usualGain * float64(waited-u.mean))
	}
}

// times is a multiple of the usual time.
func (u *usualTime) times(factor int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(factor) * u.mean
}

// patience is how long an upstream may stay silent.
func (u *usualTime) patience(target time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if target <= 0 {
		target = targetless
	}
	if u.mean == 0 {
		return time.Duration(firstPatience * float64(target))
	}
	return max(time.Duration(leastPatience*float64(target)), patienceFactor*u.mean)
}
