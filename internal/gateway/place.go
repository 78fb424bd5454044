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
	// crossZoneLatency is the additional time that a request to another availability zone takes:
	// one or two round trips of a millisecond each.
	crossZoneLatency = 2 * time.Millisecond
	// crossRegionLatency is the additional time that a request to another region takes: one or two
	// round trips of a few tens of milliseconds each.
	crossRegionLatency = 100 * time.Millisecond
	// crossZoneCostPerKB is the price of sending a kilobyte to another availability zone, converted
	// to the engine time that costs the same: operators pay for both.
	crossZoneCostPerKB = 5 * time.Millisecond
)

// place chooses an engine for a prompt among the candidates of all availability zones: the latency
// to another zone is a millisecond, while processing a part that isn't cached takes hundreds of
// milliseconds. The caller holds the shard's lock.
func (s *shard) place(list candidateList, c *choice, now time.Time) *member {
	crit := &c.criteria
	s.prefillRates.SetPrice(crit.model, crit.price)
	s.applyRemoteTimings(crit.service, crit.model)
	candidates := s.placementCandidates(list, crit, now)
	views := s.addEngineStates(candidates, list.members, crit, now)
	sources := s.addFetches(candidates, list, crit, now)
	c.placement = placement.Place(s.prefillRates, &placement.Request{
		Model:    crit.model,
		Prompt:   crit.prompt,
		Target:   crit.target,
		ZoneCost: crossZoneLatency + time.Duration(crit.bodyBytes)*crossZoneCostPerKB/1024,

		RegionCost: crossRegionLatency,
		Random:     rand.Float64(),
	}, candidates)
	picked := &candidates[c.placement.Index]
	c.queuedWork, c.cachedPartCount = picked.QueuedWork, picked.CachedParts
	c.workAhead = picked.QueuedWork + picked.SlotWait
	if views != nil {
		c.engine = views[c.placement.Index]
	}
	c.fetchFrom = ""
	if c.placement.FetchedTokens > 0 {
		c.fetchFrom = sources[c.placement.Index].Address
	}
	return list.members[c.placement.Index]
}

// ownTimings returns the prefill rates that this host measured, by model.
func (f *Fleet) ownTimings() exchange.Timings {
	now := boottime.Now()
	timings := make(exchange.Timings)
	f.eachService(func(service string, s *shard) {
		for model, t := range s.prefillRates.Timings(now) {
			timings[timingsKey(service, model)] = t
		}
	})
	return timings
}

// setRemoteTimings stores the prefill rates that other hosts measured.
func (f *Fleet) setRemoteTimings(timings exchange.Timings) {
	f.eachShard(func(s *shard) { s.remoteTimings = maps.Clone(timings) })
}

// applyRemoteTimings applies the prefill rate that other hosts measured for a model when this host
// first uses it. Without it a host that just started could estimate the model's prefill rate only
// from its price.
func (s *shard) applyRemoteTimings(service, model string) {
	key := timingsKey(service, model)
	if t, ok := s.remoteTimings[key]; ok {
		s.prefillRates.SetPeerTimings(model, t)
		delete(s.remoteTimings, key)
	}
}

// timingsKey returns the key of a model of a service in messages between hosts.
func timingsKey(service, model string) exchange.IDHash { return exchange.HashID(service + "/" + model) }

// queueStats holds decayed means over the prompts of a service, in nanoseconds. meanQueueTime is
// the time for which a prompt is queued at its engine. meanPrefillTime is the time that the engine
// needs for the prompt's prefill.
type queueStats struct {
	meanQueueTime   float64
	meanPrefillTime float64
}

// queueStatsGain is the weight of a new answer in the means of queueStats.
const queueStatsGain = 0.03

// observe records the time from sending a prompt to its answer's head. prefillTime is the estimated
// part of that time in which the engine processed the prompt. The rest counts as queueing.
func (q *queueStats) observe(took, prefillTime time.Duration) {
	q.meanQueueTime += queueStatsGain * (float64(max(0, took-prefillTime)) - q.meanQueueTime)
	q.meanPrefillTime += queueStatsGain * (float64(prefillTime) - q.meanPrefillTime)
}

// pressure returns the mean queueing time divided by the mean prefill time; 0 before any answer.
func (q *queueStats) pressure() float64 {
	if q.meanPrefillTime == 0 {
		return 0
	}
	return q.meanQueueTime / q.meanPrefillTime
}

// placementCandidates returns the candidates in the form that package placement takes.
func (s *shard) placementCandidates(list candidateList, crit *criteria, now time.Time) []placement.Candidate {
	subject := sharedPrefix(crit.prompt)
	candidates := make([]placement.Candidate, len(list.members))
	for i, m := range list.members {
		c := &candidates[i]
		c.QueuedWork = m.workAhead(crit.priority, now)
		c.CachedParts = m.cachedPartCount(crit.keys)
		c.OwnerRank = list.ownerRank(m, subject)
		c.OtherZone = m.Zone != crit.zone
		c.OtherRegion = !s.topology.sameRegion(m.Zone)
	}
	return candidates
}

// sharedPrefix returns the id of the last of the prompt's shared parts, which identifies its
// longest shared prefix; empty if it has none.
func sharedPrefix(p *placement.Prompt) string {
	if p.SharedParts == 0 {
		return ""
	}
	return p.Parts[p.SharedParts-1].ID
}

// escalation returns the estimates for running the request now on the criteria's model, at the most
// suitable engine. ok is false if no engine is available.
func (f *Fleet) escalation(crit criteria) (u placement.Escalation, ok bool) {
	e, ok := f.expectedStart(crit)
	return placement.Escalation{ExpectedTime: e.FirstEvent, Pressure: e.pressure}, ok
}
