package guard

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// maxSuspectWait is the maximum time that a request waits for the outcome of another one with
// the same content, or for a verdict. It covers the time to a verdict and its distribution over
// two hubs. A request without losses never waits.
const maxSuspectWait = 1200 * time.Millisecond

// ErrQuarantined means that a verdict keeps the request away from upstreams.
var ErrQuarantined = errors.New("guard: the request is quarantined")

// Admit waits until the request may be sent to an upstream of the service; Leave must be called
// when the attempt is over. A request that was lost with an upstream waits, for maxSuspectWait
// at most, while this host runs another request with the same content, so that such requests
// don't terminate several upstreams at once. A request with enough events for a verdict waits
// for the verdict. The error is ErrQuarantined or the context's.
func (g *Guard) Admit(ctx context.Context, d quarantine.Digest, service string) error {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		stateChanged := g.stateChanged
		g.mu.Unlock()
		if g.quarantined(d) {
			g.options.OnEvent(CountRefused, service)
			return ErrQuarantined
		}
		if g.tryStart(d) {
			return nil
		}
		if timeout == nil {
			g.log.Info().Str("event", "suspect-waits").Stringer("digest", d).Msg("")
			timer := time.NewTimer(maxSuspectWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-stateChanged:
		case <-timeout:
			g.mu.Lock()
			g.activeAttempts[d]++
			g.mu.Unlock()
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Leave ends an attempt that Admit admitted.
func (g *Guard) Leave(d quarantine.Digest) {
	g.mu.Lock()
	if g.activeAttempts[d]--; g.activeAttempts[d] <= 0 {
		delete(g.activeAttempts, d)
	}
	g.mu.Unlock()
	if g.eventCount(d, boottime.Elapsed()) > 0 {
		g.notifyWaiting()
	}
}

// quarantined reports whether a verdict keeps the request away from upstreams. If the verdict has
// expired, it claims or starts the trial.
func (g *Guard) quarantined(d quarantine.Digest) bool {
	entry, ok := g.register.Get(d)
	return ok && !g.verdictStore.claimOrStartTrial(entry)
}

// tryStart counts the request as running and returns true, or returns false if the request must
// wait. A request with one event doesn't wait if it was answered shortly before that, since such
// a request is a popular one.
func (g *Guard) tryStart(d quarantine.Digest) bool {
	now := boottime.Elapsed()
	s := quarantine.Suspect{Digest: d, Events: g.eventCount(d, now)}
	serialized := s.Events > 1 || s.Events == 1 && !g.tracker.Survived(d, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.MeetsThreshold() || serialized && g.activeAttempts[d] > 0 {
		return false
	}
	g.activeAttempts[d]++
	return true
}

// VerdictDue reports whether the request has enough events for a verdict, which is then due
// soon. This host doesn't retry such a request at another upstream.
func (g *Guard) VerdictDue(d quarantine.Digest) bool {
	return quarantine.Suspect{Digest: d, Events: g.eventCount(d, boottime.Elapsed())}.MeetsThreshold()
}

// Begin records that the request is sent to the upstream.
func (g *Guard) Begin(u Upstream, d quarantine.Digest) { g.runs.begin(u, d) }

// End records the outcome of sending the request to the upstream.
func (g *Guard) End(u Upstream, d quarantine.Digest, outcome Outcome) { g.runs.end(u, d, outcome) }
