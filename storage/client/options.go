package client

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultMaxConnections = 16
	DefaultMaxIdle        = 4
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxBody        = 8 << 20
)

// Options set up a Platform. Zero fields take their defaults.
type Options struct {
	// Timeout bounds the service's silence: from the last byte sent to the first of
	// the answer, and between the answer's parts; default DefaultTimeout. The whole
	// call takes as long as its bodies need on the link. An earlier deadline of the
	// context prevails.
	Timeout time.Duration
	// DialTimeout bounds the making of a connection; default
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxConnections bounds the connections in use or idle; further calls wait
	// for one. Default DefaultMaxConnections.
	MaxConnections int
	// MaxIdle bounds the idle connections that are kept; default
	// DefaultMaxIdle.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default
	// DefaultIdleTimeout. Keep it below the server's: a commit that meets a
	// connection which the server has just closed may end in
	// platform.ErrUnknown.
	IdleTimeout time.Duration
	// MaxBody bounds the body of a request and of an answer, in bytes; default
	// DefaultMaxBody.
	MaxBody int64
	// Observe is called after each call, in the caller's goroutine, for metrics
	// and logs; default none.
	Observe func(Observation)
}

// Observation is what a call took and gave.
type Observation struct {
	// Op is the call: "get", "list", "commit", "write object", "read object",
	// "list hosts" or "rate".
	Op string
	// Elapsed is the time from the call's start to its outcome.
	Elapsed time.Duration
	// Sent and Received are the bytes of the bodies. A call that failed before
	// its whole answer was read counts none as received.
	Sent, Received int
	// Err is the failure of the exchange; nil for every whole answer, also for
	// one that refuses the call.
	Err error
}

func (o Options) withDefaults() Options {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	return o
}
