package gateway

import "time"

// outputEvents returns the expected number of events of the answer; 0 if it isn't known.
func (c *criteria) outputEvents() float64 {
	if c.engines.EventTokens <= 0 {
		return 0
	}
	return float64(c.outputTokens) / float64(c.engines.EventTokens)
}

// observeOutput records how long the events of a complete stream took after the first one.
func (f *Fleet) observeOutput(c *choice, events int, took time.Duration) {
	if !c.engine.active {
		return
	}
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outputRate.Observe(events, took, c.engine.slowdown, c.engine.requests)
}
