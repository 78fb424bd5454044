package guard

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// survivalDelay is the time after a response from which its upstream counts as having
	// survived the run. A report from another host that it terminated has arrived by then.
	survivalDelay = 600 * time.Millisecond
	// checkDelay is how long the interrupted responses of one upstream are collected before it
	// is checked: the end of a process interrupts all of them within 2 ms.
	checkDelay = 5 * time.Millisecond
	// checkTimeout bounds the check of an upstream that interrupted responses. If its process
	// has ended, connections are refused at once; if there is no reply, the upstream may be
	// alive behind a network partition.
	checkTimeout = 250 * time.Millisecond
)

// reportSurvivals reports the requests whose upstreams survived them. For suspects it first
// checks the upstream, in a goroutine of its own.
func (e *runTracker) reportSurvivals() {
	for _, run := range e.takeDue() {
		if e.isSuspect(run.digest) {
			go e.confirmSurvival(run)
			continue
		}
		e.onSurvival(run.digest)
	}
}

// confirmSurvival checks whether the upstream survived an answered run.
func (e *runTracker) confirmSurvival(run answeredRun) {
	if !refusesConnections(run.runs.upstream.Address) {
		e.onSurvival(run.digest)
		return
	}
	e.mu.Lock()
	alreadyTerminated := !run.runs.terminatedAt.IsZero()
	if !alreadyTerminated {
		run.runs.terminatedAt = run.overAt
	}
	runs := run.runs.takeExposed()
	e.mu.Unlock()
	if !alreadyTerminated || len(runs) > 0 {
		e.onTermination(run.runs.upstream, boottime.Since(run.overAt), runs)
	}
}

// takeDue removes and returns the runs that were answered at least survivalDelay ago and whose
// upstreams aren't known to have terminated.
func (e *runTracker) takeDue() []answeredRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for n < len(e.answered) && boottime.Since(e.answered[n].overAt) >= survivalDelay {
		n++
	}
	due := slices.Clone(e.answered[:n])
	e.answered = slices.Delete(e.answered, 0, n)
	return slices.DeleteFunc(due, func(run answeredRun) bool { return !run.runs.terminatedAt.IsZero() })
}

// scheduleCheck has the upstream checked, unless a check is pending or its termination is known.
// The lock must be held.
func (e *runTracker) scheduleCheck(x *upstreamRuns) {
	if x.checking || !x.terminatedAt.IsZero() {
		return
	}
	x.checking, x.brokeAt = true, boottime.Now()
	time.AfterFunc(checkDelay, func() { e.check(x) })
}

// check tries to connect to the upstream, unless other requests still run there and thus show
// that it is alive.
func (e *runTracker) check(x *upstreamRuns) {
	e.mu.Lock()
	others, brokeAt := len(x.running), x.brokeAt
	e.mu.Unlock()
	terminated := others == 0 && refusesConnections(x.upstream.Address)
	e.mu.Lock()
	x.checking = false
	var runs []exposedRun
	if terminated {
		x.terminatedAt = brokeAt
		runs = x.takeExposed()
	}
	e.mu.Unlock()
	e.log.Warn().Str("event", "upstream-checked").Str("upstream", x.upstream.ID).Bool("ended", terminated).
		Int("exposed", len(runs)).Int("running", others).Strs("digests", digestTexts(runs)).Msg("")
	if terminated {
		e.onTermination(x.upstream, boottime.Since(brokeAt), runs)
	}
}

// refusesConnections reports whether nothing listens at the address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// the connection only serves as a check
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maxLoggedDigests bounds the digests in one log line.
const maxLoggedDigests = 16

func digestTexts(runs []exposedRun) []string {
	list := make([]string, 0, min(len(runs), maxLoggedDigests))
	for _, run := range runs[:min(len(runs), maxLoggedDigests)] {
		list = append(list, run.digest.String())
	}
	return list
}

// terminatedElsewhere processes another host's report that an upstream terminated. The requests
// that this host abandoned there shortly before may be the cause, and no other host has them.
func (e *runTracker) terminatedElsewhere(name quarantine.Incarnation, ago time.Duration) {
	e.mu.Lock()
	x := e.upstreams[name]
	if x == nil || !x.terminatedAt.IsZero() || x.checking {
		e.mu.Unlock()
		return
	}
	if len(x.running) > 0 {
		e.scheduleCheck(x)
		e.mu.Unlock()
		return
	}
	x.terminatedAt = boottime.Now().Add(-ago)
	runs := x.takeExposed()
	e.mu.Unlock()
	if len(runs) > 0 {
		e.onTermination(x.upstream, ago, runs)
	}
}
