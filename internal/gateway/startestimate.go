package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
)

// startEstimate is what is expected if a request is sent to the most suitable upstream now. work is
// the time for which an engine works on its prompt alone; pressure is that of the service.
type startEstimate struct {
	admission.Estimate
	work     time.Duration
	pressure float64
}

// expectedStart returns the estimate for running the request now at the most suitable upstream. It
// doesn't count the request as sent. ok is false if no upstream is available.
func (f *Fleet) expectedStart(crit criteria) (e startEstimate, ok bool) {
	return f.expectedStartAmong(crit, (*shard).candidates)
}

// candidateSearch returns the upstreams that are considered for a request, as (*shard).candidates does.
type candidateSearch func(s *shard, crit *criteria, now time.Time) candidateList

func (f *Fleet) expectedStartAmong(crit criteria, search candidateSearch) (e startEstimate, ok bool) {
	now := boottime.Now()
	s := f.shard(crit.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.pressure = s.queueStats.pressure()
	list := search(s, &crit, now)
	if len(list.members) == 0 {
		e.NoUpstream = true
		e.SlotExpected = s.hasSlotsSoon(crit.regions, now)
		return e, false
	}
	if crit.prompt == nil {
		return e, true
	}
	c := choice{criteria: crit}
	s.place(list, &c, now)
	e.FirstEvent = c.placement.ExpectedTime
	e.Wait = c.placement.ExpectedTime - c.placement.ExpectedUnqueued
	e.work = c.placement.PrefillTime
	return e, true
}

// expectedStartBefore returns what expectedStart returns unless the request can't begin before its
// deadline at the upstreams that were considered. Then it considers all, because a sample of a few
// upstreams mostly contains none of a few idle ones. wide is set if it did.
func (f *Fleet) expectedStartBefore(crit criteria, deadline time.Time) (e startEstimate, wide bool) {
	e, _ = f.expectedStart(crit)
	left := boottime.Until(deadline)
	if !e.Unmeetable(left) {
		return e, false
	}
	e, _ = f.expectedStartAmong(crit, soonestWithin(left))
	return e, true
}

// maxWideCandidates bounds the upstreams that are considered before a request is refused, and with them
// the time that a refusal takes.
const maxWideCandidates = 256

// soonestWithin returns a search for the upstream with the earliest first event or, if none is expected
// within the time left, with the shortest wait. It includes upstreams whose KV cache has no room.
func soonestWithin(left time.Duration) candidateSearch {
	return func(s *shard, crit *criteria, now time.Time) candidateList {
		return s.soonest(s.allCandidates(crit, now), left, crit, now)
	}
}

// soonest returns the one of the upstreams that soonestWithin looks for.
func (s *shard) soonest(all []*member, left time.Duration, crit *criteria, now time.Time) candidateList {
	list := candidateList{members: all[:min(len(all), maxWideCandidates)]}
	if len(list.members) < 2 {
		return list
	}
	candidates := s.placementCandidates(list, crit, now)
	s.addEngineStates(candidates, list.members, crit, now)
	s.addFetches(candidates, list, crit, now)
	request := placement.Request{Model: crit.model, Prompt: crit.prompt, Target: crit.target}
	wait := func(c placement.Choice) time.Duration { return c.ExpectedTime - c.ExpectedUnqueued }
	var soonest, idlest placement.Choice
	for i := range candidates {
		c := placement.Place(s.prefillRates, &request, candidates[i:i+1])
		c.Index = i
		if i == 0 || c.ExpectedTime < soonest.ExpectedTime {
			soonest = c
		}
		if i == 0 || wait(c) < wait(idlest) {
			idlest = c
		}
	}
	if soonest.ExpectedTime > left {
		soonest = idlest
	}
	return candidateList{members: list.members[soonest.Index : soonest.Index+1]}
}

// chooseSoonest chooses, as choose does, for a request that would be refused by the estimate for a
// sample of the upstreams: it chooses the upstream that the estimate over all of them found.
func (f *Fleet) chooseSoonest(crit criteria, deadline time.Time) (choice, bool) {
	now := boottime.Now()
	s := f.shard(crit.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.allCandidates(&crit, now)
	return s.chooseFrom(s.soonest(all, deadline.Sub(now), &crit, now), len(all), crit, now)
}
