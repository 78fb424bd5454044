package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

const (
	// balancerLag is how long the load balancer still sends new connections after the host began to
	// report that it isn't ready. The balancer makes two checks, a second apart, and another check
	// may be in transit.
	balancerLag = 2500 * time.Millisecond
	// killMargin is the part of StopTimeout that is left to answer the requests in progress by then
	// (plannedstop.AnswerMargin) and for the process to exit.
	killMargin = 400 * time.Millisecond
)

// stop stops the server for callers. It first reports that the host isn't ready, so that the load
// balancer sends no new connections, and then accepts no new connections or requests and waits for
// the answers in progress. Requests that haven't ended by killMargin before the end of StopTimeout are
// answered by what is known of them then; streams that have begun are cut off.
func (g *Gateway) stop(callers *http.Server) {
	endsAt := boottime.Now().Add(g.settings.StopTimeout - killMargin)
	g.plannedStop.Begin(endsAt)
	g.stopping.Store(true)
	g.holds.endHolds()
	if g.peers != nil {
		g.peers.StopRelaying()
	}
	g.log.Info().Str("event", "stopping").Int64("in_flight", g.inFlight.Load()).Msg("")
	time.Sleep(min(balancerLag, g.settings.StopTimeout/2))
	ctx, cancel := context.WithTimeout(context.Background(), boottime.Until(endsAt))
	defer cancel()
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn().Str("event", "stop-cut").Int64("in_flight", g.inFlight.Load()).Msg("")
		err = g.plannedStop.EndRequests(callers, g.intake.EndBodies)
	}
	if err != nil {
		g.log.Warn().Str("event", "stop-error").Err(err).Msg("")
	}
	g.awaitRelayed(ctx)
}

// lateRefusal returns the refusal of a request that isn't expected to end before a planned stop does; nil otherwise.
func (d *dispatch) lateRefusal(r *Request) error {
	if d.gateway.plannedStop.Admits(r.stopKind(), r.Deadline, boottime.Now()) {
		return nil
	}
	return resultcode.Wrap(resultcode.HostStopping, errNoneAvailable, "this host is stopping, and the request usually takes longer")
}

// stopKind returns the kind of requests by whose times the request's time is estimated for a planned stop.
func (r *Request) stopKind() string { return r.Service + "/" + r.Route.Name }

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
