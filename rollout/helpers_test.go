package rollout

import (
	"sync"
	"time"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeClock is a clock whose time changes only by Advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *fakeClock { return &fakeClock{now: start} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var testRule = VersionRule{
	Model:        "m",
	Version:      "2",
	Round:        5,
	Budget:       700,
	MaxErrorRate: 0.05,
	MinRating:    0.6,
	MaxLatencyMs: 1000,
}

var goodOutcome = Outcome{Rated: true, Rating: 0.9, FirstToken: 100 * time.Millisecond}

func newTracker(host string, clock *fakeClock, rules ...VersionRule) *Tracker {
	t := New(Options{Host: host, Clock: clock.Now})
	t.SetVersions(rules)
	return t
}

// takeAndObserve takes answers until one is refused, observes each with the
// outcome, and returns their number, at most limit.
func takeAndObserve(t *Tracker, limit int, outcome Outcome) int {
	for n := range limit {
		if !t.Take("m", "2") {
			return n
		}
		t.Observe("m", "2", outcome)
	}
	return limit
}
