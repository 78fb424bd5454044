package guard

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
// for the verdict. The same holds for the parts of its prompt, except those that are sound. The error is
// ErrQuarantined or the context's.
func (g *Guard) Admit(ctx context.Context, d quarantine.Digest, service string, parts ...quarantine.Digest) error {
	subjects := append([]quarantine.Digest{d}, parts...)
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		stateChanged := g.stateChanged
		g.mu.Unlock()
		if cause, found := g.findQuarantined(subjects); found {
			g.options.OnEvent(CountRefused, service)
			return fmt.Errorf("%w: %v", ErrQuarantined, cause)
		}
		suspect, started := g.tryStart(subjects)
		if started {
			return nil
		}
		if timeout == nil {
			g.log.Info().Str("event", "suspect-waits").Stringer("digest", d).Stringer("suspect", suspect).Msg("")
			timer := time.NewTimer(maxSuspectWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-stateChanged:
		case <-timeout:
			g.mu.Lock()
			g.countActive(subjects)
			g.mu.Unlock()
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// countActive counts an attempt as active. The lock must be held.
func (g *Guard) countActive(subjects []quarantine.Digest) {
	for _, d := range subjects {
		g.activeAttempts[d]++
	}
}

// Leave ends an attempt that Admit admitted.
func (g *Guard) Leave(d quarantine.Digest, parts ...quarantine.Digest) {
	subjects := append([]quarantine.Digest{d}, parts...)
	g.mu.Lock()
	for _, d := range subjects {
		if g.activeAttempts[d]--; g.activeAttempts[d] <= 0 {
			delete(g.activeAttempts, d)
		}
	}
	g.mu.Unlock()
	now := boottime.Elapsed()
	if slices.ContainsFunc(subjects, func(d quarantine.Digest) bool { return g.eventCount(d, now) > 0 }) {
		g.notifyWaiting()
	}
}

// findQuarantined returns the request or the part that a verdict keeps away from upstreams.
func (g *Guard) findQuarantined(subjects []quarantine.Digest) (cause quarantine.Digest, found bool) {
	for _, d := range subjects {
		if g.quarantined(d) {
			return d, true
		}
	}
	return quarantine.Digest{}, false
}

// quarantined reports whether a verdict keeps the request away from upstreams. If the verdict has
// expired, it claims or starts the trial.
func (g *Guard) quarantined(d quarantine.Digest) bool {
	entry, ok := g.register.Get(d)
	return ok && !g.verdictStore.claimOrStartTrial(entry)
}

// tryStart counts the request and its parts as running and returns true, or returns the suspect because
// of which the request must wait.
func (g *Guard) tryStart(subjects []quarantine.Digest) (suspect quarantine.Digest, started bool) {
	now := boottime.Elapsed()
	serialized := make([]bool, len(subjects))
	for i, d := range subjects {
		s := quarantine.Suspect{Digest: d, Events: g.eventCount(d, now)}
		if s.MeetsThreshold() && g.tracker.HasContrast(d, now) {
			return d, false
		}
		serialized[i] = g.isSerialized(s, now)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, d := range subjects {
		if serialized[i] && g.activeAttempts[d] > 0 {
			return d, false
		}
	}
	g.countActive(subjects)
	return quarantine.Digest{}, true
}

// isSerialized reports whether this host runs only one request with the suspect at a time. A request with
// one event isn't serialized if it was answered shortly before that, since such a request is a popular
// one. A part is in many requests, so that it takes two events and no answer.
func (g *Guard) isSerialized(s quarantine.Suspect, now time.Duration) bool {
	if s.Digest.IsPart() {
		return s.Events > 1 && !g.tracker.Survived(s.Digest, now) && g.tracker.HasContrast(s.Digest, now)
	}
	return s.Events > 1 || s.Events == 1 && !g.tracker.Survived(s.Digest, now)
}

// VerdictDue reports whether the request or one of its parts has enough events for a verdict, which is
// then due soon. This host doesn't retry such a request at another upstream.
func (g *Guard) VerdictDue(d quarantine.Digest, parts ...quarantine.Digest) bool {
	now := boottime.Elapsed()
	return slices.ContainsFunc(append([]quarantine.Digest{d}, parts...), func(d quarantine.Digest) bool {
		return quarantine.Suspect{Digest: d, Events: g.eventCount(d, now)}.MeetsThreshold()
	})
}

// IsQuarantined reports whether a verdict keeps the request or one of its parts away from upstreams, or is due soon. Unlike
// Admit, it doesn't begin the trial of a verdict that has expired.
func (g *Guard) IsQuarantined(d quarantine.Digest, parts ...quarantine.Digest) bool {
	return g.VerdictDue(d, parts...) || slices.ContainsFunc(append([]quarantine.Digest{d}, parts...), func(d quarantine.Digest) bool {
		_, found := g.register.Get(d)
		return found
	})
}

// Begin records that the request, whose prompt has the parts, is sent to the upstream.
func (g *Guard) Begin(u Upstream, d quarantine.Digest, parts ...quarantine.Digest) {
	g.runs.begin(u, d)
	for _, part := range parts {
		g.runs.begin(u, part)
	}
}

// End records the outcome of sending the request, whose prompt has the parts, to the upstream.
func (g *Guard) End(u Upstream, d quarantine.Digest, outcome Outcome, parts ...quarantine.Digest) {
	for _, part := range parts {
		g.runs.end(u, part, outcome)
	}
	g.runs.end(u, d, outcome)
}
