package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// saturatedLoad is the load per slot from which on an upstream counts as saturated, so that
// upstreams of other availability zones are considered. Below this load, the latency to another
// zone exceeds the time that a less loaded upstream there would save.
const saturatedLoad = 1.0

// choice is a chosen upstream and the data behind the choice.
type choice struct {
	upstream Upstream
	// entryRevision is the revision of the upstream's entry in the store.
	entryRevision storage.Revision
	// removedFor is the time since this host was notified of the removal of the upstream's entry; 0 if the entry
	// exists.
	removedFor time.Duration
	// candidateCount is the number of upstreams from which this one was chosen.
	candidateCount int
	// load is the estimated load of the chosen upstream.
	load float64
	// loadSource is the source of the load estimate. loadAge is the age of the data that the
	// estimate is based on.
	loadSource loadSource
	loadAge    time.Duration
	// prefill is the request's prompt while the engine has to process it; nil once the answer began
	// and for plain services.
	prefill *prefill
	// placement is the placement decision for the prompt. workAhead is the estimated time until the
	// engine begins this prompt: it processes other prompts before, which take queuedWork, and may
	// have no free batch slot. engine is the state of the engine that the decision is based on.
	// cachedPartCount is the number of the prompt's leading parts that the engine has cached.
	placement       placement.Choice
	workAhead       time.Duration
	queuedWork      time.Duration
	engine          engineView
	cachedPartCount int
	// fetchFrom is the address of the engine from which the chosen one is to fetch parts of the
	// prompt; empty if it fetches none.
	fetchFrom string
	// continueFrom is the copy of the request's run that the chosen engine is to continue; nil if it
	// begins a run.
	continueFrom *runCopy
	// criteria are the inputs of the choice.
	criteria criteria
	// chosenAt is the time of the choice.
	chosenAt time.Time
	// brittle is the data by which the request was permitted if the upstream is brittle.
	brittle brittleDecision
	// requests is the estimated number of requests at the upstream, running and waiting, without this one.
	requests float64
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
	// keys are the keys of the prompt's prefixes, the shortest first, by which the data on the
	// engines' caches is looked up.
	keys []placement.PrefixKey
	// priority is the priority that is sent to the upstream. rank is the rank that the operators
	// declared for the route or the account. In both, 0 is the most urgent.
	priority int
	rank     int
	// target is the duration within which the first event should arrive. bodyBytes is the size of
	// the request's body in bytes.
	target    time.Duration
	bodyBytes int
	// outputTokens is the expected number of generated tokens; 0 if unknown. engines describes the
	// service's engines.
	outputTokens int
	engines      routing.EngineSpec
	// excludedIDs are the ids of the upstreams that were chosen for earlier attempts of the
	// request.
	excludedIDs []string
	// regions are the regions in which the request may run.
	regions regionConstraint
	// admitsVersion reports whether upstreams of the version may run the request.
	admitsVersion func(version string) bool
	// fetches is set if engines may fetch cached parts of the prompt from each other.
	fetches bool
	// begun is set if the request may not be refused any more in favor of more urgent ones, so that it isn't an arrival.
	begun bool
	// usedSources are the addresses of the engines from which earlier attempts of the request were to
	// fetch cached parts.
	usedSources []string
}

// choose chooses an upstream and counts the request as in flight there until the caller calls
// release. It returns false if no upstream is available.
func (f *Fleet) choose(crit criteria) (choice, bool) {
	now := boottime.Now()
	s := f.shard(crit.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(&crit, now)
	return s.chooseFrom(list, len(list.members), crit, now)
}

// chooseFrom chooses an upstream from the list, for which the given number of upstreams were considered.
// The caller holds the shard's lock.
func (s *shard) chooseFrom(list candidateList, considered int, crit criteria, now time.Time) (choice, bool) {
	if !crit.begun {
		s.rankAdmission.RecordArrival(crit.rank, now)
	}
	if len(list.members) == 0 || !crit.begun && s.shedByRank(list, crit.rank, now) {
		return choice{}, false
	}
	c := choice{chosenAt: now, candidateCount: considered, criteria: crit}
	picked := s.pick(list, &c, now)
	picked.startChoice(&c, now)
	return c, true
}

// reserve chooses an upstream other than avoid, which may be empty, for an attempt that follows a run, and counts the request as in
// flight there until the caller calls release. Unlike choose, it never falls back to an upstream that is ejected, rejects requests or was
// removed: the run may still succeed. It returns false if no upstream is available or charge returns false.
func (f *Fleet) reserve(crit criteria, avoid string, charge func() bool) (choice, bool) {
	now := boottime.Now()
	s := f.shard(crit.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(&crit, now)
	list.members = slices.DeleteFunc(slices.Clone(list.members), func(m *member) bool {
		return m.ID == avoid || !m.removedAt.IsZero() || m.ejected(now) || m.rejecting(now)
	})
	if len(list.members) == 0 || !charge() {
		return choice{}, false
	}
	crit.begun = true
	return s.chooseFrom(list, len(list.members), crit, now)
}

// startChoice makes the upstream the chosen one and counts the request as in flight there.
func (m *member) startChoice(c *choice, now time.Time) {
	c.upstream, c.entryRevision = m.Upstream, m.revision
	if !m.removedAt.IsZero() {
		c.removedFor = now.Sub(m.removedAt)
	}
	c.load = m.load(now)
	c.loadSource, c.loadAge = m.loadSource(now)
	c.brittle = m.brittleDecision(now)
	c.requests = m.estimatedRequests(now)
	m.startRequest(c)
	m.recordSent(now)
}

// pick returns the candidate that suits the request best.
func (s *shard) pick(list candidateList, c *choice, now time.Time) *member {
	if c.criteria.prompt == nil {
		return s.pickNearest(list.members, c.criteria.zone, now)
	}
	return s.place(list, c, now)
}

// release records the result of a request and no longer counts it as in flight at the upstream.
func (f *Fleet) release(c choice, result attemptResult) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.endRunTime(&c, &result, now)
	m := s.chosenMember(&c)
	if m == nil {
		return
	}
	s.observeRequestTime(now.Sub(c.chosenAt), &result)
	awaitedHead := c.prefill != nil // otherwise, headLoadReceived recorded the load
	m.endRequest(&c)
	if awaitedHead && result.load != "" {
		m.observeStatement(result.load, now)
	}
	m.observeResult(result, now)
}

// candidates returns upstreams that may run the request, without those that were chosen for earlier
// attempts or that fail often. For a service with more than fullScanLimit upstreams it returns a
// sample. For a smaller service, or if no upstream of the sample accepts the request, it considers
// all upstreams, and returns those that were chosen earlier or fail often if no other is left. The
// caller holds the shard's lock.
func (s *shard) candidates(crit *criteria, now time.Time) candidateList {
	if len(s.members) > fullScanLimit {
		if list := s.sampleCandidates(crit, now); len(list.members) > 0 {
			list.members = dropFailing(list.members, now)
			return list
		}
	}
	return candidateList{members: s.allCandidates(crit, now)}
}

func (s *shard) allCandidates(crit *criteria, now time.Time) []*member {
	var list []*member
	for _, m := range s.members {
		if crit.regions.allows(m.Zone) && crit.admitsVersion(m.Version) && m.acceptsRequests(now) {
			list = append(list, m)
		}
	}
	// An upstream whose entry was removed is used only if no listed upstream is left, for example
	// when all entries expired during an outage of the store, or all upstreams of a service are
	// taken away. Such an upstream is probably shutting down.
	list = filterUnlessEmpty(list, func(m *member) bool { return m.removedAt.IsZero() })
	list = filterUnlessEmpty(list, func(m *member) bool { return !slices.Contains(crit.excludedIDs, m.ID) })
	list = filterUnlessEmpty(list, func(m *member) bool { return !m.ejected(now) })
	list = filterUnlessEmpty(list, func(m *member) bool { return !m.rejecting(now) })
	return dropFailing(list, now)
}

// dropFailing returns the upstreams except those whose failure rate is far above the mean.
func dropFailing(list []*member, now time.Time) []*member {
	mean := meanFailureRate(list, now)
	return filterUnlessEmpty(list, func(m *member) bool { return m.currentFailureRate(now) < maxExcessFailureRate+mean })
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

// pickNearest returns the least loaded upstream of the host's availability zone, unless that is
// saturated; then the least loaded one of its region, unless that is saturated; then the least
// loaded one of all.
func (s *shard) pickNearest(list []*member, zone string, now time.Time) *member {
	region := filterUnlessEmpty(list, func(m *member) bool { return s.topology.sameRegion(m.Zone) })
	for _, near := range [][]*member{filterUnlessEmpty(region, func(m *member) bool { return m.Zone == zone }), region} {
		if best := leastLoaded(near, now); best.loadPerSlot(now) < saturatedLoad {
			return best
		}
	}
	return leastLoaded(list, now)
}

func leastLoaded(list []*member, now time.Time) *member {
	// Starting at a random upstream spreads the requests over equally loaded ones.
	start := rand.IntN(len(list))
	best := list[start]
	for i := range list {
		m := list[(start+i)%len(list)]
		if m.loadPerSlot(now) < best.loadPerSlot(now) {
			best = m
		}
	}
	return best
}
