// Package upstream is the client of model engines and plain services.
//
// Engines are met through the chat-completions HTTP API with server-sent
// events. Each event's id is "<request id>:<sequence number>", sequence
// numbers start at 1, and the data "[DONE]" is the end mark. A broken stream
// is taken up again with GET /v1/streams/<request id> and Last-Event-ID, and
// cancelled with DELETE on the same path.
//
// The entry host sends with it. The package chooses no upstream and repeats no
// call, but for resuming a stream and for service calls that are marked
// idempotent. ErrBroken says nothing on whether a call ran.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// Errors that a call can end with; each is wrapped with its cause.
var (
	// ErrConnect means that no connection was made; nothing was sent.
	ErrConnect = errors.New("upstream: no connection")
	// ErrBroken means that the connection broke after bytes were sent.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrIncomplete means that a stream ended without its end mark and could
	// not be resumed.
	ErrIncomplete = errors.New("upstream: answer incomplete")
	// ErrMismatch means that the answer belongs to another request.
	ErrMismatch = errors.New("upstream: answer of another request")
	// ErrTooLarge means that an answer or frame is over its size limit.
	ErrTooLarge = errors.New("upstream: answer too large")
	// ErrBody means that the request's body isn't a JSON object; nothing was
	// sent.
	ErrBody = errors.New("upstream: request body is not a JSON object")
)

// StatusError is an answer with an HTTP status other than success.
type StatusError struct {
	Status int
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// NotRun says that the upstream states that it did not begin the request.
	NotRun bool
	// RetryAfter is the upstream's advice; zero if it gave none.
	RetryAfter time.Duration
	// Message is the start of the answer's body.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream: status " + http.StatusText(e.Status) + ": " + e.Message
}

// Target is the upstream that a call goes to.
type Target struct {
	ID      string
	Address string
}

// Call is one attempt of a model request.
type Call struct {
	// RequestID is echoed in each frame.
	RequestID string
	Model     string
	Version   string
	// Body is the caller's chat-completions request, sent with the model and
	// version set and with streaming on.
	Body []byte
	// Priority is the engine's priority; lower goes first.
	Priority int
	Deadline time.Time
	// Idempotent says that the call may be sent again.
	Idempotent bool
}

// Frame is one piece of an answer.
type Frame struct {
	// Seq starts at 1 and rises by 1.
	Seq uint64
	// Data is the event's JSON as the engine sent it. It is valid until the
	// next call of Next.
	Data []byte
	// Text is the delta's content.
	Text string
}

// Usage is what an answer consumed, in tokens, as the engine counted it.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens is the part of the prompt that came from the prefix cache.
	CachedTokens int
}

// Load is an upstream's own report.
type Load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// Versions lists the loaded versions as "model@version"; nil says nothing
	// of them.
	Versions []string `json:"versions"`
	Leaving  bool     `json:"leaving"`
	// AgeMs is how old the report was when it was sent, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Stream is an answer being read. It is used by one goroutine.
type Stream interface {
	// Next returns the next frame in order. io.EOF comes only after the end
	// mark; every other end is an error.
	Next() (Frame, error)
	// Usage is known after io.EOF.
	Usage() Usage
	// Load is the report carried on the answer; ok is false without one.
	Load() (load Load, ok bool)
	// Close ends the stream and cancels it upstream if it isn't complete.
	Close() error
}

// Engine sends calls to model engines.
type Engine interface {
	// Open sends the call and returns at the head of the answer. It raises
	// state to MayHaveRun at the first byte written and to Ran at the head of
	// a successful answer. It never sends the call a second time.
	Open(ctx context.Context, target Target, call Call, state *runstate.Tracker) (Stream, error)
	// Load asks the engine for its report.
	Load(ctx context.Context, target Target) (Load, error)
	// Unload orders the engine to drop a version. Engines that check fencing
	// numbers refuse a lower one than they have seen.
	Unload(ctx context.Context, target Target, model, version string, fencing uint64) error
}

// ServiceCall is one attempt of a plain service request.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path starts with a slash and holds the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says that the call may reach the service more than once: a
	// pooled connection that turns out to be closed is then replaced and the
	// call sent again. Default: false, the call is sent at most once.
	Idempotent bool
}

// ServiceAnswer is a whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service sends calls to plain services.
type Service interface {
	// Do sends the call and reads the whole answer; only an idempotent call is
	// ever sent again. It raises state as Engine.Open does, where each answer
	// counts as a success unless it says that the call was not run. Statuses
	// are returned as answers, not as errors.
	Do(ctx context.Context, target Target, call ServiceCall, state *runstate.Tracker) (ServiceAnswer, error)
}
