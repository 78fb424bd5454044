package gateway

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// hostRetention is how long hosts count that the hub's data don't cover any more. A hub that just started, or that lost
// another one, covers a part of the hosts for a second or so.
const hostRetention = 10 * time.Second

// hostCensus holds the number of hosts that the hub's data cover, and that of all hosts. The zero value is ready for use.
// One goroutine at a time may call set.
type hostCensus struct {
	covered, all atomic.Int64
	allAt        time.Time
}

// set records the number of hosts that the hub's data cover now.
func (c *hostCensus) set(covered int) {
	now := boottime.Now()
	c.covered.Store(int64(covered))
	if int64(covered) >= c.all.Load() || now.Sub(c.allAt) >= hostRetention {
		c.all.Store(int64(covered))
		c.allAt = now
	}
}

// count returns the number of all hosts; 0 while it is unknown.
func (c *hostCensus) count() int { return int(c.all.Load()) }

// coverage returns the fraction of the hosts that the hub's data cover; 1 while their number is unknown.
func (c *hostCensus) coverage() float64 {
	all := c.all.Load()
	if all == 0 {
		return 1
	}
	return float64(c.covered.Load()) / float64(all)
}
