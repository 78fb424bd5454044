// Package peer provides remote procedure calls between entry hosts: JSON-RPC 2.0
// over TCP, with mutual authentication by shared keys before the first message and
// a message authentication code over a sequence number and the payload in each
// frame.
//
// A connection is used in one direction: the host that dialled it sends calls, and the
// host that accepted it responds. A call is sent at most once. If a call fails, its error
// indicates whether the call may have reached the other host.
//
// The entry hosts use it for membership, manifests, roll-out evidence, quarantine
// sightings, copies of bills and loans of quota. Frames are authenticated but not
// encrypted, and calls on different connections aren't ordered.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Errors of calls and connections, each wrapped with its cause.
var (
	// ErrUnreachable means that the call was not sent because there is no
	// connection.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken means that the connection ended before a response was received; the
	// call may have been sent.
	ErrBroken = errors.New("peer: connection broken")
	// ErrOverloaded means that too many calls are open; the call was not sent.
	ErrOverloaded = errors.New("peer: too many calls")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrMalformed means that the received bytes aren't a valid frame or message.
	ErrMalformed = errors.New("peer: malformed message")
	// ErrAuthentication means that the other side didn't prove possession of a
	// shared key, or that a frame was altered, repeated, reordered or omitted.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("peer: closed")
	// ErrOptions means that the options are invalid.
	ErrOptions = errors.New("peer: invalid options")
)

// Codes of the JSON-RPC errors that a server returns.
const (
	// CodeMethodNotFound is defined by JSON-RPC 2.0.
	CodeMethodNotFound = -32601
	// CodeInvalidParams is defined by JSON-RPC 2.0.
	CodeInvalidParams = -32602
	// CodeHandler means that the handler returned an error.
	CodeHandler = 1
	// CodeStopping means that the host is stopping and didn't start the call.
	CodeStopping = 2
)

// CallError is an error response from the other host.
type CallError struct {
	Method  string
	Code    int64
	Message string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: %s: code %d: %s", e.Method, e.Code, e.Message)
}

// Default limits.
const (
	DefaultMaxMessageBytes    = 1 << 20
	DefaultMaxConcurrentCalls = 64
	DefaultMaxConns           = 1024
	DefaultDialTimeout        = time.Second
	DefaultHandshakeTimeout   = 2 * time.Second
	DefaultWriteTimeout       = 2 * time.Second
	DefaultFrameTimeout       = 5 * time.Second
	DefaultStallTimeout       = 3 * time.Second
	DefaultIdleTimeout        = 2 * time.Minute
	DefaultDrainTimeout       = 2 * time.Second
	DefaultMinBackoff         = 100 * time.Millisecond
	DefaultMaxBackoff         = 2 * time.Second
)

// Limits limits the resources of one connection. Zero values select the defaults.
type Limits struct {
	// MaxMessageBytes is the maximum size of a message; default 1 MiB.
	MaxMessageBytes int
	// MaxConcurrentCalls is the maximum number of open calls per connection; default 64.
	MaxConcurrentCalls int
	// HandshakeTimeout limits the time for authentication; default 2 s.
	HandshakeTimeout time.Duration
	// WriteTimeout limits the time to write one frame; default 2 s. The connection
	// is closed if the write takes longer.
	WriteTimeout time.Duration
	// FrameTimeout limits the time to read a frame after its first byte; default
	// 5 s.
	FrameTimeout time.Duration
	// IdleTimeout is how long a server waits for a frame; default 2 min. The client
	// waits half as long, so that it doesn't send a call on a connection that the
	// server is about to close. A call whose response takes longer than the client waits
	// fails.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	defaults.Positive(&l.MaxMessageBytes, DefaultMaxMessageBytes)
	defaults.Positive(&l.MaxConcurrentCalls, DefaultMaxConcurrentCalls)
	defaults.Positive(&l.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Positive(&l.WriteTimeout, DefaultWriteTimeout)
	defaults.Positive(&l.FrameTimeout, DefaultFrameTimeout)
	defaults.Positive(&l.IdleTimeout, DefaultIdleTimeout)
	return l
}
