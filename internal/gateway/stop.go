package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// balancerLag is how long the load balancer still sends new connections after the host
	// reported that it isn't ready: two checks a second apart, and one in transit.
	balancerLag = 2500 * time.Millisecond
	// killMargin is the part of the stop's time limit that is left for the process to exit.
	killMargin = 400 * time.Millisecond
)

// stop ends the service: first it accepts no new connections, then no new requests, then it waits
// for the answers in progress.
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
		g.stopExpired.Store(true)
		err = callers.Close()
	}
	if err != nil {
		g.log.Warn().Str("event", "stop-error").Err(err).Msg("")
	}
}
