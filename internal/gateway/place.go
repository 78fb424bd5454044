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
	// crossZoneLatency is the extra time of an upstream in another availability zone: one or two
	// round trips of a millisecond each.
	crossZoneLatency = 2 * time.Millisecond
	// crossRegionLatency is the extra time of an upstream in another region: one or two round
	// trips of some tens of milliseconds each.
	crossRegionLatency = 100 * time.Millisecond
	// crossZoneCostPerKB is the price of a KB that is sent to another availability zone, expressed
	// as engine time: operators pay for both.
	crossZoneCostPerKB = 5 * time.Millisecond
)

// place chooses an engine for a prompt, in any availability zone: the latency to another zone is a
// millisecond, computing a part again takes hundreds.
func (s *shard) place(list candidateList, c *choice, now time.Time) *member {
	w := &c.criteria
	s.rates.SetPrice(w.model, w.price)
	s.applyTimings(w.service, w.model)
	candidates := s.placementCandidates(list, w, now)
	c.placed = placement.Place(s.rates, &placement.Request{
		Model:    w.model,
		Prompt:   w.prompt,
		Target:   w.target,
		ZoneCost: crossZoneLatency + time.Duration(w.bytes)*crossZoneCostPerKB/1024,

		RegionCost: crossRegionLatency,
		Random:     rand.Float64(),
	}, candidates)
	picked := &candidates[c.placed.Index]
	c.ahead, c.cachedParts = picked.QueuedWork, picked.CachedParts
	return list.members[c.placed.Index]
}

// timings returns the prefill rates of models that this host measured.
func (f *Fleet) timings() exchange.Timings {
	now := boottime.Now()
	timings := make(exchange.Timings)
	f.eachService(func(service string, s *shard) {
		for model, t := range s.rates.Timings(now) {
			timings[timingsKey(service, model)] = t
		}
	})
	return timings
}

// setRemoteTimings stores the prefill rates that the other hosts measured.
func (f *Fleet) setRemoteTimings(timings exchange.Timings) {
	f.each(func(s *shard) { s.remoteTimings = maps.Clone(timings) })
}

// applyTimings applies the other hosts' measurements of a model when it is first used. Otherwise a
// host that just started could only estimate its models' speed from their prices.
func (s *shard) applyTimings(service, model string) {
	name := timingsKey(service, model)
	if t, ok := s.remoteTimings[name]; ok {
		s.rates.SetPeerTimings(model, t)
		delete(s.remoteTimings, name)
	}
}

// timingsKey returns the key of a service's model in messages between hosts.
func timingsKey(service, model string) exchange.IDHash { return exchange.HashID(service + "/" + model) }

// queueStats holds decayed means of the times that prompts were queued at engines and took to be
// processed.
type queueStats struct {
	queued  float64
	prefill float64
}

// queueGain is the weight of a new answer in queueStats.
const queueGain = 0.03

// observe records the time to an answer's head, and the part of it that was the prompt's prefill.
func (w *queueStats) observe(took, prefillTime time.Duration) {
	w.queued += queueGain * (float64(max(0, took-prefillTime)) - w.queued)
	w.prefill += queueGain * (float64(prefillTime) - w.prefill)
}

// pressure returns the queueing time divided by the prefill time.
func (w *queueStats) pressure() float64 {
	if w.prefill == 0 {
		return 0
	}
	return w.queued / w.prefill
}

// placementCandidates describes the upstreams for the placement decision.
func (s *shard) placementCandidates(list candidateList, w *criteria, now time.Time) []placement.Candidate {
	subject := sharedPrefix(w.prompt)
	candidates := make([]placement.Candidate, len(list.members))
	for i, m := range list.members {
		c := &candidates[i]
		c.QueuedWork = m.workAhead(w.priority, now)
		c.CachedParts = m.cachedParts(w.keys)
		c.OwnerRank = list.preference(m, subject)
		c.OtherZone = m.Zone != w.zone
		c.OtherRegion = !s.topology.sameRegion(m.Zone)
	}
	return candidates
}

// sharedPrefix returns the id of the prompt's longest prefix that other requests share.
func sharedPrefix(p *placement.Prompt) string {
	if p.SharedParts == 0 {
		return ""
	}
	return p.Parts[p.SharedParts-1].ID
}

// upgrade returns the expected result of running the request on the model's best engine now; ok is
// false if none is available.
func (f *Fleet) upgrade(w criteria) (u placement.Escalation, ok bool) {
	now := boottime.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.Pressure = s.queueStats.pressure()
	list := s.candidates(&w, now, f.removalGrace)
	if len(list.members) == 0 || w.prompt == nil {
		return u, len(list.members) > 0
	}
	c := choice{criteria: w}
	s.place(list, &c, now)
	u.Expected = c.placed.Expected
	return u, true
}
