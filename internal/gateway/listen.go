package gateway

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/routing"
)

// endpoint is a server with its listener.
type endpoint struct {
	server   *http.Server
	listener net.Listener
}

// listen opens all listeners and returns the servers for them; the one for callers is first.
func (g *Gateway) listen() ([]endpoint, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.settings.ReadyPath, g.serveReady)
	ready.HandleFunc("GET /metrics", g.serveMetrics)
	callers, checks := g.callerOptions(), g.checkOptions("ready")
	specs := []struct {
		address string
		handler http.Handler
		options httpintake.ServerOptions
	}{
		{g.settings.CallerAddress, g, callers},
		{g.settings.ReadyAddress, ready, checks},
		{g.settings.MetricsAddress, ready, g.checkOptions("metrics")},
	}
	var endpoints []endpoint
	for _, spec := range specs {
		if spec.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			return nil, fmt.Errorf("gateway: %w", err)
		}
		if spec.handler == http.Handler(g) {
			listener = &callerListener{Listener: listener, connections: &g.connections, log: g.log}
		}
		endpoints = append(endpoints, endpoint{listener: g.intake.Listener(listener, spec.options), server: g.intake.NewServer(spec.handler, spec.options)})
	}
	return endpoints, nil
}

// callerOptions returns the options of the callers' listener. Its limits are those of the routing document,
// with room for what the network delays or the document doesn't count.
func (g *Gateway) callerOptions() httpintake.ServerOptions {
	return httpintake.ServerOptions{
		Name: "callers", Group: intake.Callers,
		// The limit is one of the header lines, which matchRoute checks. The request line may have the same size.
		MaxHead: func() int { return 2 * g.callerLimits().MaxHeaderBytes },
		// A part of a head that is lost on the way takes as long again.
		HeadTimeout: func() time.Duration { return 2 * g.callerLimits().HeaderTimeout },
		// A request that is sent just before the idle timeout still arrives.
		IdleTimeout: func() time.Duration {
			l := g.callerLimits()
			return l.IdleTimeout + l.HeaderTimeout
		},
		WriteTimeout: callerWriteTimeout,
	}
}

// callerLimits returns the limits of heads and of unused connections that are in force.
func (g *Gateway) callerLimits() routing.Limits {
	var l routing.Limits
	if table := g.routingTable.Load(); table != nil {
		l = table.Limits
	}
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// checkOptions returns the options of a listener for readiness checks and metrics.
func (g *Gateway) checkOptions(name string) httpintake.ServerOptions {
	return httpintake.ServerOptions{
		Name: name, Group: intake.Checks,
		MaxHead:      func() int { return maxCheckHead },
		HeadTimeout:  func() time.Duration { return defaultHeaderTimeout },
		IdleTimeout:  func() time.Duration { return defaultIdleTimeout },
		WriteTimeout: callerWriteTimeout,
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	// Without the statuses of roll-outs the host might send requests to a version that was stopped.
	_, statuses := g.rollouts.statuses.Age()
	if g.stopping.Load() || !g.hasTables() || !statuses || g.connections.rejecting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) { g.metrics.write(w) }
