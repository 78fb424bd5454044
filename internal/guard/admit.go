package guard

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// maxSuspectWait bounds how long a request waits for the outcome of another one with the same
// content. It covers the time to a verdict and its distribution over two hubs. A request without
// losses never waits.
const maxSuspectWait = 1200 * time.Millisecond

// ErrQuarantined means that a verdict keeps the request away from upstreams.
var ErrQuarantined = errors.New("guard: the request is quarantined")

// Admit waits until the request may be sent to an upstream of the service; Leave must be called
// when the attempt is over. A request that was running at a terminated upstream waits, for
// maxSuspectWait at most, while another one with its content runs at an upstream of this host,
// or until there is a verdict: it isn't sent to several upstreams at once. The error is
// ErrQuarantined or the context's.
func (g *Guard) Admit(ctx context.Context, d quarantine.Digest, service string) error {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		changed := g.changed
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
		case <-changed:
		case <-timeout:
			g.mu.Lock()
			g.running[d]++
			g.mu.Unlock()
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Leave ends an attempt that Admit permitted.
func (g *Guard) Leave(d quarantine.Digest) {
	g.mu.Lock()
	if g.running[d]--; g.running[d] <= 0 {
		delete(g.running, d)
	}
	g.mu.Unlock()
	if g.eventCount(d, boottime.Elapsed()) > 0 {
		g.notifyWaiting()
	}
}

// quarantined reports whether a verdict keeps the request away.
func (g *Guard) quarantined(d quarantine.Digest) bool {
	entry, ok := g.register.Get(d)
	return ok && !g.verdictRows.claimOrStartTrial(entry)
}

// tryStart counts the request as running, unless it must wait. It reports whether it did.
func (g *Guard) tryStart(d quarantine.Digest) bool {
	now := boottime.Elapsed()
	s := quarantine.Suspect{Digest: d, Events: g.eventCount(d, now)}
	serialized := s.Events > 1 || s.Events == 1 && !g.tracker.Survived(d, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.MeetsThreshold() || serialized && g.running[d] > 0 {
		return false
	}
	g.running[d]++
	return true
}

// VerdictDue reports whether the request has enough events for a verdict, which is then due
// soon: this host doesn't retry it at another upstream.
func (g *Guard) VerdictDue(d quarantine.Digest) bool {
	return quarantine.Suspect{Digest: d, Events: g.eventCount(d, boottime.Elapsed())}.MeetsThreshold()
}

// Begin records that the request is sent to the upstream.
func (g *Guard) Begin(u Upstream, d quarantine.Digest) { g.runs.begin(u, d) }

// End records the outcome of an attempt.
func (g *Guard) End(u Upstream, d quarantine.Digest, outcome Outcome) { g.runs.end(u, d, outcome) }
