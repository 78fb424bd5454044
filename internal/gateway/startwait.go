package gateway

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// startupPeriod is the time after the start of a host within which its first tables should
	// arrive. If they are missing after that, the store is unavailable.
	startupPeriod = time.Second
	// maxStartWait is the maximum time for which a request waits for the first tables.
	maxStartWait = 400 * time.Millisecond
	// startPollInterval is the interval at which the host checks whether it has its first tables,
	// while requests may wait for them; latePollInterval is the interval after that.
	startPollInterval = 5 * time.Millisecond
	latePollInterval  = 250 * time.Millisecond
)

// awaitStart delays requests to a host that just started until the host has a routing document and
// an upstream. When all hosts restart at once, requests arrive as soon as the hosts listen, and
// refusing these would use up the callers' retries.
type awaitStart struct {
	gateway *Gateway
}

func (f *awaitStart) serve(ctx context.Context, r *Request, next handleFunc) error {
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

// isInitialized reports whether the host can serve requests. Unlike hasTables, it takes no locks
// once initialized is closed.
func (g *Gateway) isInitialized() bool {
	select {
	case <-g.initialized:
		return true
	default:
		return g.hasTables()
	}
}

// hasTables reports whether the host has a routing document and an upstream, which it needs to
// serve requests.
func (g *Gateway) hasTables() bool { return g.routingTable.Load() != nil && g.fleet.HasUpstreams() }

// awaitTables closes g.initialized once the host can serve requests.
func (g *Gateway) awaitTables(ctx context.Context) {
	for !g.hasTables() {
		pause := startPollInterval
		if boottime.Since(g.startedAt) > startupPeriod+maxStartWait {
			pause = latePollInterval // an outage of the store may last long
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
	close(g.initialized)
	g.log.Info().Str("event", "begun").Int64("took_ms", boottime.Since(g.startedAt).Milliseconds()).Msg("")
}
