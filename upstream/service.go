package upstream

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Defaults of ServiceOptions.
const (
	DefaultServiceTimeout   = 60 * time.Second
	DefaultMaxResponseBytes = 8 << 20
)

// ServiceOptions configures NewService. Zero values select the defaults.
type ServiceOptions struct {
	// DialTimeout limits the time to establish a connection. Default: 2 s.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept open. Default: 20 s.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost limits the idle connections to one upstream.
	// Default: 128.
	MaxIdleConnsPerHost int
	// Timeout limits a call from its start to the end of the response body, in
	// addition to the context. Default: 60 s.
	Timeout time.Duration
	// MaxResponseBytes limits the size of a response body, in bytes. Default: 8 MiB.
	MaxResponseBytes int
	// OnNotice receives what the heads of answers state. Default: none.
	OnNotice NoticeFunc
	// Admit permits each new request once more when it is written. Default: all.
	Admit AdmitFunc
}

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleConnTimeout = cmp.Or(o.IdleConnTimeout, DefaultIdleConnTimeout)
	o.MaxIdleConnsPerHost = cmp.Or(o.MaxIdleConnsPerHost, DefaultMaxIdleConnsPerHost)
	o.Timeout = cmp.Or(o.Timeout, DefaultServiceTimeout)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, DefaultMaxResponseBytes)
	return o
}

// ServiceClient implements Service over HTTP/1.1 with pooled connections.
type ServiceClient struct {
	opts      ServiceOptions
	transport *sealedconn.Transport
}

var _ Service = (*ServiceClient)(nil)

// NewService returns a client for plain services.
func NewService(opts ServiceOptions) *ServiceClient {
	opts = opts.withDefaults()
	return &ServiceClient{
		opts:      opts,
		transport: newTransport(opts.DialTimeout, opts.IdleConnTimeout, opts.MaxIdleConnsPerHost),
	}
}

// Close closes the idle connections.
func (s *ServiceClient) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// Do implements Service.
func (s *ServiceClient) Do(ctx context.Context, target Target, call ServiceCall, state *runstate.Tracker) (ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	attempt := newAttempt(state, target, s.opts.Admit)
	attempt.Repeatable = call.Idempotent
	req, err := newRequest(attempt.Trace(ctx), call.Method, target, call.Path, call.Body)
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header = endToEndHeaders(call.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.Idempotent {
		allowTransportRetry(req, call.Body)
	}
	resp, err := roundTrip(s.transport, req, target, s.opts.OnNotice)
	if err != nil {
		return ServiceResponse{}, classifyError(ctx, attempt, err)
	}
	defer resp.Body.Close()
	if err := checkRequestID(resp.Header, call.RequestID); err != nil {
		return ServiceResponse{}, err
	}
	if !isRefusal(resp) {
		state.Raise(runstate.Ran)
	}
	body, err := readBody(ctx, resp, s.opts.MaxResponseBytes, call.Reserve)
	if err != nil {
		return ServiceResponse{}, err
	}
	return ServiceResponse{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header), Body: body}, nil
}

// headerIdempotencyKey is a header whose presence in a request makes the transport
// resend the request when a pooled connection turns out to be closed. If the header
// has no value, the transport doesn't send it.
const headerIdempotencyKey = "X-Idempotency-Key"

func allowTransportRetry(req *http.Request, body []byte) {
	if _, ok := req.Header[headerIdempotencyKey]; !ok {
		req.Header[headerIdempotencyKey] = nil
	}
	if len(body) == 0 {
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
}

// isRefusal reports whether the service rejected the call for now or states that it
// didn't start the call. Neither response proves that the call ran.
func isRefusal(resp *http.Response) bool {
	if statesNotRun(resp.StatusCode, resp.Header) {
		return true
	}
	return resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
}
