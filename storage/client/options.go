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

// Options configures a Platform. Zero fields are replaced by their defaults.
type Options struct {
	// Timeout bounds the time without data: from the last byte sent to the first of
	// the response, and between the parts of the response; default DefaultTimeout.
	// The whole call may take as long as the link needs for its bodies. An earlier
	// deadline of the context has priority.
	Timeout time.Duration
	// DialTimeout bounds the time to establish a connection; default
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxConnections bounds the connections in use or idle; further calls wait
	// for one. Default DefaultMaxConnections.
	MaxConnections int
	// MaxIdle bounds the idle connections that are kept; default
	// DefaultMaxIdle.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default
	// DefaultIdleTimeout. It must be below the server's: a commit sent on a
	// connection that the server has just closed may end in
	// storage.ErrUnknown.
	IdleTimeout time.Duration
	// MaxBody bounds the body of a request and of a response, in bytes; default
	// DefaultMaxBody.
	MaxBody int64
	// OnCall is called after each call, in the caller's goroutine, for metrics
	// and logs; default none.
	OnCall func(CallResult)
}

// CallResult describes one call that has returned.
type CallResult struct {
	// Op names the call: "get", "list", "commit", "write object", "read object",
	// "list hosts" or "rate".
	Op string
	// Elapsed is the time from the call's start to its end.
	Elapsed time.Duration
	// Sent and Received are the sizes of the bodies of the request and the
	// response, in bytes. Received is zero if the call failed before its whole
	// response was read.
	Sent, Received int
	// Err is the error of sending the request or reading the response. It is nil
	// for every complete response, also for one with an error status.
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
