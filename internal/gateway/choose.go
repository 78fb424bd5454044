package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// boundFactor and boundSlack limit how far an upstream's load may be above
	// the mean of its zone for a request that follows its prompt's cache there.
	// Waiting behind one long prompt costs more than reading a short one again: a
	// slack of 4 made 5% more reports late than 0 to 1 on loaded days.
	boundFactor = 1.25
	boundSlack  = 0.5
	// saturated is the load per slot above which another availability zone is
	// tried: before that the way there costs more than it gains.
	saturated = 1.0
)

// choice is the upstream that was chosen, and why.
type choice struct {
	upstream Upstream
	// among is the number of upstreams that could have been chosen.
	among int
	// load is the chosen upstream's believed load, rank its place in the order
	// of the prompt's affinity, 0 without one.
	load float64
	rank int
	// loadFrom says what the load was believed from, loadAge how old that was.
	loadFrom loadSource
	loadAge  time.Duration
	// work is what the request asks of the upstream now.
	work float64
	// at is when it was chosen.
	at time.Time
}

// wants is what a choice depends on.
type wants struct {
	service string
	zone    string
	// subject is what the prompt shares with others; empty without affinity.
	subject string
	// cost is what the request's prompt costs; 0 if unknown.
	cost float64
	// exclude are upstreams that were tried.
	exclude []string
	// admits says whether a version may run the request.
	admits func(version string) bool
}

// choose picks an upstream and counts the request as in flight there; the
// caller ends it with release.
func (f *Fleet) choose(w wants) (choice, bool) {
	now := time.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(w, now, f.removalGrace)
	if len(list) == 0 {
		return choice{}, false
	}
	picked, rank := pick(list, w, now)
	c := choice{at: now, upstream: picked.Upstream, among: len(list), load: picked.load(now), rank: rank}
	c.loadFrom, c.loadAge = picked.loadSource(now)
	c.work = s.weigh(w.cost)
	picked.inFlight++
	picked.work += c.work
	return c, true
}

// release ends a request that choose counted.
func (f *Fleet) release(c choice, result attemptResult) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[c.upstream.ID]
	if m == nil {
		return
	}
	m.inFlight--
	now := time.Now()
	s.noteHeld(now.Sub(c.at))
	m.work -= c.work
	if m.inFlight == 0 {
		m.work = 0 // no rest of rounding
	}
	m.observe(result, now)
}

// candidates are the upstreams that may take the request: those in service,
// without the ones that were tried or do badly, unless none is left then.
func (s *shard) candidates(w wants, now time.Time, grace time.Duration) []*member {
	var list []*member
	for _, m := range s.members {
		if m.takesWork(now, grace) && w.admits(m.Version) {
			list = append(list, m)
		}
	}
	list = keepUnlessNone(list, func(m *member) bool { return !slices.Contains(w.exclude, m.ID) })
	list = keepUnlessNone(list, func(m *member) bool { return now.After(m.ejectedUntil) })
	mean := meanFailures(list, now)
	list = keepUnlessNone(list, func(m *member) bool { return m.failures(now) < ejectRate+mean })
	// Those that the store still lists go before those whose entry lapsed.
	return keepUnlessNone(list, func(m *member) bool { return m.removedAt.IsZero() })
}

func meanFailures(list []*member, now time.Time) float64 {
	sum := 0.0
	for _, m := range list {
		sum += m.failures(now)
	}
	return sum / float64(max(1, len(list)))
}

func keepUnlessNone(list []*member, keep func(*member) bool) []*member {
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

// pick prefers this host's availability zone while it has room there.
func pick(list []*member, w wants, now time.Time) (*member, int) {
	local := keepUnlessNone(list, func(m *member) bool { return m.Zone == w.zone })
	best, rank := pickWithin(local, w, now)
	if best.relativeLoad(now) < saturated || len(local) == len(list) {
		return best, rank
	}
	return pickWithin(list, w, now)
}

func pickWithin(list []*member, w wants, now time.Time) (*member, int) {
	if w.subject == "" {
		return leastLoaded(list, now), 0
	}
	return byAffinity(list, w.subject, now)
}

func leastLoaded(list []*member, now time.Time) *member {
	// A random start spreads ties.
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

// byAffinity takes the first upstream in the subject's rendezvous order whose
// load is within the bound. All hosts of a zone come to the same order without
// talking to each other.
func byAffinity(list []*member, subject string, now time.Time) (*member, int) {
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b *member) int {
		return cmp.Compare(hash(subject, b.ID), hash(subject, a.ID))
	})
	total := 0.0
	for _, m := range order {
		total += m.load(now)
	}
	bound := boundFactor*total/float64(len(order)) + boundSlack
	for i, m := range order {
		if m.load(now) <= bound {
			return m, i
		}
	}
	return leastLoaded(list, now), len(order)
}
