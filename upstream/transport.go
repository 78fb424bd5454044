package upstream

import (
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Defaults of the options of both clients.
const (
	DefaultDialTimeout = 2 * time.Second
	// DefaultIdleConnTimeout is below the usual keep-alive time of servers, so
	// that this side closes a pooled connection first.
	DefaultIdleConnTimeout     = 20 * time.Second
	DefaultMaxIdleConnsPerHost = 128
	maxIdleConns               = 8192
	maxHeaderBytes             = 64 << 10
)

// newTransport returns an HTTP/1.1 transport that tells sealedconn's calls
// what it writes.
func newTransport(dialTimeout, idleConnTimeout time.Duration, idlePerHost int) *http.Transport {
	transport := sealedconn.NewTransport(dialTimeout)
	transport.MaxIdleConns = maxIdleConns
	transport.MaxIdleConnsPerHost = idlePerHost
	transport.IdleConnTimeout = idleConnTimeout
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return transport
}

// newAttempt returns a call that raises the run state before its bytes go out.
func newAttempt(state *runstate.Tracker) *sealedconn.Call {
	return &sealedconn.Call{OnWrite: func() { state.Raise(runstate.MayHaveRun) }}
}
