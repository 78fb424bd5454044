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
)

// settle tells of the requests whose upstreams outlived them. Where upstreams ended with the
// request before, this one is asked, beside the others' turns.
func (e *exposures) settle() {
	for _, run := range e.due() {
		if e.suspected(run.digest) {
			go e.confirm(run)
			continue
		}
		e.survived(run.digest)
	}
}

// confirm finds out whether the upstream outlived a run that was answered.
func (e *exposures) confirm(run answeredRun) {
	if !refuses(run.exposure.upstream.Address) {
		e.survived(run.digest)
		return
	}
	e.mu.Lock()
	known := !run.exposure.endedAt.IsZero()
	if !known {
		run.exposure.endedAt = run.at
	}
	runs := run.exposure.take()
	e.mu.Unlock()
	if !known || len(runs) > 0 {
		e.ended(run.exposure.upstream, boottime.Since(run.at), runs)
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
	return slices.DeleteFunc(due, func(run answeredRun) bool { return !run.exposure.endedAt.IsZero() })
}

// look finds out whether the upstream ended, unless that is under way or known. The lock is
// held.
func (e *exposures) look(x *exposure) {
	if x.checking || !x.endedAt.IsZero() {
		return
	}
	x.checking, x.lookedAt = true, boottime.Now()
	time.AfterFunc(breakGather, func() { e.check(x) })
}

// check asks the upstream for a connection. Other requests that go on there show that it
// lives, and spare the connection.
func (e *exposures) check(x *exposure) {
	e.mu.Lock()
	others, broke := len(x.running), x.lookedAt
	e.mu.Unlock()
	gone := others == 0 && refuses(x.upstream.Address)
	e.mu.Lock()
	x.checking = false
	var runs []endedRun
	if gone {
		x.endedAt = broke
		runs = x.take()
	}
	e.mu.Unlock()
	e.log.Warn().Str("event", "upstream-checked").Str("upstream", x.upstream.ID).Bool("ended", gone).
		Int("exposed", len(runs)).Int("running", others).Strs("digests", digestTexts(runs)).Msg("")
	if gone {
		e.ended(x.upstream, boottime.Since(broke), runs)
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

func digestTexts(runs []endedRun) []string {
	list := make([]string, 0, min(len(runs), maxLoggedDigests))
	for _, run := range runs[:min(len(runs), maxLoggedDigests)] {
		list = append(list, run.digest.String())
	}
	return list
}

// endedElsewhere takes in another host's word that an upstream ended: what this host gave
// up there shortly before may be to blame, and nobody else knows of it.
func (e *exposures) endedElsewhere(name quarantine.Incarnation, ago time.Duration) {
	e.mu.Lock()
	x := e.upstreams[name]
	if x == nil || !x.endedAt.IsZero() || x.checking {
		e.mu.Unlock()
		return
	}
	if len(x.running) > 0 {
		e.look(x)
		e.mu.Unlock()
		return
	}
	x.endedAt = boottime.Now().Add(-ago)
	runs := x.take()
	e.mu.Unlock()
	if len(runs) > 0 {
		e.ended(x.upstream, ago, runs)
	}
}
