package guard

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// recentKept is how long a run is remembered that is over: another host's word that the
	// upstream ended comes over two hubs.
	recentKept = 3 * time.Second
	// lingering is how long a run that this host gave up may go on at its upstream: the
	// upstream notices the closed connection late, and an engine that was given a prompt
	// can end by it up to 0.1 s after its answer was dropped.
	lingering = time.Second
	// aftermath is the same for a run that the upstream finished: short ones are over before
	// what they brought about ends it.
	aftermath = 300 * time.Millisecond
	// sameEnd is the time after an upstream's end in which answers still arrive that it made
	// before.
	sameEnd = time.Second
	// endedKept is how long the end of an upstream is remembered for answers whose end
	// is noticed late.
	endedKept = 5 * time.Second
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	// Incarnation names the incarnation, the same on all hosts.
	Incarnation quarantine.Incarnation
}

// Outcome is how a request's attempt at an upstream ended.
type Outcome int

const (
	// Answered: the upstream ran the request to a complete answer, a failure included.
	Answered Outcome = iota
	// NotRun: the upstream didn't run it.
	NotRun
	// Unreachable: nothing listened at the upstream's address.
	Unreachable
	// Broken: it was sent and the connection ended without a complete answer.
	Broken
	// GivenUp: this host ended the attempt, or waited no longer; the run may go on.
	GivenUp
)

// exposures keep which requests run at each upstream, and notice when an upstream ends.
type exposures struct {
	// ended is told of an upstream that ended so long ago, with what this host had there.
	ended func(u Upstream, ago time.Duration, runs []endedRun)
	// survived is told of a request whose run an upstream outlived.
	survived func(d quarantine.Digest)
	// suspected says whether an upstream ended with the request before.
	suspected func(d quarantine.Digest) bool
	log       zerolog.Logger

	mu        sync.Mutex
	upstreams map[quarantine.Incarnation]*exposure
	// answered are the runs of which it isn't known yet whether their upstreams outlive
	// them, the oldest first.
	answered []answeredRun
}

// answeredRun is a run that was answered, and its upstream.
type answeredRun struct {
	exposure *exposure
	recentRun
}

// exposure is what this host sent to one incarnation of an upstream.
type exposure struct {
	upstream Upstream
	running  map[quarantine.Digest]runs
	// recent are runs that are over for this host: given up, broken off or answered.
	recent []recentRun
	// checking says that a look at the upstream is under way, since when.
	checking bool
	lookedAt time.Time
	// endedAt is when the upstream was found to have ended; zero before.
	endedAt time.Time
}

// runs are those of one request at an upstream: how many, and when the first began.
type runs struct {
	count int
	began time.Time
}

// recentRun is a run that is over, since when, and how long after that it may end its
// upstream.
type recentRun struct {
	digest quarantine.Digest
	began  time.Time
	at     time.Time
	after  time.Duration
}

// endedRun is a run that an upstream may have ended by, and for how long it had been there.
type endedRun struct {
	digest quarantine.Digest
	ran    time.Duration
}

func newExposures(log zerolog.Logger) *exposures {
	return &exposures{
		ended: func(Upstream, time.Duration, []endedRun) {}, survived: func(quarantine.Digest) {},
		suspected: func(quarantine.Digest) bool { return false }, log: log, upstreams: make(map[quarantine.Incarnation]*exposure),
	}
}

// begin notes that a request is sent to an upstream.
func (e *exposures) begin(u Upstream, d quarantine.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.upstreams[u.Incarnation]
	if x == nil {
		x = &exposure{upstream: u, running: make(map[quarantine.Digest]runs)}
		e.upstreams[u.Incarnation] = x
	}
	if !x.endedAt.IsZero() && boottime.Since(x.endedAt) > sameEnd {
		x.endedAt, x.recent = time.Time{}, nil // it may have started again under its name
	}
	r := x.running[d]
	if r.count++; r.count == 1 {
		r.began = boottime.Now()
	}
	x.running[d] = r
}

// end notes how the request's attempt there ended.
func (e *exposures) end(u Upstream, d quarantine.Digest, how Outcome) {
	e.mu.Lock()
	x := e.upstreams[u.Incarnation]
	if x == nil {
		e.mu.Unlock()
		return
	}
	r := x.running[d]
	if r.count--; r.count <= 0 {
		delete(x.running, d)
	} else {
		x.running[d] = r
	}
	switch how {
	case Broken:
		x.over(d, r.began, lingering)
		e.look(x)
	case GivenUp:
		x.over(d, r.began, lingering)
	case Unreachable:
		if x.exposed() {
			e.look(x)
		}
	case Answered:
		e.answered = append(e.answered, answeredRun{exposure: x, recentRun: x.over(d, r.began, aftermath)})
	}
	late, ago := x.takeLate()
	e.mu.Unlock()
	if len(late) > 0 {
		e.ended(u, ago, late)
	}
}

// over notes a run that is over for this host. The lock is held.
func (x *exposure) over(d quarantine.Digest, began time.Time, after time.Duration) recentRun {
	run := recentRun{digest: d, began: began, at: boottime.Now(), after: after}
	x.recent = append(x.recent, run)
	return run
}

// exposed says whether anything of this host's may run there. The lock is held.
func (x *exposure) exposed() bool {
	x.dropOld()
	return len(x.running)+len(x.recent) > 0
}

// dropOld forgets runs that were over long ago. The lock is held.
func (x *exposure) dropOld() {
	x.recent = slices.DeleteFunc(x.recent, func(run recentRun) bool { return boottime.Since(run.at) > recentKept })
}

// take returns the runs that are over and may have ended it, one a request, and forgets
// these. What still runs there will break off and is taken then, unless it is on its way
// only. The lock is held.
func (x *exposure) take() []endedRun {
	longest := make(map[quarantine.Digest]time.Duration)
	for _, run := range x.recent {
		if x.endedAt.Sub(run.at) <= run.after {
			longest[run.digest] = max(longest[run.digest], x.endedAt.Sub(run.began))
		}
	}
	x.recent = nil
	list := make([]endedRun, 0, len(longest))
	for d, ran := range longest {
		list = append(list, endedRun{digest: d, ran: ran})
	}
	return list
}

// takeLate returns what is found to have broken off after the upstream's end was noticed,
// and how long ago that end was. The lock is held.
func (x *exposure) takeLate() ([]endedRun, time.Duration) {
	if x.endedAt.IsZero() || len(x.recent) == 0 {
		return nil, 0
	}
	return x.take(), boottime.Since(x.endedAt)
}

// hasEnded says whether the upstream is known to have ended.
func (e *exposures) hasEnded(u Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.upstreams[u.Incarnation]
	return x != nil && !x.endedAt.IsZero()
}

// sweep forgets upstreams at which nothing of this host's runs.
func (e *exposures) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, x := range e.upstreams {
		old := x.endedAt.IsZero() || boottime.Since(x.endedAt) > endedKept
		if old && !x.checking && !x.exposed() {
			delete(e.upstreams, name)
		}
	}
}
