package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// recentRunRetention is how long a run that is over for this host is kept. Reports from
	// other hosts that the upstream terminated arrive within that time, over two hubs.
	recentRunRetention = 3 * time.Second
	// abandonedCauseWindow is the time in which a run that this host abandoned, or whose response
	// was interrupted, may still terminate its upstream. The upstream detects the closed
	// connection late, and an engine that was given a prompt can terminate up to 0.1 s after its
	// response was dropped.
	abandonedCauseWindow = time.Second
	// answeredCauseWindow is the time in which a run may terminate its upstream after the
	// response: short runs are over before their effects terminate the upstream.
	answeredCauseWindow = 300 * time.Millisecond
	// lateResponseWindow is the time after an upstream's termination in which responses that it
	// sent before may still arrive. If a request is sent to the upstream later, the upstream may
	// have restarted under the same name and no longer counts as terminated.
	lateResponseWindow = time.Second
	// terminationRetention is how long an upstream's termination is recorded, so that responses
	// whose interruption is detected late are attributed to it.
	terminationRetention = 5 * time.Second
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	// Incarnation identifies the incarnation. It is the same on all hosts.
	Incarnation quarantine.Incarnation
}

// Outcome is the result of an attempt at an upstream.
type Outcome int

const (
	// Answered means that the upstream sent a complete response, possibly an error.
	Answered Outcome = iota
	// NotRun means that the upstream didn't run the request.
	NotRun
	// Unreachable means that nothing listened at the upstream's address.
	Unreachable
	// Interrupted means that the request was sent and the connection ended before a complete
	// response.
	Interrupted
	// Abandoned means that this host ended the attempt or stopped waiting. The run may go on.
	Abandoned
)

// runTracker tracks which requests run at each upstream, and detects terminated upstreams.
type runTracker struct {
	// onTermination is called when an upstream is found to have terminated, with the time since
	// then and the runs of this host that may be the cause. It is called again for runs that are
	// found later.
	onTermination func(u Upstream, ago time.Duration, runs []candidateRun)
	// onSurvival is called for a request that its upstream survived.
	onSurvival func(d quarantine.Digest)
	// refuses reports whether nothing listens at the address.
	refuses func(ctx context.Context, address string) bool
	// isSuspect reports whether the request is a suspect.
	isSuspect func(d quarantine.Digest) bool
	log       zerolog.Logger

	mu        sync.Mutex
	upstreams map[quarantine.Incarnation]*upstreamRuns
	// answered holds the answered runs whose upstreams don't count as having survived them yet,
	// oldest first.
	answered []answeredRun
}

// answeredRun is a run that was answered, with the record of its upstream.
type answeredRun struct {
	atUpstream *upstreamRuns
	recentRun
}

// upstreamRuns holds the runs of this host at one incarnation of an upstream.
type upstreamRuns struct {
	upstream Upstream
	running  map[quarantine.Digest]activeRuns
	// recent holds runs that are over for this host: abandoned, interrupted or answered.
	recent []recentRun
	// checking says that a check of the upstream is scheduled or running. checkScheduledAt is
	// when it was scheduled, which counts as the time of the termination if the check finds one.
	checking         bool
	checkScheduledAt time.Time
	// terminatedAt is when the upstream terminated; zero while no termination is known.
	terminatedAt time.Time
}

// activeRuns holds the number of runs of one request at an upstream, and the start of the first.
type activeRuns struct {
	count     int
	startedAt time.Time
}

// recentRun is a run that ended, as far as this host is concerned, at overAt. It may be the cause
// if its upstream terminates within causeWindow after that.
type recentRun struct {
	digest      quarantine.Digest
	startedAt   time.Time
	overAt      time.Time
	causeWindow time.Duration
}

// candidateRun is a run that may have terminated an upstream, and how long the request had been
// there by then.
type candidateRun struct {
	digest quarantine.Digest
	ran    time.Duration
}

func newRunTracker(log zerolog.Logger) *runTracker {
	return &runTracker{
		onTermination: func(Upstream, time.Duration, []candidateRun) {}, onSurvival: func(quarantine.Digest) {},
		refuses: refusesConnections, isSuspect: func(quarantine.Digest) bool { return false }, log: log, upstreams: make(map[quarantine.Incarnation]*upstreamRuns),
	}
}

// begin records that a request is sent to an upstream.
func (t *runTracker) begin(u Upstream, d quarantine.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.upstreams[u.Incarnation]
	if runs == nil {
		runs = &upstreamRuns{upstream: u, running: make(map[quarantine.Digest]activeRuns)}
		t.upstreams[u.Incarnation] = runs
	}
	if !runs.terminatedAt.IsZero() && boottime.Since(runs.terminatedAt) > lateResponseWindow {
		runs.terminatedAt, runs.recent = time.Time{}, nil // the upstream may have restarted under the same name
	}
	active := runs.running[d]
	if active.count++; active.count == 1 {
		active.startedAt = boottime.Now()
	}
	runs.running[d] = active
}

// end records the outcome of an attempt.
func (t *runTracker) end(u Upstream, d quarantine.Digest, outcome Outcome) {
	t.mu.Lock()
	runs := t.upstreams[u.Incarnation]
	if runs == nil {
		t.mu.Unlock()
		return
	}
	active := runs.running[d]
	if active.count--; active.count <= 0 {
		delete(runs.running, d)
	} else {
		runs.running[d] = active
	}
	switch outcome {
	case Interrupted:
		runs.addRecent(d, active.startedAt, abandonedCauseWindow)
		t.scheduleCheck(runs)
	case Abandoned:
		runs.addRecent(d, active.startedAt, abandonedCauseWindow)
	case Unreachable:
		if runs.hasRuns() {
			t.scheduleCheck(runs)
		}
	case Answered:
		t.answered = append(t.answered, answeredRun{atUpstream: runs, recentRun: runs.addRecent(d, active.startedAt, answeredCauseWindow)})
	}
	late, ago := runs.takeLateCandidates()
	t.mu.Unlock()
	if len(late) > 0 {
		t.onTermination(u, ago, late)
	}
}

// addRecent adds a run that is over for this host. The lock must be held.
func (r *upstreamRuns) addRecent(d quarantine.Digest, startedAt time.Time, causeWindow time.Duration) recentRun {
	run := recentRun{digest: d, startedAt: startedAt, overAt: boottime.Now(), causeWindow: causeWindow}
	r.recent = append(r.recent, run)
	return run
}

// hasRuns reports whether runs of this host may exist at the upstream. The lock must be held.
func (r *upstreamRuns) hasRuns() bool {
	r.dropOldRuns()
	return len(r.running)+len(r.recent) > 0
}

// dropOldRuns drops runs that have been over for more than recentRunRetention. The lock must be
// held.
func (r *upstreamRuns) dropOldRuns() {
	r.recent = slices.DeleteFunc(r.recent, func(run recentRun) bool { return boottime.Since(run.overAt) > recentRunRetention })
}

// takeCandidates removes the recent runs and returns those that may have terminated the upstream,
// the longest one for each request. Runs that are still active will be interrupted, and are
// returned by takeLateCandidates then; requests in transit will find no process at the address
// and aren't candidates. The lock must be held.
func (r *upstreamRuns) takeCandidates() []candidateRun {
	longest := make(map[quarantine.Digest]time.Duration)
	for _, run := range r.recent {
		if r.terminatedAt.Sub(run.overAt) <= run.causeWindow {
			longest[run.digest] = max(longest[run.digest], r.terminatedAt.Sub(run.startedAt))
		}
	}
	r.recent = nil
	list := make([]candidateRun, 0, len(longest))
	for d, ran := range longest {
		list = append(list, candidateRun{digest: d, ran: ran})
	}
	return list
}

// takeLateCandidates removes and returns the candidates among the runs that were over for this
// host only after the upstream's termination was detected, and the time since the termination.
// The lock must be held.
func (r *upstreamRuns) takeLateCandidates() ([]candidateRun, time.Duration) {
	if r.terminatedAt.IsZero() || len(r.recent) == 0 {
		return nil, 0
	}
	return r.takeCandidates(), boottime.Since(r.terminatedAt)
}

// hasTerminated reports whether the upstream is known to have terminated.
func (t *runTracker) hasTerminated(u Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.upstreams[u.Incarnation]
	return runs != nil && !runs.terminatedAt.IsZero()
}

// sweep drops the records of upstreams without runs of this host, unless a check is pending or
// the upstream terminated less than terminationRetention ago.
func (t *runTracker) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, runs := range t.upstreams {
		old := runs.terminatedAt.IsZero() || boottime.Since(runs.terminatedAt) > terminationRetention
		if old && !runs.checking && !runs.hasRuns() {
			delete(t.upstreams, incarnation)
		}
	}
}
