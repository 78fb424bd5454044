package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
)

// lagInterval is the time between two measurements of the lag of the process's timers.
const lagInterval = 100 * time.Millisecond

// callerConnections accepts the connections of callers and rejects those that this host can't serve.
type callerConnections struct {
	rejected atomic.Int64

	mu     sync.Mutex
	filter admission.ConnectionFilter
}

// measureLag measures the lag of the process's timers until the context ends.
func (c *callerConnections) measureLag(ctx context.Context) {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		c.mu.Lock()
		c.filter.SetLag(time.Since(due))
		c.mu.Unlock()
		timer.Reset(lagInterval)
	}
}

// rejecting reports whether this host rejects connections at present.
func (c *callerConnections) rejecting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.filter.Rejecting(time.Now())
}

func (c *callerConnections) accepts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.filter.Accept(time.Now())
}

// callerListener is a listener for callers.
type callerListener struct {
	net.Listener
	connections *callerConnections
	log         zerolog.Logger
}

// Accept implements net.Listener. It closes connections that are rejected before anything is read from
// them, so that their callers know that their requests weren't processed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		rejecting := l.connections.rejecting()
		if l.connections.accepts() {
			return conn, nil
		}
		if !rejecting {
			l.log.Warn().Str("event", "connections-rejected").Int64("before", l.connections.rejected.Load()).Msg("")
		}
		l.connections.rejected.Add(1)
		conn.Close()
	}
}
