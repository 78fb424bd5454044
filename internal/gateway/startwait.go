package gateway

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// startSpan is the time from a host's start in which its first tables are on their
	// way. Later they are missing because the store is away.
	startSpan = time.Second
	// startWait is how long a request waits for them at most.
	startWait = 400 * time.Millisecond
	// startLook is the time between two looks whether they are there while requests may
	// wait for them, lateLook the same later.
	startLook = 5 * time.Millisecond
	lateLook  = 250 * time.Millisecond
)

// awaitStart lets requests that come to a host that is just starting wait for its first
// document and upstreams. When all hosts return at once, callers reach them as soon as they
// listen, and a refusal would spend their repeats.
type awaitStart struct {
	gateway *Gateway
}

func (f *awaitStart) serve(ctx context.Context, r *Request, next next) error {
	g := f.gateway
	if boottime.Since(g.startedAt) < startSpan && !g.hasBegun() {
		g.metrics.startWaits.Inc()
		timer := time.NewTimer(startWait)
		defer timer.Stop()
		select {
		case <-g.known:
		case <-timer.C: // refused by the next filter, with the reason
		case <-ctx.Done():
		}
	}
	return next(ctx, r)
}

// hasBegun is begun without its locks, once that was true.
func (g *Gateway) hasBegun() bool {
	select {
	case <-g.known:
		return true
	default:
		return g.begun()
	}
}

// begun says whether the host knows what it needs to serve.
func (g *Gateway) begun() bool { return g.table.Load() != nil && g.fleet.Known() }

// tellBegun closes known once the host can serve.
func (g *Gateway) tellBegun(ctx context.Context) {
	for !g.begun() {
		pause := startLook
		if boottime.Since(g.startedAt) > startSpan+startWait {
			pause = lateLook // a store that is away may stay so for long
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
	close(g.known)
	g.log.Info().Str("event", "begun").Int64("took_ms", boottime.Since(g.startedAt).Milliseconds()).Msg("")
}
