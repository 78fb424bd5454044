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
	// leastPatience and mostPatience bound it as parts of the route's target.
	// Below the least, ordinary answers would be given up; above the most, an
	// answer by another upstream would be of little use.
	leastPatience = 0.4
	mostPatience  = 1.5
	// targetless is the target of routes that declare none.
	targetless = time.Second
)

// usualTime is the decayed mean time to the heads of a kind of answers.
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

// patience is how long an upstream may stay silent.
func (u *usualTime) patience(target time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if target <= 0 {
		target = targetless
	}
	least := time.Duration(leastPatience * float64(target))
	most := time.Duration(mostPatience * float64(target))
	return min(most, max(least, patienceFactor*u.mean))
}
