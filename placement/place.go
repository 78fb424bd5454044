package placement

import "time"

// Request describes a request for which an engine is selected.
type Request struct {
	Model  string
	Prompt *Prompt
	// Target is the target for the time to the first event; 0 means none.
	Target time.Duration
	// Way is the cost of sending the request to another availability zone; RegionWay is added
	// for another region.
	Way       time.Duration
	RegionWay time.Duration
	// Draw is a random number in [0, 1).
	Draw float64
}

// Candidate is an engine that can serve the request.
type Candidate struct {
	// Ahead is the queued work that the engine finishes before it prefills this prompt.
	Ahead time.Duration
	// Far reports whether the engine is in another availability zone.
	Far bool
	// Abroad reports whether the engine is in another region.
	Abroad bool
	// Kept is the number of leading parts of the prompt that the engine caches.
	Kept int
	// Order ranks the engine for the prompt's shared parts, identically on all hosts; the
	// highest rank is the owner.
	Order uint64
}

// Choice is the selected engine and the expected times of the request.
type Choice struct {
	// Index is the engine's index in the list of candidates.
	Index int
	// Expected is the expected time to the first event.
	Expected time.Duration
	// Alone is the expected time to the first event without queued work. Reading is the
	// portion of it during which the engine works on this prompt alone and other prompts
	// wait: the prefill and the least overhead.
	Alone   time.Duration
	Reading time.Duration
	// Missing is the number of tokens to prefill.
	Missing int
	// Owner reports whether the engine is the owner of the prompt's shared parts.
	Owner bool
}

// defaultTarget is used for requests without a target.
const defaultTarget = 2 * time.Second

// Place selects the engine with the lowest cost. The list must not be empty.
//
// The cost of an engine is a time: its prefill work for the request, the cost of the latency,
// which is small far below the target and counts in full at the target, and the cost of
// another zone or region. At equal costs the engine with the higher rank is selected, so that
// all hosts select the same engine without communication.
func Place(rates *Rates, r *Request, list []Candidate) Choice {
	local := r.prefersLocalOwner(rates)
	ownerIndex := findOwner(list, local)
	best := Choice{Index: -1}
	lowest := time.Duration(0)
	for i := range list {
		c := r.evaluate(rates, &list[i])
		c.Index, c.Owner = i, i == ownerIndex
		cost := r.cost(&c, &list[i])
		if local && c.Owner {
			cost -= r.sharedPrefillTime(rates, &list[i]) // later requests reuse this prefill
		}
		if best.Index < 0 || cost < lowest || cost == lowest && list[i].Order > list[best.Index].Order {
			best, lowest = c, cost
		}
	}
	return best
}

func (r *Request) evaluate(rates *Rates, c *Candidate) Choice {
	uncached := r.Prompt.uncachedTokens(c.Kept)
	unloaded := rates.TimeToFirstEvent(r.Model, uncached)
	return Choice{Expected: c.Ahead + unloaded, Alone: unloaded, Reading: overhead + rates.PrefillTime(r.Model, uncached), Missing: uncached}
}

func (r *Request) cost(choice *Choice, c *Candidate) time.Duration {
	cost := choice.Reading + r.latencyCost(choice.Expected)
	if c.Far {
		cost += r.Way
	}
	if c.Abroad {
		cost += r.RegionWay
	}
	return cost
}

// sharedPrefillTime returns the prefill time of the shared parts that the engine doesn't cache.
func (r *Request) sharedPrefillTime(rates *Rates, c *Candidate) time.Duration {
	return rates.PrefillTime(r.Model, r.Prompt.uncachedSharedTokens(c.Kept))
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
// of this zone only, which matters if the owner among all engines is in another zone.
// Requests to another zone cost Way each time; a prefill in this zone costs once, after which
// the parts are cached here. The probability of a local owner is the ratio of Way to the
// prefill time, so that the expected total cost of remote requests is about one prefill: small
// for parts that are frequent or fast to prefill, and large only for long, rare parts.
func (r *Request) prefersLocalOwner(rates *Rates) bool {
	prefill := float64(rates.PrefillTime(r.Model, r.Prompt.uncachedSharedTokens(0)))
	return r.Draw*prefill < float64(r.Way)
}

// findOwner returns the index of the engine with the highest rank for the shared parts. If
// local is set, it considers engines of this zone only, unless there are none.
func findOwner(list []Candidate, local bool) int {
	best := -1
	for i := range list {
		if local && list[i].Far {
			continue
		}
		if best < 0 || list[i].Order > list[best].Order {
			best = i
		}
	}
	if best < 0 {
		return findOwner(list, false)
	}
	return best
}
