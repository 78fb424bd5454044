package guard

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// survivalDelay is the time after a response until its upstream counts as having survived
	// the run. If the upstream terminated, another host's report of the termination has arrived
	// by then.
	survivalDelay = 600 * time.Millisecond
	// checkDelay is how long the interrupted responses of one upstream are collected before it
	// is checked: the termination of a process interrupts all of them within 2 ms.
	checkDelay = 5 * time.Millisecond
	// checkTimeout is the maximum duration of a connection attempt that checks an upstream. If
	// the upstream's process has terminated, connections are refused at once; if there is no reply,
	// the upstream may be alive behind a network partition.
	checkTimeout = 250 * time.Millisecond
)

// reportSurvivals calls onSurvival for the answered requests whose upstreams survived them. For
// suspects it first checks the upstream, in a separate goroutine.
func (t *runTracker) reportSurvivals() {
	for _, run := range t.takeDueAnswers() {
		if t.isSuspect(run.digest) {
			go t.confirmSurvival(run)
			continue
		}
		t.onSurvival(run.digest)
	}
}

// confirmSurvival checks whether the upstream survived an answered run, and calls onSurvival or
// onTermination.
func (t *runTracker) confirmSurvival(run answeredRun) {
	if !t.refusesConnections(run.atUpstream.upstream) {
		t.onSurvival(run.digest)
		return
	}
	t.mu.Lock()
	alreadyTerminated := !run.atUpstream.terminatedAt.IsZero()
	if !alreadyTerminated {
		run.atUpstream.terminatedAt = run.overAt
	}
	candidates := run.atUpstream.takeCandidates()
	t.mu.Unlock()
	if !alreadyTerminated || len(candidates) > 0 {
		t.onTermination(run.atUpstream.upstream, boottime.Since(run.overAt), candidates)
	}
}

// takeDueAnswers removes the runs that were answered at least survivalDelay ago and returns those
// whose upstreams aren't known to have terminated.
func (t *runTracker) takeDueAnswers() []answeredRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < len(t.answered) && boottime.Since(t.answered[n].overAt) >= survivalDelay {
		n++
	}
	due := slices.Clone(t.answered[:n])
	t.answered = slices.Delete(t.answered, 0, n)
	return slices.DeleteFunc(due, func(run answeredRun) bool { return !run.atUpstream.terminatedAt.IsZero() })
}

// scheduleCheck has the upstream checked after checkDelay, unless a check is pending or the
// upstream is known to have terminated. The lock must be held.
func (t *runTracker) scheduleCheck(runs *upstreamRuns) {
	if runs.checking || !runs.terminatedAt.IsZero() {
		return
	}
	runs.checking, runs.checkScheduledAt = true, boottime.Now()
	time.AfterFunc(checkDelay, func() { t.check(runs) })
}

// check tries to connect to the upstream and records its termination if the connection is
// refused. If requests of this host still run there, the upstream counts as alive without an
// attempt.
func (t *runTracker) check(runs *upstreamRuns) {
	t.mu.Lock()
	runningCount, checkScheduledAt := len(runs.running), runs.checkScheduledAt
	t.mu.Unlock()
	terminated := runningCount == 0 && t.refusesConnections(runs.upstream)
	t.mu.Lock()
	runs.checking = false
	var candidates []candidateRun
	if terminated {
		runs.terminatedAt = checkScheduledAt
		candidates = runs.takeCandidates()
	}
	t.mu.Unlock()
	t.log.Warn().Str("event", "upstream-checked").Str("upstream", runs.upstream.ID).Bool("ended", terminated).
		Int("exposed", len(candidates)).Int("running", runningCount).Strs("digests", digestTexts(candidates)).Msg("")
	if terminated {
		t.onTermination(runs.upstream, boottime.Since(checkScheduledAt), candidates)
	}
}

// refusesConnections reports whether nothing listens at the upstream's address.
func (t *runTracker) refusesConnections(u Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return t.refuses(ctx, u.Address)
}

// refusesConnections reports whether a connection attempt by this host is refused.
func refusesConnections(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// The connection serves only as a check.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// comparedUpstreams is the number of other upstreams, at most, that are compared with one that refuses
// connections. Several may have terminated.
const comparedUpstreams = 8

// refusesAlone reports whether nothing listens at the address while another upstream accepts connections, if
// others are known.
func refusesAlone(ctx context.Context, address string, others func() []string) bool {
	if !refusesConnections(ctx, address) {
		return false
	}
	if others == nil {
		return true
	}
	list := slices.DeleteFunc(others(), func(other string) bool { return other == address })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), comparedUpstreams)]
	return len(list) == 0 || AcceptsAny(ctx, new(net.Dialer).DialContext, list)
}

// AcceptsAny reports whether one of the addresses accepts a connection that dial opens. It tries them one
// after the other.
func AcceptsAny(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), addresses []string) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// maxLoggedDigests is the maximum number of digests in one log line.
const maxLoggedDigests = 16

func digestTexts(runs []candidateRun) []string {
	list := make([]string, 0, min(len(runs), maxLoggedDigests))
	for _, run := range runs[:min(len(runs), maxLoggedDigests)] {
		list = append(list, run.digest.String())
	}
	return list
}

// recordRemoteTermination processes another host's report that an upstream terminated, the given
// time ago. The runs that this host abandoned there shortly before may be the cause, and no
// other host can report them.
func (t *runTracker) recordRemoteTermination(incarnation quarantine.Incarnation, ago time.Duration) {
	t.mu.Lock()
	runs := t.upstreams[incarnation]
	if runs == nil || !runs.terminatedAt.IsZero() || runs.checking {
		t.mu.Unlock()
		return
	}
	if len(runs.running) > 0 {
		t.scheduleCheck(runs)
		t.mu.Unlock()
		return
	}
	runs.terminatedAt = boottime.Now().Add(-ago)
	candidates := runs.takeCandidates()
	t.mu.Unlock()
	if len(candidates) > 0 {
		t.onTermination(runs.upstream, ago, candidates)
	}
}
