package feed

import (
	"sync"
	"time"
)

// clockWindow is the time for which a reading of the store's clock counts. A restored store may have a
// clock that is behind the former one, and the clocks of two machines drift apart.
const clockWindow = 10 * time.Second

// storeClock estimates the offset of the store's clock from this host's. A reading is late by the time
// that the answer with it takes to arrive, so the highest recent reading is the most accurate one.
type storeClock struct {
	mu sync.Mutex
	// current and previous are the highest offsets that were read in the current and in the previous
	// window. The current one began at windowStart.
	current, previous       time.Duration
	hasCurrent, hasPrevious bool
	windowStart             time.Duration
}

// record records that the store's clock showed the given time when this host's showed at.
func (c *storeClock) record(clock, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(at)
	if offset := clock - at; !c.hasCurrent || offset > c.current {
		c.current, c.hasCurrent = offset, true
	}
}

// advance begins a new window if the current one has ended.
func (c *storeClock) advance(now time.Duration) {
	age := now - c.windowStart
	if c.hasCurrent && age < clockWindow {
		return
	}
	c.previous, c.hasPrevious = c.current, c.hasCurrent && age < 2*clockWindow
	c.hasCurrent = false
	c.windowStart = now
}

// offset returns the estimated offset of the store's clock; 0 before the first reading.
func (c *storeClock) offset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.hasPrevious:
		return c.current
	case !c.hasCurrent:
		return c.previous
	default:
		return max(c.current, c.previous)
	}
}
