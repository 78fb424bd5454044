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
	// recentRunRetention is how long a finished run is kept: reports from other hosts that the
	// upstream terminated arrive over two hubs.
	recentRunRetention = 3 * time.Second
	// abandonedRunExposure is how long a run that this host abandoned may go on at its upstream.
	// The upstream detects the closed connection late, and an engine that was given a prompt can
	// terminate up to 0.1 s after its response was dropped.
	abandonedRunExposure = time.Second
	// answeredRunExposure is the same for a run that the upstream completed: short runs are over
	// before their effects terminate the upstream.
	answeredRunExposure = 300 * time.Millisecond
	// lateResponseWindow is the time after an upstream's termination in which responses that it
	// sent before still arrive.
	lateResponseWindow = time.Second
	// terminationRetention is how long the termination of an upstream is kept for responses
	// whose interruption is detected late.
	terminationRetention = 5 * time.Second
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	// Incarnation identifies the incarnation, the same on all hosts.
	Incarnation quarantine.Incarnation
}

// Outcome is the result of an attempt at an upstream.
type Outcome int

const (
	// Answered: the upstream sent a complete response, possibly an error.
	Answered Outcome = iota
	// NotRun: the upstream didn't run the request.
	NotRun
	// Unreachable: nothing listened at the upstream's address.
	Unreachable
	// Interrupted: the request was sent and the connection ended before a complete response.
	Interrupted
	// Abandoned: this host ended the attempt or stopped waiting; the run may go on.
	Abandoned
)

// runTracker tracks which requests run at each upstream, and detects terminated upstreams.
type runTracker struct {
	// onTermination is called when an upstream is found to have terminated, with the time since
	// then and the runs of this host that it may have interrupted.
	onTermination func(u Upstream, ago time.Duration, runs []exposedRun)
	// onSurvival is called for a request that its upstream survived.
	onSurvival func(d quarantine.Digest)
	// isSuspect reports whether an upstream terminated with the request before.
	isSuspect func(d quarantine.Digest) bool
	log       zerolog.Logger

	mu        sync.Mutex
	upstreams map[quarantine.Incarnation]*upstreamRuns
	// answered holds the answered runs for which it isn't known yet whether their upstreams
	// survive, oldest first.
	answered []answeredRun
}

// answeredRun is a run that was answered, and its upstream.
type answeredRun struct {
	runs *upstreamRuns
	recentRun
}

// upstreamRuns holds the runs of this host at one incarnation of an upstream.
type upstreamRuns struct {
	upstream Upstream
	running  map[quarantine.Digest]activeRuns
	// recent holds runs that are over for this host: abandoned, interrupted or answered.
	recent []recentRun
	// checking says that a check of the upstream is pending, brokeAt when the response that
	// caused the check was interrupted.
	checking bool
	brokeAt  time.Time
	// terminatedAt is when the upstream terminated; zero while it isn't known to have.
	terminatedAt time.Time
}

// activeRuns counts the runs of one request at an upstream. startedAt is the start of the first.
type activeRuns struct {
	count     int
	startedAt time.Time
}

// recentRun is a run that is over for this host. It may terminate its upstream for the duration
// exposure after overAt.
type recentRun struct {
	digest    quarantine.Digest
	startedAt time.Time
	overAt    time.Time
	exposure  time.Duration
}

// exposedRun is a run that may have terminated an upstream, and how long it had been there.
type exposedRun struct {
	digest quarantine.Digest
	ran    time.Duration
}

func newRunTracker(log zerolog.Logger) *runTracker {
	return &runTracker{
		onTermination: func(Upstream, time.Duration, []exposedRun) {}, onSurvival: func(quarantine.Digest) {},
		isSuspect: func(quarantine.Digest) bool { return false }, log: log, upstreams: make(map[quarantine.Incarnation]*upstreamRuns),
	}
}

// begin records that a request is sent to an upstream.
func (e *runTracker) begin(u Upstream, d quarantine.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.upstreams[u.Incarnation]
	if x == nil {
		x = &upstreamRuns{upstream: u, running: make(map[quarantine.Digest]activeRuns)}
		e.upstreams[u.Incarnation] = x
	}
	if !x.terminatedAt.IsZero() && boottime.Since(x.terminatedAt) > lateResponseWindow {
		x.terminatedAt, x.recent = time.Time{}, nil // the upstream may have restarted under the same name
	}
	r := x.running[d]
	if r.count++; r.count == 1 {
		r.startedAt = boottime.Now()
	}
	x.running[d] = r
}

// end records the outcome of an attempt.
func (e *runTracker) end(u Upstream, d quarantine.Digest, how Outcome) {
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
	case Interrupted:
		x.addRecent(d, r.startedAt, abandonedRunExposure)
		e.scheduleCheck(x)
	case Abandoned:
		x.addRecent(d, r.startedAt, abandonedRunExposure)
	case Unreachable:
		if x.hasRuns() {
			e.scheduleCheck(x)
		}
	case Answered:
		e.answered = append(e.answered, answeredRun{runs: x, recentRun: x.addRecent(d, r.startedAt, answeredRunExposure)})
	}
	late, ago := x.takeLateExposed()
	e.mu.Unlock()
	if len(late) > 0 {
		e.onTermination(u, ago, late)
	}
}

// addRecent adds a run that is over for this host. The lock must be held.
func (x *upstreamRuns) addRecent(d quarantine.Digest, startedAt time.Time, exposure time.Duration) recentRun {
	run := recentRun{digest: d, startedAt: startedAt, overAt: boottime.Now(), exposure: exposure}
	x.recent = append(x.recent, run)
	return run
}

// hasRuns reports whether runs of this host may exist at the upstream. The lock must be held.
func (x *upstreamRuns) hasRuns() bool {
	x.dropOld()
	return len(x.running)+len(x.recent) > 0
}

// dropOld drops runs that were over more than recentRunRetention ago. The lock must be held.
func (x *upstreamRuns) dropOld() {
	x.recent = slices.DeleteFunc(x.recent, func(run recentRun) bool { return boottime.Since(run.overAt) > recentRunRetention })
}

// takeExposed removes the recent runs and returns, one for each request, those that may have
// terminated the upstream. Requests that still run there will be interrupted and are returned
// then, unless they are only in transit. The lock must be held.
func (x *upstreamRuns) takeExposed() []exposedRun {
	longest := make(map[quarantine.Digest]time.Duration)
	for _, run := range x.recent {
		if x.terminatedAt.Sub(run.overAt) <= run.exposure {
			longest[run.digest] = max(longest[run.digest], x.terminatedAt.Sub(run.startedAt))
		}
	}
	x.recent = nil
	list := make([]exposedRun, 0, len(longest))
	for d, ran := range longest {
		list = append(list, exposedRun{digest: d, ran: ran})
	}
	return list
}

// takeLateExposed returns the runs that were found to be interrupted after the upstream's
// termination was detected, and the time since the termination. The lock must be held.
func (x *upstreamRuns) takeLateExposed() ([]exposedRun, time.Duration) {
	if x.terminatedAt.IsZero() || len(x.recent) == 0 {
		return nil, 0
	}
	return x.takeExposed(), boottime.Since(x.terminatedAt)
}

// hasTerminated reports whether the upstream is known to have terminated.
func (e *runTracker) hasTerminated(u Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.upstreams[u.Incarnation]
	return x != nil && !x.terminatedAt.IsZero()
}

// sweep drops upstreams without runs of this host.
func (e *runTracker) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, x := range e.upstreams {
		old := x.terminatedAt.IsZero() || boottime.Since(x.terminatedAt) > terminationRetention
		if old && !x.checking && !x.hasRuns() {
			delete(e.upstreams, name)
		}
	}
}
