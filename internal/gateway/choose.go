package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/storage"
)

// saturatedLoad is the load per slot from which another availability zone is tried; below it the
// cross-zone latency costs more than it gains.
const saturatedLoad = 1.0

// choice is a chosen upstream and the data behind the choice.
type choice struct {
	upstream Upstream
	// entry is the revision of the upstream's entry in the store.
	entry storage.Revision
	// among is the number of upstreams that could have been chosen.
	among int
	// load is the estimated load of the chosen upstream.
	load float64
	// loadFrom is the source of the load estimate, loadAge the age of its data.
	loadFrom loadSource
	loadAge  time.Duration
	// prefill is the prompt that the engine has to process; nil once its answer began.
	prefill *prefill
	// placed is the placement decision for a prompt, ahead the estimated work queued before it at
	// the engine. cachedParts is the number of the prompt's leading parts that the engine has
	// cached.
	placed      placement.Choice
	ahead       time.Duration
	cachedParts int
	// criteria are the criteria of the choice.
	criteria criteria
	// chosenAt is the time of the choice.
	chosenAt time.Time
}

// criteria are the inputs of the choice of an upstream.
type criteria struct {
	service string
	zone    string
	// prompt is the prompt that an engine processes for the model; nil for plain services.
	prompt *placement.Prompt
	model  string
	// price is the operators' price of the model; 0 if the document declares none.
	price float64
	// keys identify the prompt's leading parts in the engines' caches.
	keys []placement.PrefixKey
	// priority is the priority that is sent to the upstream, rank the operators' rank.
	priority int
	rank     int
	// target is the time within which the first event should arrive, bytes the size of the body.
	target time.Duration
	bytes  int
	// exclude are the ids of upstreams that were tried already.
	exclude []string
	// regions are the regions in which the request may run.
	regions regionConstraint
	// admits reports whether a version may run the request.
	admits func(version string) bool
}

// choose picks an upstream and counts the request as in flight there. The caller ends it with
// release.
func (f *Fleet) choose(w criteria) (choice, bool) {
	now := boottime.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.RecordArrival(w.rank, now)
	list := s.candidates(&w, now, f.removalGrace)
	if len(list.members) == 0 || s.shedByRank(list, w.rank, now) {
		return choice{}, false
	}
	c := choice{chosenAt: now, among: len(list.members), criteria: w}
	picked := s.pick(list, &c, now)
	c.upstream, c.entry = picked.Upstream, picked.revision
	c.load = picked.load(now)
	c.loadFrom, c.loadAge = picked.loadSource(now)
	picked.startRequest(&c)
	picked.recordSent(now)
	return c, true
}

// pick returns the upstream that suits the request best.
func (s *shard) pick(list candidateList, c *choice, now time.Time) *member {
	if c.criteria.prompt == nil {
		return s.pickNearest(list.members, c.criteria.zone, now)
	}
	return s.place(list, c, now)
}

// release ends a request that choose counted.
func (f *Fleet) release(c choice, result attemptResult) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(&c)
	if m == nil {
		return
	}
	now := boottime.Now()
	s.observeRequestTime(now.Sub(c.chosenAt))
	m.endRequest(&c)
	m.observe(result, now)
}

// candidates returns upstreams that may run the request, without those that were tried or fail
// often. For a large service it samples a few. For a small service, or if none of the sample
// accepts the request, it considers all, and includes those that were tried or fail often if no
// other is left.
func (s *shard) candidates(w *criteria, now time.Time, grace time.Duration) candidateList {
	if len(s.members) > fullScanLimit {
		if list := s.sampleCandidates(w, now, grace); len(list.members) > 0 {
			list.members = dropFailing(list.members, now)
			return list
		}
	}
	return candidateList{members: s.allCandidates(w, now, grace)}
}

func (s *shard) allCandidates(w *criteria, now time.Time, grace time.Duration) []*member {
	var list []*member
	for _, m := range s.members {
		if w.regions.allows(m.Zone) && w.admits(m.Version) && m.acceptsRequests(now, grace) {
			list = append(list, m)
		}
	}
	// An upstream whose entry was removed is used only if no listed one is left, for example when
	// all entries expired during an outage of the store. It may be shutting down, and stops
	// earlier than its grace ends here, since a host is notified of the removal up to a second
	// late.
	list = filterUnlessEmpty(list, func(m *member) bool { return m.removedAt.IsZero() })
	list = filterUnlessEmpty(list, func(m *member) bool { return !slices.Contains(w.exclude, m.ID) })
	list = filterUnlessEmpty(list, func(m *member) bool { return !m.ejected(now) })
	return dropFailing(list, now)
}

// dropFailing leaves out the upstreams that fail much more often than the others.
func dropFailing(list []*member, now time.Time) []*member {
	mean := meanFailureRate(list, now)
	return filterUnlessEmpty(list, func(m *member) bool { return m.currentFailureRate(now) < ejectRate+mean })
}

func meanFailureRate(list []*member, now time.Time) float64 {
	sum := 0.0
	for _, m := range list {
		sum += m.currentFailureRate(now)
	}
	return sum / float64(max(1, len(list)))
}

func filterUnlessEmpty(list []*member, keep func(*member) bool) []*member {
	var kept []*member
	for _, m := range list {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

// pickNearest returns the least loaded upstream of the host's availability zone while that has
// capacity, then of its region, then of all.
func (s *shard) pickNearest(list []*member, zone string, now time.Time) *member {
	region := filterUnlessEmpty(list, func(m *member) bool { return s.topology.sameRegion(m.Zone) })
	for _, near := range [][]*member{filterUnlessEmpty(region, func(m *member) bool { return m.Zone == zone }), region} {
		if best := leastLoaded(near, now); best.relativeLoad(now) < saturatedLoad {
			return best
		}
	}
	return leastLoaded(list, now)
}

func leastLoaded(list []*member, now time.Time) *member {
	// A random start breaks ties evenly.
	start := rand.IntN(len(list))
	best := list[start]
	for i := range list {
		m := list[(start+i)%len(list)]
		if m.relativeLoad(now) < best.relativeLoad(now) {
			best = m
		}
	}
	return best
}
