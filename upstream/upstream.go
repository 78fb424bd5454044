// Package upstream provides the clients for model engines and plain services.
//
// Engines offer the chat-completions HTTP API with server-sent events. Each
// event's id is "<request id>:<sequence number>", sequence numbers start at 1,
// and an event with the data "[DONE]" is the end marker. An interrupted stream is
// resumed with GET /v1/streams/<request id> and Last-Event-ID, and cancelled with
// DELETE on the same path.
//
// The entry host uses this package to send requests. The package doesn't select
// upstreams. It sends a second request only to resume a stream or to retry a service
// call marked idempotent. ErrBroken doesn't indicate whether a call ran.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// Errors returned by calls, each wrapped with its cause.
var (
	// ErrNotSent means that no byte of the request was sent, for example because
	// no connection could be established.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrWithheld is the cause, inside ErrNotSent, if Admit didn't permit the request.
	ErrWithheld = errors.New("upstream: the upstream accepts no requests by now")
	// ErrBroken means that the call failed after bytes of it may have been sent.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrIncomplete means that a stream ended without its end marker and could
	// not be resumed.
	ErrIncomplete = errors.New("upstream: incomplete response")
	// ErrMismatch means that the response belongs to another request or model
	// version.
	ErrMismatch = errors.New("upstream: response belongs to another request")
	// ErrTooLarge means that a response or frame exceeds its size limit.
	ErrTooLarge = errors.New("upstream: response too large")
	// ErrBody means that the request body isn't a JSON object; nothing was sent.
	ErrBody = errors.New("upstream: request body is not a JSON object")
)

// StatusError is a response with an HTTP status outside 2xx.
type StatusError struct {
	Status int
	// Leaving reports that the upstream is draining and accepts no new work.
	Leaving bool
	// NotRun reports that, according to the upstream, the request wasn't started.
	NotRun bool
	// RetryAfter is the value of the Retry-After header. It is zero if the response has
	// no such header.
	RetryAfter time.Duration
	// Message is the start of the response body.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream: status " + http.StatusText(e.Status) + ": " + e.Message
}

// Target is the upstream that receives a call.
type Target struct {
	ID      string
	Address string
}

// Call is one attempt of a model request.
type Call struct {
	// RequestID is part of each event id of the response.
	RequestID string
	Model     string
	Version   string
	// Body is the caller's chat-completions request. It is sent with the model
	// and version set and streaming enabled.
	Body []byte
	// Priority orders requests on the engine; lower values run first.
	Priority int
	Deadline time.Time
	// Idempotent reports that the call may be sent more than once.
	Idempotent bool
}

// Frame is one chunk of a streamed response.
type Frame struct {
	// Seq is the sequence number: 1 for the first frame and 1 more for each further
	// frame.
	Seq uint64
	// Data is the event's JSON as the engine sent it. It is valid until the
	// next call of Next.
	Data []byte
	// Text is the delta content of the first choice.
	Text string
}

// Usage is the token usage of a response as reported by the engine.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens is the number of prompt tokens read from the prefix cache.
	CachedTokens int
}

// Load is the load report of an upstream.
type Load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// Versions lists the loaded versions as "model@version". It is nil if the
	// upstream didn't report them.
	Versions []string `json:"versions"`
	Leaving  bool     `json:"leaving"`
	// AgeMs is how old the report was when it was sent, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Stream reads a streamed response. It isn't safe for concurrent use.
type Stream interface {
	// Next returns the next frame in order. It returns io.EOF only after all
	// frames up to the end marker, and another error if the stream ends early.
	Next() (Frame, error)
	// Usage returns the token usage, which is final once Next returns io.EOF.
	Usage() Usage
	// Load returns the load report in the response headers; ok is false if there
	// is none.
	Load() (load Load, ok bool)
	// Close closes the stream and cancels it on the engine unless it has ended.
	Close() error
}

// Engine sends calls to model engines.
type Engine interface {
	// Open sends the call and returns when the response header is received. It
	// raises state to MayHaveRun before the first byte is written and to Ran on a
	// successful response header. It never sends the call a second time.
	Open(ctx context.Context, target Target, call Call, state *runstate.Tracker) (Stream, error)
	// Load requests the engine's load report.
	Load(ctx context.Context, target Target) (Load, error)
	// Unload orders the engine to unload a version. Engines that check fencing
	// numbers reject an order whose number is lower than the highest that they have
	// received.
	Unload(ctx context.Context, target Target, model, version string, fencing uint64) error
}

// ServiceCall is one attempt of a plain service request.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path starts with a slash and includes the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the call to reach the service more than once: if a pooled
	// connection turns out to be closed, the call is resent on another connection.
	// By default the call is sent at most once.
	Idempotent bool
	// Reserve, if set, is called before memory for the response is taken, with the number
	// of bytes. The call fails with ErrTooLarge if it returns false.
	Reserve func(bytes int64) bool
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// StatusError returns the response as an error, for a response that isn't passed on.
func (r *ServiceResponse) StatusError() *StatusError { return newStatusError(r.Status, r.Header) }

// Service sends calls to plain services.
type Service interface {
	// Do sends the call and reads the complete response; only an idempotent call
	// is ever resent. It raises state to MayHaveRun before the first byte is
	// written, and to Ran on any response except 429, 503 and a response that
	// states that the call was not run. Error statuses are returned as responses,
	// not as errors.
	Do(ctx context.Context, target Target, call ServiceCall, state *runstate.Tracker) (ServiceResponse, error)
}
