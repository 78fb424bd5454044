package placement

import (
	"slices"
	"time"
)

// Request describes a request for which an engine is selected.
type Request struct {
	Model  string
	Prompt *Prompt
	// Target is the target for the time to the first event; 0 means none.
	Target time.Duration
	// ZoneCost is the cost of sending the request to another availability zone; RegionCost is
	// added for another region.
	ZoneCost   time.Duration
	RegionCost time.Duration
	// Random is a random number in [0, 1), which decides whether the request prefers an owner
	// in this zone.
	Random float64
}

// Candidate is an engine that can serve the request.
type Candidate struct {
	// QueuedWork is the queued work that the engine finishes before it prefills this prompt.
	QueuedWork time.Duration
	// OtherZone reports whether the engine is in another availability zone.
	OtherZone bool
	// OtherRegion reports whether the engine is in another region.
	OtherRegion bool
	// CachedParts is the number of leading parts of the prompt that the engine caches.
	CachedParts int
	// FetchableParts is the number of leading parts of the prompt that the engine could have after
	// fetching, from another engine, those that it doesn't cache; 0 if it can't fetch any. FetchTime
	// is how long that transfer takes. It takes none of the engine's time.
	FetchableParts int
	FetchTime      time.Duration
	// Slowdown is the engine's slowdown factor; 0 means unknown and counts as 1. QueuedWork is
	// scaled by it already.
	Slowdown float64
	// UnseenWork is a random draw of the work that other hosts sent to the engine and haven't
	// reported (DrawUnseen). It counts in the engine's cost, so that hosts with the same data spread
	// over the engines, and not in the expected time.
	UnseenWork time.Duration
	// SlotWait is the expected time until the engine has a free batch slot. LacksMemory reports
	// whether its KV cache has no room for the request.
	SlotWait    time.Duration
	LacksMemory bool
	// OwnerRank ranks the engine for the prompt's shared parts, identically on all hosts; the
	// engine with the highest rank is the owner of the parts.
	OwnerRank uint64
}

// Choice is the selected engine and the expected times of the request.
type Choice struct {
	// Index is the engine's index in the list of candidates.
	Index int
	// ExpectedTime is the expected time to the first event.
	ExpectedTime time.Duration
	// ExpectedUnqueued is the expected time to the first event without queued work.
	// PrefillTime is the portion of it during which the engine works on this prompt alone and
	// other prompts wait: the prefill and the minimum overhead.
	ExpectedUnqueued time.Duration
	PrefillTime      time.Duration
	// UncachedTokens is the number of tokens to prefill.
	UncachedTokens int
	// FetchedTokens is the number of tokens to fetch from another engine before the prefill, and
	// FetchTime how long that takes; both are 0 if nothing is to be fetched.
	FetchedTokens int
	FetchTime     time.Duration
	// fetchCost is the cost of the transfer: its time and a part of its price.
	fetchCost time.Duration
	// IsOwner reports whether the engine is the owner of the prompt's shared parts.
	IsOwner bool
	// work is PrefillTime at the mean engine.
	work time.Duration
}

// defaultTarget is used for requests without a target.
const defaultTarget = 2 * time.Second

// Place selects the engine with the lowest cost. The list must not be empty.
//
// The cost of an engine is a time: its prefill work for the request, the cost of the latency,
// which is small far below the target and counts in full at the target, and the cost of
// another zone or region. An engine that can fetch parts of the prompt from another one has the
// time and a part of the price of the transfer as costs instead of the prefill of these parts, if the
// transfer takes less time. If an owner in this zone is preferred, its cost doesn't include the
// prefill of the shared parts, because later requests reuse it. At equal costs the engine with
// the higher rank is selected, so that all hosts select the same engine without communication.
// An engine that lacks memory for the request is selected only if all do.
func Place(estimator *PrefillEstimator, r *Request, candidates []Candidate) Choice {
	local := r.prefersLocalOwner(estimator)
	owner := findOwner(candidates, local)
	best := Choice{Index: -1}
	lowestCost := time.Duration(0)
	anyHasMemory := slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.LacksMemory })
	for i := range candidates {
		if candidates[i].LacksMemory && anyHasMemory {
			continue
		}
		c := r.evaluate(estimator, &candidates[i])
		c.Index, c.IsOwner = i, i == owner
		cost := r.cost(&c, &candidates[i])
		if local && c.IsOwner {
			cost -= r.sharedPartsCost(estimator, &candidates[i], &c)
		}
		if best.Index < 0 || cost < lowestCost || cost == lowestCost && candidates[i].OwnerRank > candidates[best.Index].OwnerRank {
			best, lowestCost = c, cost
		}
	}
	return best
}

func (r *Request) evaluate(estimator *PrefillEstimator, c *Candidate) Choice {
	uncached := r.Prompt.uncachedTokens(c.CachedParts)
	slowdown := BoundSlowdown(c.Slowdown)
	choice := r.fetch(estimator, c, uncached, slowdown)
	uncached -= choice.FetchedTokens
	unqueued := choice.FetchTime + scale(estimator.TimeToFirstEvent(r.Model, uncached), slowdown)
	choice.ExpectedTime, choice.ExpectedUnqueued = c.QueuedWork+c.SlotWait+unqueued, unqueued
	choice.work = overhead + estimator.PrefillTime(r.Model, uncached)
	choice.PrefillTime, choice.UncachedTokens = scale(choice.work, slowdown), uncached
	return choice
}

// fetchPriceShare is the part of the price of a fetch, as a fraction of the prefill time of the
// fetched tokens, that counts as a cost. Operators pay for a fetched token about as much as for a
// prefilled one. Without the price, requests would leave the engine that caches their part for a
// saving of milliseconds that callers don't notice; with a large part of it, they would stay at
// an engine that is overloaded.
const fetchPriceShare = 0.1

// fetch returns a choice with what the engine is to fetch of the given number of tokens that it
// doesn't cache: nothing if prefilling them takes no longer, since a fetch must save engine time.
func (r *Request) fetch(estimator *PrefillEstimator, c *Candidate, uncached int, slowdown float64) Choice {
	if c.FetchableParts <= c.CachedParts {
		return Choice{}
	}
	tokens := uncached - r.Prompt.uncachedTokens(c.FetchableParts)
	saved := estimator.PrefillTime(r.Model, tokens)
	if tokens <= 0 || c.FetchTime >= scale(saved, slowdown) {
		return Choice{}
	}
	return Choice{FetchedTokens: tokens, FetchTime: c.FetchTime, fetchCost: c.FetchTime + time.Duration(fetchPriceShare*float64(saved))}
}

func (r *Request) cost(choice *Choice, c *Candidate) time.Duration {
	// The work counts as at the mean engine, since a slow engine's time is worth less. The wait for
	// a slot counts in full besides the latency: if the engine preempts a less urgent request for
	// this one, that request waits.
	cost := choice.work + choice.fetchCost + c.SlotWait + r.latencyCost(choice.ExpectedTime+c.UnseenWork)
	if c.OtherZone {
		cost += r.ZoneCost
	}
	if c.OtherRegion {
		cost += r.RegionCost
	}
	return cost
}

// sharedPartsCost returns the cost of the shared parts that the engine doesn't cache: their prefill
// time, and the cost of the transfer of those that it fetches by the choice.
func (r *Request) sharedPartsCost(estimator *PrefillEstimator, c *Candidate, choice *Choice) time.Duration {
	parts := c.CachedParts
	if choice.FetchedTokens > 0 {
		parts = c.FetchableParts
	}
	return choice.fetchCost + estimator.PrefillTime(r.Model, r.Prompt.uncachedSharedTokens(parts))
}

// latencyCost returns the cost of a time to the first event. It is quadratic, because latency
// matters to callers only near the target: a tenth of the target costs a hundredth of it.
func (r *Request) latencyCost(expected time.Duration) time.Duration {
	target := r.Target
	if target <= 0 {
		target = defaultTarget
	}
	return time.Duration(float64(expected) * float64(expected) / float64(target))
}

// prefersLocalOwner reports whether the owner of the shared parts is chosen among the engines
// of this zone only, which matters if the owner among all engines is in another zone. Sending
// to that owner costs ZoneCost for each request; a prefill in this zone costs its time once,
// after which the parts are cached here. The result is true with a probability of ZoneCost
// divided by the prefill time of the shared parts, so that the requests sent to another zone
// before that prefill are expected to cost about as much as the prefill itself. Parts that are
// frequent or fast to prefill are therefore soon cached in each zone, and long, rare parts stay
// with their owner among all engines.
func (r *Request) prefersLocalOwner(estimator *PrefillEstimator) bool {
	prefill := float64(estimator.PrefillTime(r.Model, r.Prompt.uncachedSharedTokens(0)))
	return r.Random*prefill < float64(r.ZoneCost)
}

// findOwner returns the index of the engine with the highest rank for the shared parts. If
// local is set, it considers engines of this zone only, unless there are none.
func findOwner(candidates []Candidate, local bool) int {
	best := -1
	for i := range candidates {
		if local && candidates[i].OtherZone {
			continue
		}
		if best < 0 || candidates[i].OwnerRank > candidates[best].OwnerRank {
			best = i
		}
	}
	if best < 0 {
		return findOwner(candidates, false)
	}
	return best
}
