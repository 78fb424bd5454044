package guard

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// longestHold bounds how long a request waits for what becomes of another one with the
// same content: the time to a judgement and the way of its word over two hubs. A request
// that nothing is held against never waits.
const longestHold = 1200 * time.Millisecond

// ErrQuarantined means that a verdict keeps the request away from upstreams.
var ErrQuarantined = errors.New("guard: upstreams ended that ran this request")

// Admit says whether the request may be sent to an upstream of the service now; Leave ends
// that. A request that an upstream ended with waits while another one with its content is at
// an upstream of this host's, or until it is judged, for longestHold at most: it isn't sent
// to several upstreams at once. The error is ErrQuarantined or the context's.
func (g *Guard) Admit(ctx context.Context, d quarantine.Digest, service string) error {
	var over <-chan time.Time
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if g.held(d) {
			g.options.Count(CountRefused, service)
			return ErrQuarantined
		}
		if g.enter(d) {
			return nil
		}
		if over == nil {
			g.log.Info().Str("event", "suspect-waits").Stringer("digest", d).Msg("")
			timer := time.NewTimer(longestHold)
			defer timer.Stop()
			over = timer.C
		}
		select {
		case <-changed:
		case <-over:
			g.mu.Lock()
			g.running[d]++
			g.mu.Unlock()
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Leave ends what Admit permitted.
func (g *Guard) Leave(d quarantine.Digest) {
	g.mu.Lock()
	if g.running[d]--; g.running[d] <= 0 {
		delete(g.running, d)
	}
	g.mu.Unlock()
	if g.events(d, boottime.Elapsed()) > 0 {
		g.wake()
	}
}

// held says whether a verdict keeps the request away.
func (g *Guard) held(d quarantine.Digest) bool {
	entry, ok := g.register.Get(d)
	return ok && !g.rows.permits(entry)
}

// enter counts the request as running if nothing speaks against that.
func (g *Guard) enter(d quarantine.Digest) bool {
	now := boottime.Elapsed()
	s := quarantine.Suspect{Digest: d, Events: g.events(d, now)}
	oneByOne := s.Events > 1 || s.Events == 1 && !g.tracker.Survived(d, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.MeetsThreshold() || oneByOne && g.running[d] > 0 {
		return false
	}
	g.running[d]++
	return true
}

// NearlyJudged says that the request is to be judged soon: this host doesn't send it on to a
// further upstream by itself.
func (g *Guard) NearlyJudged(d quarantine.Digest) bool {
	return quarantine.Suspect{Digest: d, Events: g.events(d, boottime.Elapsed())}.MeetsThreshold()
}

// Begin notes that the request is sent to the upstream.
func (g *Guard) Begin(u Upstream, d quarantine.Digest) { g.exposures.begin(u, d) }

// End notes how that ended.
func (g *Guard) End(u Upstream, d quarantine.Digest, how Outcome) { g.exposures.end(u, d, how) }
