package gateway

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// startupPeriod is the time after a host's start in which its first tables are expected. If
	// they are missing later, the store is unavailable.
	startupPeriod = time.Second
	// maxStartWait is how long a request waits for the first tables at most.
	maxStartWait = 400 * time.Millisecond
	// startPoll is the interval at which the tables are checked for while requests may wait for
	// them, latePoll the interval after that.
	startPoll = 5 * time.Millisecond
	latePoll  = 250 * time.Millisecond
)

// awaitStart delays requests to a host that is just starting until its first document and
// upstreams have arrived. When all hosts restart at once, callers reach them as soon as they
// listen, and a refusal would use up the callers' retries.
type awaitStart struct {
	gateway *Gateway
}

func (f *awaitStart) serve(ctx context.Context, r *Request, next next) error {
	g := f.gateway
	if boottime.Since(g.startedAt) < startupPeriod && !g.isInitialized() {
		g.metrics.startWaits.Inc()
		timer := time.NewTimer(maxStartWait)
		defer timer.Stop()
		select {
		case <-g.initialized:
		case <-timer.C: // the next filter refuses the request with the reason
		case <-ctx.Done():
		}
	}
	return next(ctx, r)
}

// isInitialized returns hasTables without taking its locks once that was true.
func (g *Gateway) isInitialized() bool {
	select {
	case <-g.initialized:
		return true
	default:
		return g.hasTables()
	}
}

// hasTables reports whether the host has the document and an upstream, which it needs to serve.
func (g *Gateway) hasTables() bool { return g.table.Load() != nil && g.fleet.HasUpstreams() }

// awaitTables closes g.initialized once the host can serve.
func (g *Gateway) awaitTables(ctx context.Context) {
	for !g.hasTables() {
		pause := startPoll
		if boottime.Since(g.startedAt) > startupPeriod+maxStartWait {
			pause = latePoll // an outage of the store may last long
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
	close(g.initialized)
	g.log.Info().Str("event", "begun").Int64("took_ms", boottime.Since(g.startedAt).Milliseconds()).Msg("")
}
