// Package peer carries calls between entry hosts: JSON-RPC 2.0 over TCP, with
// mutual authentication by shared keys before the first message and a message
// authentication code with a sequence number on each frame after it.
//
// A connection is used in one direction: the host that dialled it calls, the
// host that accepted it answers. A call is sent at most once; the error says
// whether it can have reached the other host.
//
// The entry hosts' membership, evidence, bills and loans of quota go over it.
// Frames are authenticated and not encrypted, and calls of different
// connections have no order.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

// Errors of calls and connections; each is wrapped with its cause.
var (
	// ErrUnreachable means that the call was not sent: there is no connection.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken means that the call was sent, at least in part, and no answer
	// came back.
	ErrBroken = errors.New("peer: connection broken")
	// ErrOverloaded means that too many calls are open; the call was not sent.
	ErrOverloaded = errors.New("peer: too many calls")
	// ErrTooLarge means that a message is over the size limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrMalformed means that the bytes received are no valid frame or message.
	ErrMalformed = errors.New("peer: malformed message")
	// ErrAuthentication means that the other side didn't prove that it holds a
	// key, or that a frame was altered, repeated or left out.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("peer: closed")
	// ErrOptions means that the options are invalid.
	ErrOptions = errors.New("peer: invalid options")
)

// Codes of the JSON-RPC errors that a server answers with.
const (
	// CodeMethodNotFound is defined by JSON-RPC 2.0.
	CodeMethodNotFound = -32601
	// CodeInvalidParams is defined by JSON-RPC 2.0.
	CodeInvalidParams = -32602
	// CodeHandler says that the handler returned an error.
	CodeHandler = 1
	// CodeStopping says that the host is stopping and didn't begin the call.
	CodeStopping = 2
)

// CallError is an error that the other host answered with.
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
	DefaultMaxMessageBytes  = 1 << 20
	DefaultMaxConcurrent    = 64
	DefaultMaxConns         = 1024
	DefaultDialTimeout      = time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultWriteTimeout     = 2 * time.Second
	DefaultFrameTimeout     = 5 * time.Second
	DefaultStallTimeout     = 3 * time.Second
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultDrainTimeout     = 2 * time.Second
	DefaultMinBackoff       = 100 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// Limits bounds what one connection may use. Zero values take the defaults.
type Limits struct {
	// MaxMessageBytes is the largest message; default 1 MiB.
	MaxMessageBytes int
	// MaxConcurrent is the number of open calls per connection; default 64.
	MaxConcurrent int
	// HandshakeTimeout bounds the authentication; default 2 s.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the writing of one frame; default 2 s. A peer that
	// takes longer is disconnected.
	WriteTimeout time.Duration
	// FrameTimeout bounds the reading of a frame from its first byte; default
	// 5 s.
	FrameTimeout time.Duration
	// IdleTimeout is how long a server waits for a frame; default 2 min. The
	// client waits half as long, so that it doesn't call into a connection
	// that the server is about to close. No call may take longer.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	defaults.Positive(&l.MaxMessageBytes, DefaultMaxMessageBytes)
	defaults.Positive(&l.MaxConcurrent, DefaultMaxConcurrent)
	defaults.Positive(&l.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Positive(&l.WriteTimeout, DefaultWriteTimeout)
	defaults.Positive(&l.FrameTimeout, DefaultFrameTimeout)
	defaults.Positive(&l.IdleTimeout, DefaultIdleTimeout)
	return l
}
