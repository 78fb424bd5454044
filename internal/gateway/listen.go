package gateway

import (
	"fmt"
	"net"
	"net/http"
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
	specs := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.CallerAddress, g},
		{g.settings.ReadyAddress, ready},
		{g.settings.MetricsAddress, ready},
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
		endpoints = append(endpoints, endpoint{listener: listener, server: &http.Server{
			Handler:           spec.handler,
			ReadHeaderTimeout: callerHeaderTimeout,
			IdleTimeout:       callerIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}})
	}
	return endpoints, nil
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
