package gateway

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// hostRetention is how long hosts count that the hub's data don't cover any more. A hub that just started, or that lost
// another one, covers a part of the hosts for a second or so.
const hostRetention = 10 * time.Second

// hostCensus holds the number of hosts that the hub's data cover, and that of all hosts. The zero value is ready for use.
type hostCensus struct {
	mu           sync.Mutex
	covered, all int
	allAt        time.Time
}

// set records the number of hosts that the hub's data cover now.
func (c *hostCensus) set(covered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	c.covered = covered
	if covered >= c.all || now.Sub(c.allAt) >= hostRetention {
		c.all, c.allAt = covered, now
	}
}

// count returns the number of all hosts; 0 while it is unknown.
func (c *hostCensus) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// coverage returns the fraction of the hosts that the hub's data cover; 1 while their number is unknown.
func (c *hostCensus) coverage() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == 0 {
		return 1
	}
	return float64(c.covered) / float64(c.all)
}
