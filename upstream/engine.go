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

// Paths of the engine API.
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

// EngineOptions configures NewEngine. Zero values select the defaults.
type EngineOptions struct {
	// DialTimeout limits the time to establish a connection. Default: 2 s.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept open. Default: 20 s.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost limits the idle connections to one upstream.
	// Default: 128.
	MaxIdleConnsPerHost int
	// FrameTimeout limits the wait for the next frame, including all attempts
	// to resume. The wait for the response header is limited by the context
	// only, because a request may wait in the engine's queue. Default: 30 s.
	FrameTimeout time.Duration
	// StallTimeout limits the wait for the next frame on one connection. When it
	// expires, the stream is resumed on another connection. Default: 10 s.
	StallTimeout time.Duration
	// GapTimeout applies instead of StallTimeout while the next frame is missing
	// and later frames have already arrived, so that a lost frame delays the later
	// frames only briefly. Default: 250 ms.
	GapTimeout time.Duration
	// MaxFrame limits the size of one frame, in bytes. Default: 1 MiB.
	MaxFrame int
	// ReorderWindow is the maximum distance, in sequence numbers, between the next
	// frame and an out-of-order frame that is buffered. All buffered frames
	// together are limited to MaxFrame bytes. Default: 64.
	ReorderWindow int
	// ResumeTries is the maximum number of consecutive attempts to resume a stream
	// that deliver no new frame. Default: 5.
	ResumeTries int
	// ResumeDelay is the mean delay before the second attempt to resume; it
	// doubles with each further attempt. Default: 20 ms.
	ResumeDelay time.Duration
	// CancelTimeout limits the request that cancels a stream on the engine.
	// Default: 2 s.
	CancelTimeout time.Duration
	// MaxCancels is the maximum number of cancellations in flight. Further
	// cancellations are not sent. Default: 64.
	MaxCancels int
	// OnNotice receives what the heads of answers state. Default: none.
	OnNotice NoticeFunc
	// Admit permits each new request once more when it is written. Default: all.
	Admit AdmitFunc
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

// EngineClient implements Engine over HTTP/1.1 with pooled connections.
type EngineClient struct {
	opts      EngineOptions
	transport *sealedconn.Transport
	counters  engineCounters
	// cancelSlots is a semaphore that holds one element for each cancellation in
	// flight.
	cancelSlots    chan struct{}
	pendingCancels sync.WaitGroup
}

var _ Engine = (*EngineClient)(nil)

// NewEngine returns a client for model engines.
func NewEngine(opts EngineOptions) *EngineClient {
	opts = opts.withDefaults()
	return &EngineClient{
		opts:        opts,
		transport:   newTransport(opts.DialTimeout, opts.IdleConnTimeout, opts.MaxIdleConnsPerHost),
		cancelSlots: make(chan struct{}, opts.MaxCancels),
	}
}

// Close waits for the cancellations in flight, each limited by CancelTimeout,
// and closes the idle connections. Call it after the last stream is closed.
func (e *EngineClient) Close() error {
	e.pendingCancels.Wait()
	e.transport.CloseIdleConnections()
	return nil
}

// Open implements Engine. The call's request id must not be reused for the same
// target, because a late cancellation of an earlier call could cancel the new one.
func (e *EngineClient) Open(ctx context.Context, target Target, call Call, state *runstate.Tracker) (Stream, error) {
	body, err := requestBody(call.Body, call.Model, call.Version)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	s := newStream(streamCtx, cancel, e, target, call)
	conn := newResponseConn(streamCtx, s.readTimeout)
	resp, err := e.send(conn.ctx, target, call, body, state)
	if err != nil {
		cancel(err)
		return nil, err
	}
	if err := checkResponseHeader(resp.Header, call); err != nil {
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

// send posts the call and returns the response if its status is a success.
func (e *EngineClient) send(ctx context.Context, target Target, call Call, body []byte, state *runstate.Tracker) (*http.Response, error) {
	attempt := newAttempt(state, target, e.opts.Admit)
	req, err := newRequest(attempt.Trace(ctx), http.MethodPost, target, pathCompletions, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := setCallHeaders(req.Header, call); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := roundTrip(e.transport, req, target, e.opts.OnNotice)
	if err != nil {
		err = classifyError(ctx, attempt, err)
		if errors.Is(err, ErrBroken) {
			e.cancelStream(target, call.RequestID)
		}
		return nil, err
	}
	if !isSuccess(resp.StatusCode) {
		return nil, statusError(resp)
	}
	return resp, nil
}

// Load implements Engine.
func (e *EngineClient) Load(ctx context.Context, target Target) (Load, error) {
	var load Load
	data, err := e.doRequest(ctx, http.MethodGet, target, pathLoad, nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return Load{}, fmt.Errorf("%w: load report: %w", ErrBroken, err)
	}
	return load, nil
}

// engineOrder is the JSON body of an order to an engine.
type engineOrder struct {
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

const actionUnload = "unload"

// Unload implements Engine.
func (e *EngineClient) Unload(ctx context.Context, target Target, model, version string, fencing uint64) error {
	body, err := json.Marshal(engineOrder{Fencing: fencing, Action: actionUnload, Model: model, Version: version})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBody, err)
	}
	_, err = e.doRequest(ctx, http.MethodPost, target, pathOrders, body)
	return err
}

// doRequest sends a small request that isn't a call, such as a cancellation, and
// returns the response body.
func (e *EngineClient) doRequest(ctx context.Context, method string, target Target, path string, body []byte) ([]byte, error) {
	attempt := new(sealedconn.Call)
	req, err := newRequest(attempt.Trace(ctx), method, target, path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := roundTrip(e.transport, req, target, e.opts.OnNotice)
	if err != nil {
		return nil, classifyError(ctx, attempt, err)
	}
	if !isSuccess(resp.StatusCode) {
		return nil, statusError(resp)
	}
	defer resp.Body.Close()
	return readBody(ctx, resp, e.opts.MaxFrame, nil)
}

// cancelStream cancels the request on the engine in the background. It is best
// effort: an engine that doesn't receive the cancellation completes the request.
func (e *EngineClient) cancelStream(target Target, requestID string) {
	select {
	case e.cancelSlots <- struct{}{}:
	default:
		e.counters.cancelsSkipped.Add(1)
		return
	}
	e.pendingCancels.Go(func() {
		defer func() { <-e.cancelSlots }()
		ctx, stop := context.WithTimeout(context.Background(), e.opts.CancelTimeout)
		defer stop()
		e.counters.cancels.Add(1)
		_, _ = e.doRequest(ctx, http.MethodDelete, target, streamPath(requestID), nil)
	})
}

func streamPath(requestID string) string {
	return pathStreams + url.PathEscape(requestID)
}

// newRequest returns a request without GetBody. If GetBody were set, the transport
// would resend the request by itself when a pooled connection breaks.
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

// setCallHeaders sets the request headers of a call. It returns
// context.DeadlineExceeded if the call's deadline has passed.
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

// checkResponseHeader checks that the response belongs to this call. A response
// without a model version is rejected, because it can't be verified to come from
// a permitted version.
func checkResponseHeader(h http.Header, call Call) error {
	want := VersionedModel(call.Model, call.Version)
	if got := h.Get(HeaderModelVersion); got != want {
		return fmt.Errorf("%w: version %q instead of %q", ErrMismatch, got, want)
	}
	return checkRequestID(h, call.RequestID)
}

func checkRequestID(h http.Header, requestID string) error {
	for _, got := range h.Values(HeaderRequestID) {
		if got != "" && got != requestID {
			return fmt.Errorf("%w: request id %q instead of %q", ErrMismatch, got, requestID)
		}
	}
	return nil
}

// classifyError wraps a failure before the response header as ErrNotSent if
// nothing was sent and nothing can be sent any more, and as ErrBroken otherwise.
// If ctx was cancelled, the error chain includes the context's error.
func classifyError(ctx context.Context, attempt *sealedconn.Call, err error) error {
	kind := ErrNotSent
	if attempt.Seal() != sealedconn.NotStarted {
		kind = ErrBroken
	}
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w: %w", kind, cause, err)
	}
	return fmt.Errorf("%w: %w", kind, err)
}
