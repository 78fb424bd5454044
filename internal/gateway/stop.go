package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// balancerLag is how long the load balancer still sends new connections after the host began to
	// report that it isn't ready. The balancer makes two checks, a second apart, and another check
	// may be in transit.
	balancerLag = 2500 * time.Millisecond
	// killMargin is the part of StopTimeout that is left for the process to exit.
	killMargin = 400 * time.Millisecond
)

// stop stops the server for callers. It first reports that the host isn't ready, so that the load
// balancer sends no new connections, and then accepts no new connections or requests and waits for
// the answers in progress. Answers that aren't complete by killMargin before the end of StopTimeout
// are cut off.
func (g *Gateway) stop(callers *http.Server) {
	deadline := time.Now().Add(g.settings.StopTimeout - killMargin)
	g.stopping.Store(true)
	g.holds.endHolds()
	if g.peers != nil {
		g.peers.StopRelaying()
	}
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
	g.awaitRelayed(ctx)
}

// relayPollInterval is how often a host that stops checks whether it still relays connections.
const relayPollInterval = 50 * time.Millisecond

// awaitRelayed waits until this host relays no connections of other hosts any more, or the context ends.
func (g *Gateway) awaitRelayed(ctx context.Context) {
	if g.peers == nil {
		return
	}
	for g.peers.RelayCount() > 0 && wait.For(ctx, relayPollInterval) == nil {
	}
	if n := g.peers.RelayCount(); n > 0 {
		g.log.Warn().Str("event", "stop-cut-relayed").Int("connections", n).Msg("")
	}
}
