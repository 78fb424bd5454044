package guard

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
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
	// survivalWait is the time after an answer from which its upstream counts as having
	// survived the run: another host's word that it ended has come by then.
	survivalWait = 600 * time.Millisecond
	// breakGather is the time in which the answers that one upstream breaks off are
	// gathered before it is looked at: the end of a process breaks all within 2 ms.
	breakGather = 5 * time.Millisecond
	// checkTimeout bounds the look at an upstream that broke answers off. A process
	// that ended refuses connections at once; where nothing comes back, the upstream may
	// live behind a cut.
	checkTimeout = 250 * time.Millisecond
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
	// Life names the incarnation, the same on all hosts.
	Life quarantine.Life
}

// Ending is how a request's attempt at an upstream ended.
type Ending int

const (
	// Answered: the upstream ran the request to a complete answer, a failure included.
	Answered Ending = iota
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
	// ended is told of an upstream that ended so long ago, with the digests of what this
	// host had running there.
	ended func(u Upstream, ago time.Duration, digests []quarantine.Digest)
	// survived is told of a request whose run an upstream outlived.
	survived func(d quarantine.Digest)
	// suspected says whether an upstream ended with the request before.
	suspected func(d quarantine.Digest) bool
	log       zerolog.Logger

	mu    sync.Mutex
	lives map[quarantine.Life]*life
	// answered are the runs of which it isn't known yet whether their upstreams outlive
	// them, the oldest first.
	answered []answeredRun
}

// answeredRun is a run that was answered, and its upstream.
type answeredRun struct {
	life *life
	recentRun
}

// life is what this host sent to one incarnation of an upstream.
type life struct {
	upstream Upstream
	running  map[quarantine.Digest]int
	// recent are runs that are over for this host: given up, broken off or answered.
	recent []recentRun
	// checking says that a look at the upstream is under way.
	checking bool
	// endedAt is when the upstream was found to have ended; zero before.
	endedAt time.Time
}

// recentRun is a run that is over, since when, and how long after that it may end its
// upstream.
type recentRun struct {
	digest quarantine.Digest
	at     time.Time
	after  time.Duration
}

func newExposures(log zerolog.Logger) *exposures {
	return &exposures{
		ended: func(Upstream, time.Duration, []quarantine.Digest) {}, survived: func(quarantine.Digest) {},
		suspected: func(quarantine.Digest) bool { return false }, log: log, lives: make(map[quarantine.Life]*life),
	}
}

// begin notes that a request is sent to an upstream.
func (e *exposures) begin(u Upstream, d quarantine.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lives[u.Life]
	if l == nil {
		l = &life{upstream: u, running: make(map[quarantine.Digest]int)}
		e.lives[u.Life] = l
	}
	l.running[d]++
}

// end notes how the request's attempt there ended.
func (e *exposures) end(u Upstream, d quarantine.Digest, how Ending) {
	e.mu.Lock()
	l := e.lives[u.Life]
	if l == nil {
		e.mu.Unlock()
		return
	}
	if l.running[d]--; l.running[d] <= 0 {
		delete(l.running, d)
	}
	switch how {
	case Broken:
		l.over(d, lingering)
		e.look(l)
	case GivenUp:
		l.over(d, lingering)
	case Unreachable:
		if l.exposed() {
			e.look(l)
		}
	case Answered:
		if boottime.Since(l.endedAt) > sameEnd {
			l.endedAt = time.Time{} // it lives
		}
		e.answered = append(e.answered, answeredRun{life: l, recentRun: l.over(d, aftermath)})
	}
	late, ago := l.takeLate()
	e.mu.Unlock()
	if len(late) > 0 {
		e.ended(u, ago, late)
	}
}

// over notes a run that is over for this host. The lock is held.
func (l *life) over(d quarantine.Digest, after time.Duration) recentRun {
	run := recentRun{digest: d, at: boottime.Now(), after: after}
	l.recent = append(l.recent, run)
	return run
}

// settle tells of the requests whose upstreams outlived them. Where an upstream ended with
// the request before, it is asked.
func (e *exposures) settle() {
	for _, run := range e.due() {
		if e.hasEnded(run.life.upstream) {
			continue // by what another of them showed
		}
		if e.suspected(run.digest) && refuses(run.life.upstream.Address) {
			e.mu.Lock()
			run.life.endedAt = run.at
			digests := run.life.take()
			e.mu.Unlock()
			e.ended(run.life.upstream, boottime.Since(run.at), digests)
			continue
		}
		e.survived(run.digest)
	}
}

// due takes the runs that were answered long enough ago and whose upstreams aren't known to
// have ended.
func (e *exposures) due() []answeredRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for n < len(e.answered) && boottime.Since(e.answered[n].at) >= survivalWait {
		n++
	}
	due := slices.Clone(e.answered[:n])
	e.answered = slices.Delete(e.answered, 0, n)
	return slices.DeleteFunc(due, func(run answeredRun) bool { return !run.life.endedAt.IsZero() })
}

// exposed says whether anything of this host's may run there. The lock is held.
func (l *life) exposed() bool {
	l.dropOld()
	return len(l.running)+len(l.recent) > 0
}

// dropOld forgets runs that were over long ago. The lock is held.
func (l *life) dropOld() {
	l.recent = slices.DeleteFunc(l.recent, func(run recentRun) bool { return boottime.Since(run.at) > recentKept })
}

// take returns the digests of all that may have ended it, and forgets those that are over.
// The lock is held.
func (l *life) take() []quarantine.Digest {
	digests := slices.Collect(maps.Keys(l.running))
	for _, run := range l.recent {
		if l.endedAt.Sub(run.at) <= run.after && !slices.Contains(digests, run.digest) {
			digests = append(digests, run.digest)
		}
	}
	l.recent = nil
	return digests
}

// takeLate returns what is found to have broken off after the upstream's end was noticed,
// and how long ago that end was. The lock is held.
func (l *life) takeLate() ([]quarantine.Digest, time.Duration) {
	if l.endedAt.IsZero() || len(l.recent) == 0 {
		return nil, 0
	}
	return l.take(), boottime.Since(l.endedAt)
}

// look finds out whether the upstream ended, unless that is under way or known. The lock is
// held.
func (e *exposures) look(l *life) {
	if l.checking || !l.endedAt.IsZero() {
		return
	}
	l.checking = true
	time.AfterFunc(breakGather, func() { e.check(l) })
}

// check asks the upstream for a connection. Other requests that go on there show that it
// lives, and spare the connection.
func (e *exposures) check(l *life) {
	e.mu.Lock()
	others := len(l.running)
	e.mu.Unlock()
	broke := boottime.Now()
	gone := others == 0 && refuses(l.upstream.Address)
	e.mu.Lock()
	l.checking = false
	var digests []quarantine.Digest
	if gone {
		l.endedAt = broke
		digests = l.take()
	}
	e.mu.Unlock()
	e.log.Warn().Str("event", "upstream-checked").Str("upstream", l.upstream.ID).Bool("ended", gone).
		Int("exposed", len(digests)).Int("running", others).Strs("digests", texts(digests)).Msg("")
	if gone {
		e.ended(l.upstream, boottime.Since(broke), digests)
	}
}

// refuses says whether nothing listens at the address.
func refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// It was only to see whether there is somebody.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maxLoggedDigests bounds the digests in one log line.
const maxLoggedDigests = 16

func texts(digests []quarantine.Digest) []string {
	list := make([]string, 0, min(len(digests), maxLoggedDigests))
	for _, d := range digests[:min(len(digests), maxLoggedDigests)] {
		list = append(list, d.String())
	}
	return list
}

// endedElsewhere takes in another host's word that an upstream ended: what this host gave
// up there shortly before may be to blame, and nobody else knows of it.
func (e *exposures) endedElsewhere(name quarantine.Life, ago time.Duration) {
	e.mu.Lock()
	l := e.lives[name]
	if l == nil || !l.endedAt.IsZero() || l.checking {
		e.mu.Unlock()
		return
	}
	if len(l.running) > 0 {
		e.look(l)
		e.mu.Unlock()
		return
	}
	l.endedAt = boottime.Now().Add(-ago)
	digests := l.take()
	e.mu.Unlock()
	if len(digests) > 0 {
		e.ended(l.upstream, ago, digests)
	}
}

// hasEnded says whether the upstream is known to have ended.
func (e *exposures) hasEnded(u Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lives[u.Life]
	return l != nil && !l.endedAt.IsZero()
}

// sweep forgets upstreams at which nothing of this host's runs.
func (e *exposures) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, l := range e.lives {
		old := l.endedAt.IsZero() || boottime.Since(l.endedAt) > endedKept
		if old && !l.checking && !l.exposed() {
			delete(e.lives, name)
		}
	}
}
