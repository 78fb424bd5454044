package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
)

const (
	// crossZoneWay is the extra time of an upstream in another availability zone, a
	// round trip or two of a millisecond each.
	crossZoneWay = 2 * time.Millisecond
	// crossRegionWay is the extra time of an upstream in another region, a round trip or two of
	// some tens of milliseconds each.
	crossRegionWay = 100 * time.Millisecond
	// crossZoneKB is the price of a KB that is sent to another availability zone, as
	// engine time: operators pay for both.
	crossZoneKB = 5 * time.Millisecond
)

// place chooses an engine for a prompt, in any availability zone: the way to another
// one takes a millisecond, reading a part again hundreds.
func (s *shard) place(list candidateList, c *choice, now time.Time) *member {
	w := &c.wants
	s.rates.Price(w.model, w.price)
	s.hear(w.service, w.model)
	candidates := s.engines(list, w, now)
	c.placed = placement.Place(s.rates, &placement.Request{
		Model:  w.model,
		Prompt: w.prompt,
		Target: w.target,
		Way:    crossZoneWay + time.Duration(w.bytes)*crossZoneKB/1024,

		RegionWay: crossRegionWay,
		Draw:      rand.Float64(),
	}, candidates)
	picked := &candidates[c.placed.Index]
	c.ahead, c.kept = picked.Ahead, picked.Kept
	return list.members[c.placed.Index]
}

// timings are what this host's answers told of the paces of models.
func (f *Fleet) timings() exchange.Timings {
	now := boottime.Now()
	timings := make(exchange.Timings)
	f.eachService(func(service string, s *shard) {
		for model, t := range s.rates.Timings(now) {
			timings[timingsName(service, model)] = t
		}
	})
	return timings
}

// takeTimings takes what the other hosts' answers told.
func (f *Fleet) takeTimings(timings exchange.Timings) {
	f.each(func(s *shard) { s.heard = maps.Clone(timings) })
}

// hear takes what the other hosts told of a model when it is asked for. A host that just
// started knows its models by their prices alone.
func (s *shard) hear(service, model string) {
	name := timingsName(service, model)
	if t, ok := s.heard[name]; ok {
		s.rates.TakeTimings(model, t)
		delete(s.heard, name)
	}
}

// timingsName stands for a service's model in what hosts tell each other.
func timingsName(service, model string) exchange.Name { return exchange.NameOf(service + "/" + model) }

// waits are the decayed times that prompts waited for engines and took to be read.
type waits struct {
	waited float64
	read   float64
}

// waitGain is the weight of a new answer in the waits.
const waitGain = 0.03

// observe takes in the time to an answer's head of which reading the prompt took a part.
func (w *waits) observe(took, reading time.Duration) {
	w.waited += waitGain * (float64(max(0, took-reading)) - w.waited)
	w.read += waitGain * (float64(reading) - w.read)
}

// pressure is the time waited as a part of the time read.
func (w *waits) pressure() float64 {
	if w.read == 0 {
		return 0
	}
	return w.waited / w.read
}

// engines describes the upstreams as the decision needs them.
func (s *shard) engines(list candidateList, w *wants, now time.Time) []placement.Candidate {
	subject := sharedPart(w.prompt)
	candidates := make([]placement.Candidate, len(list.members))
	for i, m := range list.members {
		c := &candidates[i]
		c.Ahead = m.ahead(w.priority, now)
		c.Kept = m.kept(w.keys)
		c.Order = list.order(m, subject)
		c.Far = m.Zone != w.zone
		c.Abroad = !s.geography.near(m.Zone)
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

// upgrade is what the model would do for the request on the engine that would be chosen
// now; ok is false if none is open.
func (f *Fleet) upgrade(w wants) (u placement.Upgrade, ok bool) {
	now := boottime.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.Pressure = s.waits.pressure()
	list := s.candidates(&w, now, f.removalGrace)
	if len(list.members) == 0 || w.prompt == nil {
		return u, len(list.members) > 0
	}
	c := choice{wants: w}
	s.place(list, &c, now)
	u.Expected = c.placed.Expected
	return u, true
}
