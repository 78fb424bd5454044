package upstream

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Defaults of the options that both clients share.
const (
	DefaultDialTimeout = 2 * time.Second
	// DefaultIdleConnTimeout is shorter than the usual keep-alive timeout of
	// servers, so that the client closes an idle connection first.
	DefaultIdleConnTimeout     = 20 * time.Second
	DefaultMaxIdleConnsPerHost = 128
	maxIdleConns               = 8192
	maxHeaderBytes             = 64 << 10
)

// newTransport returns an HTTP/1.1 transport whose writes a sealedconn.Call can
// track.
func newTransport(dialTimeout, idleConnTimeout time.Duration, idlePerHost int) *sealedconn.Transport {
	transport := sealedconn.NewTransport(dialTimeout)
	transport.MaxIdleConns = maxIdleConns
	transport.MaxIdleConnsPerHost = idlePerHost
	transport.IdleConnTimeout = idleConnTimeout
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return transport
}

// newAttempt returns a call that raises state to MayHaveRun before the first
// byte is written.
func newAttempt(state *runstate.Tracker, target Target, admit AdmitFunc) *sealedconn.Call {
	call := &sealedconn.Call{OnWrite: func() { state.Raise(runstate.MayHaveRun) }}
	if admit != nil {
		call.Admit = func() error {
			if !admit(target) {
				return ErrWithheld
			}
			return nil
		}
	}
	return call
}
