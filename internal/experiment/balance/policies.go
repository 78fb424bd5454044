package balance

import (
	"math/rand/v2"
	"slices"

	choose "github.com/quetzalweir/quetzalweir/balance"
)

// chooser chooses an upstream for a request on one entry host.
type chooser func(pool *choose.Pool, req *choose.Request) (id string, ok bool)

// namedPolicy is a compared policy with its name in the tables.
type namedPolicy struct {
	name string
	// newSelector builds the pool's selector; nil for baselines.
	newSelector func(index *choose.PrefixIndex) *choose.Selector
	// newChooser builds the baseline of one host; nil means that the pool's
	// selector chooses.
	newChooser func(rnd *rand.Rand) chooser
}

// unattempted returns the upstreams of the pool that the request wasn't sent to
// before.
func unattempted(pool *choose.Pool, req *choose.Request) []*choose.Upstream {
	return slices.DeleteFunc(pool.View(), func(u *choose.Upstream) bool {
		return slices.Contains(req.Exclude, u.ID)
	})
}

func random(rnd *rand.Rand) chooser {
	return func(pool *choose.Pool, req *choose.Request) (string, bool) {
		list := unattempted(pool, req)
		return list[rnd.IntN(len(list))].ID, true
	}
}

func roundRobin(rnd *rand.Rand) chooser {
	next := rnd.IntN(1000)
	return func(pool *choose.Pool, req *choose.Request) (string, bool) {
		list := unattempted(pool, req)
		next++
		return list[next%len(list)].ID, true
	}
}

// lowest returns a baseline that chooses the upstream with the lowest value,
// and at random among equals.
func lowest(value func(u *choose.Upstream) int) func(rnd *rand.Rand) chooser {
	return func(rnd *rand.Rand) chooser {
		return func(pool *choose.Pool, req *choose.Request) (string, bool) {
			list := unattempted(pool, req)
			rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			best := slices.MinFunc(list, func(a, b *choose.Upstream) int { return value(a) - value(b) })
			return best.ID, true
		}
	}
}

func ownInFlight(u *choose.Upstream) int      { return u.InFlight }
func reportedRequests(u *choose.Upstream) int { return u.Reported.Running + u.Reported.Queued }

// withoutScorers returns the default chain (the default filters, scorers and
// picker) without the named scorers.
func withoutScorers(names ...string) func(*choose.PrefixIndex) *choose.Selector {
	return func(index *choose.PrefixIndex) *choose.Selector {
		s := choose.NewSelector(index)
		excluded := func(w choose.WeightedScorer) bool { return slices.Contains(names, w.Scorer.Name()) }
		s.AffinityScorers = slices.DeleteFunc(s.AffinityScorers, excluded)
		s.Scorers = slices.DeleteFunc(s.Scorers, excluded)
		return s
	}
}

// withoutLoadBound returns the default chain with a load bound that is never
// reached, so that affinity always applies.
func withoutLoadBound(index *choose.PrefixIndex) *choose.Selector {
	s := choose.NewSelector(index)
	s.AffinityBound = choose.LoadBound{Factor: 1e9}
	return s
}

var (
	fullChain = namedPolicy{name: "default chain", newSelector: defaultChain}
	baselines = []namedPolicy{
		{name: "random", newChooser: random},
		{name: "round robin", newChooser: roundRobin},
		{name: "least own in flight", newChooser: lowest(ownInFlight)},
	}
	chainVariants = []namedPolicy{
		{name: "least reported load", newChooser: lowest(reportedRequests)},
		{name: "chain without affinity", newSelector: withoutScorers("prefix", "session")},
		{name: "chain without prefix", newSelector: withoutScorers("prefix")},
		{name: "chain without session", newSelector: withoutScorers("session")},
		{name: "chain without bound", newSelector: withoutLoadBound},
		{name: "chain without latency", newSelector: withoutScorers("latency")},
	}
)

func defaultChain(index *choose.PrefixIndex) *choose.Selector { return choose.NewSelector(index) }
