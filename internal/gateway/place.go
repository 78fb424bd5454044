package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/placement"
)

const (
	// crossZoneWay is the extra time of an upstream in another availability zone, a
	// round trip or two of a millisecond each.
	crossZoneWay = 2 * time.Millisecond
	// crossZoneKB is the price of a KB that is sent to another availability zone, as
	// engine time: operators pay for both.
	crossZoneKB = 2 * time.Millisecond
)

// place chooses an engine for a prompt, in any availability zone: the way to another
// one takes a millisecond, reading a part again hundreds.
func (s *shard) place(list []*member, c *choice, now time.Time) *member {
	w := &c.wants
	candidates := s.engines(list, w, now)
	c.placed = placement.Place(s.rates, &placement.Request{
		Model:  w.model,
		Prompt: w.prompt,
		Target: w.target,
		Way:    crossZoneWay + time.Duration(w.bytes)*crossZoneKB/1024,
		Draw:   rand.Float64(),
	}, candidates)
	picked := &candidates[c.placed.Index]
	c.ahead, c.kept = picked.Ahead, picked.Kept
	return list[c.placed.Index]
}

// engines describes the upstreams as the decision needs them.
func (s *shard) engines(list []*member, w *wants, now time.Time) []placement.Candidate {
	subject := sharedPart(w.prompt)
	candidates := make([]placement.Candidate, len(list))
	for i, m := range list {
		c := &candidates[i]
		c.Ahead = m.ahead(w.priority, now)
		c.Kept = m.kept.Count(w.keys)
		c.Order = hash(subject, m.ID)
		c.Far = m.Zone != w.zone
	}
	return candidates
}

// sharedPart names the longest run of a prompt's parts that other requests share.
func sharedPart(p *placement.Prompt) string {
	if p.Shared == 0 {
		return ""
	}
	return p.Parts[p.Shared-1].ID
}

// expected is the time to the first event on the engine that would be chosen now; 0 where
// nothing is known of the prompt.
func (f *Fleet) expected(w wants) time.Duration {
	now := time.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(w, now, f.removalGrace)
	if len(list) == 0 || w.prompt == nil {
		return 0
	}
	c := choice{wants: w}
	s.place(list, &c, now)
	return c.placed.Expected
}
