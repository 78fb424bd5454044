package balance

import (
	"math/rand/v2"
	"slices"

	choose "github.com/quetzalweir/quetzalweir/balance"
)

// chooser chooses on one entry host.
type chooser func(pool *choose.Pool, req *choose.Request) (id string, ok bool)

// contender is a policy under its name in the tables.
type contender struct {
	name string
	// selector is the pool's chain; nil for baselines.
	selector func(pool *choose.PrefixIndex) *choose.Selector
	// chooser makes the baseline of one host; nil means the pool's chain.
	chooser func(rnd *rand.Rand) chooser
}

// open returns the members that haven't been tried.
func open(pool *choose.Pool, req *choose.Request) []*choose.Upstream {
	return slices.DeleteFunc(pool.View(), func(u *choose.Upstream) bool {
		return slices.Contains(req.Exclude, u.ID)
	})
}

func random(rnd *rand.Rand) chooser {
	return func(pool *choose.Pool, req *choose.Request) (string, bool) {
		list := open(pool, req)
		return list[rnd.IntN(len(list))].ID, true
	}
}

func roundRobin(rnd *rand.Rand) chooser {
	next := rnd.IntN(1000)
	return func(pool *choose.Pool, req *choose.Request) (string, bool) {
		list := open(pool, req)
		next++
		return list[next%len(list)].ID, true
	}
}

// least makes a baseline that takes the lowest value; ties go at random.
func least(value func(u *choose.Upstream) int) func(rnd *rand.Rand) chooser {
	return func(rnd *rand.Rand) chooser {
		return func(pool *choose.Pool, req *choose.Request) (string, bool) {
			list := open(pool, req)
			rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			best := slices.MinFunc(list, func(a, b *choose.Upstream) int { return value(a) - value(b) })
			return best.ID, true
		}
	}
}

func ownInFlight(u *choose.Upstream) int { return u.InFlight }
func reported(u *choose.Upstream) int    { return u.Reported.Running + u.Reported.Queued }

// without returns the default chain without some of its affinity scorers.
func without(names ...string) func(*choose.PrefixIndex) *choose.Selector {
	return func(index *choose.PrefixIndex) *choose.Selector {
		s := choose.NewSelector(index)
		drop := func(w choose.Weighted) bool { return slices.Contains(names, w.Scorer.Name()) }
		s.Affinity = slices.DeleteFunc(s.Affinity, drop)
		s.Scorers = slices.DeleteFunc(s.Scorers, drop)
		return s
	}
}

// unbounded is the default chain without the bound on affinity.
func unbounded(index *choose.PrefixIndex) *choose.Selector {
	s := choose.NewSelector(index)
	s.Bound = choose.LoadBound{Factor: 1e9}
	return s
}

var (
	chain     = contender{name: "default chain", selector: defaultChain}
	baselines = []contender{
		{name: "random", chooser: random},
		{name: "round robin", chooser: roundRobin},
		{name: "least own in flight", chooser: least(ownInFlight)},
	}
	variants = []contender{
		{name: "least reported load", chooser: least(reported)},
		{name: "chain without affinity", selector: without("prefix", "session")},
		{name: "chain without prefix", selector: without("prefix")},
		{name: "chain without session", selector: without("session")},
		{name: "chain without bound", selector: unbounded},
		{name: "chain without latency", selector: without("latency")},
	}
)

func defaultChain(index *choose.PrefixIndex) *choose.Selector { return choose.NewSelector(index) }
