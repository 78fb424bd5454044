package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/storage"
)

// saturated is the load per slot above which another availability zone is tried:
// before that the way there costs more than it gains.
const saturated = 1.0

// choice is the upstream that was chosen, and why.
type choice struct {
	upstream Upstream
	// entry is the store's revision of the upstream's entry.
	entry storage.Revision
	// among is the number of upstreams that could have been chosen.
	among int
	// load is the chosen upstream's believed load.
	load float64
	// loadFrom says what the load was believed from, loadAge how old that was.
	loadFrom loadSource
	loadAge  time.Duration
	// reading is what the request asks of the engine; nil once its answer began.
	reading *reading
	// placed is why an engine was chosen for a prompt, ahead the work that was
	// believed to be before it there; kept is how many of the prompt's parts the
	// engine kept.
	placed placement.Choice
	ahead  time.Duration
	kept   int
	// wants is what the choice was made for.
	wants wants
	// at is when it was chosen.
	at time.Time
}

// wants is what a choice depends on.
type wants struct {
	service string
	zone    string
	// prompt is what an engine reads for the model; nil for plain services.
	prompt *placement.Prompt
	model  string
	// price is what operators pay for the model; 0 if they don't say.
	price float64
	// keys name the prompt's leading parts.
	keys []placement.Key
	// priority is the urgency that the upstream is told, rank the operators' one.
	priority int
	rank     int
	// target is the time within which the first event is to come, bytes the size of
	// the body.
	target time.Duration
	bytes  int
	// exclude are upstreams that were tried.
	exclude []string
	// homes are the regions in which the request may run.
	homes homes
	// admits says whether a version may run the request.
	admits func(version string) bool
}

// choose picks an upstream and counts the request as in flight there; the
// caller ends it with release.
func (f *Fleet) choose(w wants) (choice, bool) {
	now := boottime.Now()
	s := f.shard(w.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.Note(w.rank, now)
	list := s.candidates(&w, now, f.removalGrace)
	if len(list.members) == 0 || s.rationed(list, w.rank, now) {
		return choice{}, false
	}
	c := choice{at: now, among: len(list.members), wants: w}
	picked := s.pick(list, &c, now)
	c.upstream, c.entry = picked.Upstream, picked.revision
	c.load = picked.load(now)
	c.loadFrom, c.loadAge = picked.loadSource(now)
	picked.begin(&c)
	picked.noteSent(now)
	return c, true
}

// pick takes the upstream that suits the request best.
func (s *shard) pick(list candidateList, c *choice, now time.Time) *member {
	if c.wants.prompt == nil {
		return s.pickNear(list.members, c.wants.zone, now)
	}
	return s.place(list, c, now)
}

// release ends a request that choose counted.
func (f *Fleet) release(c choice, result attemptResult) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosen(&c)
	if m == nil {
		return
	}
	now := boottime.Now()
	s.noteHeld(now.Sub(c.at))
	m.end(&c)
	m.observe(result, now)
}

// candidates are upstreams that may take the request: some of those in service, without
// the ones that were tried or do badly. Where the service is small, or none of the few
// looked at takes it, they are all, and the ones that were tried or do badly if no other is
// left.
func (s *shard) candidates(w *wants, now time.Time, grace time.Duration) candidateList {
	if len(s.members) > lookAtAll {
		if list := s.some(w, now, grace); len(list.members) > 0 {
			list.members = keepSound(list.members, now)
			return list
		}
	}
	return candidateList{members: s.allCandidates(w, now, grace)}
}

func (s *shard) allCandidates(w *wants, now time.Time, grace time.Duration) []*member {
	var list []*member
	for _, m := range s.members {
		if w.homes.allow(m.Zone) && w.admits(m.Version) && m.open(now, grace) {
			list = append(list, m)
		}
	}
	// An upstream whose entry vanished is used only where no listed one is left, as when
	// all entries lapsed with the store. It may be leaving, and it does so earlier than its
	// grace ends here: a host hears of the entry's end up to a second late.
	list = keepUnlessNone(list, func(m *member) bool { return m.removedAt.IsZero() })
	list = keepUnlessNone(list, func(m *member) bool { return !slices.Contains(w.exclude, m.ID) })
	list = keepUnlessNone(list, func(m *member) bool { return !m.ejected(now) })
	return keepSound(list, now)
}

// keepSound leaves out the upstreams that fail much more than the others.
func keepSound(list []*member, now time.Time) []*member {
	mean := meanFailures(list, now)
	return keepUnlessNone(list, func(m *member) bool { return m.failures(now) < ejectRate+mean })
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

// pickNear takes the least loaded upstream of the host's availability zone while there is
// room, then of its region.
func (s *shard) pickNear(list []*member, zone string, now time.Time) *member {
	region := keepUnlessNone(list, func(m *member) bool { return s.geography.near(m.Zone) })
	for _, near := range [][]*member{keepUnlessNone(region, func(m *member) bool { return m.Zone == zone }), region} {
		if best := leastLoaded(near, now); best.relativeLoad(now) < saturated {
			return best
		}
	}
	return leastLoaded(list, now)
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
