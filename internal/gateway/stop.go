package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// balancerLag is how long the balancer still sends new connections after
	// the host said that it isn't ready: two checks a second apart, and one on
	// its way.
	balancerLag = 2500 * time.Millisecond
	// killMargin is left of the stop's time for the process to end.
	killMargin = 400 * time.Millisecond
)

// stop ends the service: first no new connections, then no new requests, then
// the answers under way.
func (g *Gateway) stop(callers *http.Server) {
	deadline := time.Now().Add(g.settings.StopTimeout - killMargin)
	g.stopping.Store(true)
	g.log.Info().Str("event", "stopping").Int64("in_flight", g.inFlight.Load()).Msg("")
	time.Sleep(min(balancerLag, g.settings.StopTimeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn().Str("event", "stop-cut").Int64("in_flight", g.inFlight.Load()).Msg("")
		g.cutting.Store(true)
		err = callers.Close()
	}
	if err != nil {
		g.log.Warn().Str("event", "stop-error").Err(err).Msg("")
	}
}
