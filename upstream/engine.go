package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Paths of the engines' API.
const (
	pathCompletions = "/v1/chat/completions"
	pathStreams     = "/v1/streams/"
	pathLoad        = "/load"
	pathOrders      = "/orders"
)

// Defaults of EngineOptions.
const (
	DefaultFrameTimeout  = 30 * time.Second
	DefaultStallTimeout  = 10 * time.Second
	DefaultGapTimeout    = 250 * time.Millisecond
	DefaultMaxFrame      = 1 << 20
	DefaultReorderWindow = 64
	DefaultResumeTries   = 5
	DefaultResumeDelay   = 20 * time.Millisecond
	DefaultCancelTimeout = 2 * time.Second
	DefaultMaxCancels    = 64
)

// EngineOptions are the settings of NewEngine. Zero values mean the defaults.
type EngineOptions struct {
	// DialTimeout bounds the making of a connection. Default: 2 s.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an unused connection is kept. Default: 20 s.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost bounds the unused connections to one upstream.
	// Default: 128.
	MaxIdleConnsPerHost int
	// FrameTimeout bounds the wait for the next frame, with all attempts to
	// resume in it. The head of an answer is bounded by the context alone,
	// because a request may queue. Default: 30 s.
	FrameTimeout time.Duration
	// StallTimeout bounds the wait for the next frame on one connection; then
	// the stream is resumed on another. Default: 10 s.
	StallTimeout time.Duration
	// GapTimeout takes its place when later frames are there already, so that
	// a lost frame doesn't hold them back for long. Default: 250 ms.
	GapTimeout time.Duration
	// MaxFrame bounds one frame, in bytes. Default: 1 MiB.
	MaxFrame int
	// ReorderWindow is how many frames ahead an early frame is kept; together
	// they are at most MaxFrame bytes. Default: 64.
	ReorderWindow int
	// ResumeTries bounds the attempts to resume without a new frame between
	// them. Default: 5.
	ResumeTries int
	// ResumeDelay is the mean wait before the second attempt to resume; it
	// doubles with each further one. Default: 20 ms.
	ResumeDelay time.Duration
	// CancelTimeout bounds the cancelling of a stream upstream. Default: 2 s.
	CancelTimeout time.Duration
	// MaxCancels bounds the cancellations in flight; more are not sent.
	// Default: 64.
	MaxCancels int
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleConnTimeout = cmp.Or(o.IdleConnTimeout, DefaultIdleConnTimeout)
	o.MaxIdleConnsPerHost = cmp.Or(o.MaxIdleConnsPerHost, DefaultMaxIdleConnsPerHost)
	o.FrameTimeout = cmp.Or(o.FrameTimeout, DefaultFrameTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, DefaultStallTimeout)
	o.GapTimeout = cmp.Or(o.GapTimeout, DefaultGapTimeout)
	o.MaxFrame = cmp.Or(o.MaxFrame, DefaultMaxFrame)
	o.ReorderWindow = cmp.Or(o.ReorderWindow, DefaultReorderWindow)
	o.ResumeTries = cmp.Or(o.ResumeTries, DefaultResumeTries)
	o.ResumeDelay = cmp.Or(o.ResumeDelay, DefaultResumeDelay)
	o.CancelTimeout = cmp.Or(o.CancelTimeout, DefaultCancelTimeout)
	o.MaxCancels = cmp.Or(o.MaxCancels, DefaultMaxCancels)
	return o
}

// EngineClient is the Engine over HTTP/1.1 with pooled connections.
type EngineClient struct {
	opts      EngineOptions
	transport *http.Transport
	counters  engineCounters
	// cancels holds a token for each cancellation in flight.
	cancels    chan struct{}
	cancelling sync.WaitGroup
}

var _ Engine = (*EngineClient)(nil)

// NewEngine returns a client of model engines.
func NewEngine(opts EngineOptions) *EngineClient {
	opts = opts.withDefaults()
	return &EngineClient{
		opts:      opts,
		transport: newTransport(opts.DialTimeout, opts.IdleConnTimeout, opts.MaxIdleConnsPerHost),
		cancels:   make(chan struct{}, opts.MaxCancels),
	}
}

// Close waits for the cancellations in flight, each of which is bounded by
// CancelTimeout, and closes the unused connections. It is called after the
// last stream was closed.
func (e *EngineClient) Close() error {
	e.cancelling.Wait()
	e.transport.CloseIdleConnections()
	return nil
}

// Open implements Engine. The call's request id must not be used again
// towards the same target, because a late cancellation could end the new
// call.
func (e *EngineClient) Open(ctx context.Context, target Target, call Call, state *runstate.Tracker) (Stream, error) {
	body, err := requestBody(call.Body, call.Model, call.Version)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	s := newStream(streamCtx, cancel, e, target, call)
	conn := newAnswerConn(streamCtx, s.patience)
	resp, err := e.send(conn.ctx, target, call, body, state)
	if err != nil {
		cancel(err)
		return nil, err
	}
	if err := checkHead(resp.Header, call); err != nil {
		resp.Body.Close()
		cancel(err)
		e.cancelStream(target, call.RequestID)
		return nil, err
	}
	state.Raise(runstate.Ran)
	s.load, s.hasLoad = parseLoad(resp.Header)
	s.attach(conn, resp)
	return s, nil
}

// send posts the call and returns a successful answer.
func (e *EngineClient) send(ctx context.Context, target Target, call Call, body []byte, state *runstate.Tracker) (*http.Response, error) {
	try := newAttempt(state)
	req, err := newRequest(try.Trace(ctx), http.MethodPost, target, pathCompletions, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	if err := setCallHeaders(req.Header, call); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	resp, err := e.transport.RoundTrip(req)
	if err != nil {
		err = classify(ctx, try, err)
		if errors.Is(err, ErrBroken) {
			e.cancelStream(target, call.RequestID)
		}
		return nil, err
	}
	if !success(resp.StatusCode) {
		return nil, statusError(resp)
	}
	return resp, nil
}

// Load implements Engine.
func (e *EngineClient) Load(ctx context.Context, target Target) (Load, error) {
	var load Load
	data, err := e.exchange(ctx, http.MethodGet, target, pathLoad, nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return Load{}, fmt.Errorf("%w: load report: %w", ErrBroken, err)
	}
	return load, nil
}

// order is an order to an engine.
type order struct {
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

const actionUnload = "unload"

// Unload implements Engine.
func (e *EngineClient) Unload(ctx context.Context, target Target, model, version string, fencing uint64) error {
	body, err := json.Marshal(order{Fencing: fencing, Action: actionUnload, Model: model, Version: version})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBody, err)
	}
	_, err = e.exchange(ctx, http.MethodPost, target, pathOrders, body)
	return err
}

// exchange sends a small request of the client's own and reads the answer.
func (e *EngineClient) exchange(ctx context.Context, method string, target Target, path string, body []byte) ([]byte, error) {
	try := new(sealedconn.Call)
	req, err := newRequest(try.Trace(ctx), method, target, path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	resp, err := e.transport.RoundTrip(req)
	if err != nil {
		return nil, classify(ctx, try, err)
	}
	if !success(resp.StatusCode) {
		return nil, statusError(resp)
	}
	defer resp.Body.Close()
	return readWhole(ctx, resp, e.opts.MaxFrame)
}

// cancelStream tells the engine in the background that nobody reads the
// answer. It is best effort: an engine that doesn't hear of it finishes.
func (e *EngineClient) cancelStream(target Target, requestID string) {
	select {
	case e.cancels <- struct{}{}:
	default:
		e.counters.cancelsSkipped.Add(1)
		return
	}
	e.cancelling.Go(func() {
		defer func() { <-e.cancels }()
		ctx, stop := context.WithTimeout(context.Background(), e.opts.CancelTimeout)
		defer stop()
		e.counters.cancels.Add(1)
		_, _ = e.exchange(ctx, http.MethodDelete, target, streamPath(requestID), nil)
	})
}

func streamPath(requestID string) string {
	return pathStreams + url.PathEscape(requestID)
}

// newRequest builds a request without GetBody: with it the transport sends a
// request again by itself when a pooled connection breaks.
func newRequest(ctx context.Context, method string, target Target, path string, body []byte) (*http.Request, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = target.Address
	req, err := http.NewRequestWithContext(ctx, method, "", nil)
	if err != nil {
		return nil, err
	}
	req.URL = u
	req.Host = target.Address
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	return req, nil
}

// setCallHeaders sets the headers of a call; it fails once the deadline has
// passed.
func setCallHeaders(h http.Header, call Call) error {
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, call.RequestID)
	h.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Deadline.IsZero() {
		return nil
	}
	remaining := time.Until(call.Deadline).Milliseconds()
	if remaining <= 0 {
		return context.DeadlineExceeded
	}
	h.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	return nil
}

// checkHead checks that the answer is this call's. An answer that doesn't
// state its version is refused: it can't be shown to be permitted.
func checkHead(h http.Header, call Call) error {
	want := VersionedModel(call.Model, call.Version)
	if got := h.Get(HeaderModelVersion); got != want {
		return fmt.Errorf("%w: version %q instead of %q", ErrMismatch, got, want)
	}
	return checkRequestID(h, call.RequestID)
}

func checkRequestID(h http.Header, requestID string) error {
	got := h.Get(HeaderRequestID)
	if got != "" && got != requestID {
		return fmt.Errorf("%w: request id %q instead of %q", ErrMismatch, got, requestID)
	}
	return nil
}

// classify turns a failure before the head of an answer into ErrConnect, when
// nothing was sent and nothing will be, or ErrBroken. The cause of a
// cancelled context is kept in the chain.
func classify(ctx context.Context, try *sealedconn.Call, err error) error {
	kind := ErrConnect
	if try.Seal() != sealedconn.Untouched {
		kind = ErrBroken
	}
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w: %w", kind, cause, err)
	}
	return fmt.Errorf("%w: %w", kind, err)
}
