package upstream

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// Defaults of ServiceOptions.
const (
	DefaultServiceTimeout = 60 * time.Second
	DefaultMaxAnswer      = 8 << 20
)

// ServiceOptions are the settings of NewService. Zero values mean the
// defaults.
type ServiceOptions struct {
	// DialTimeout bounds the making of a connection. Default: 2 s.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an unused connection is kept. Default: 20 s.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost bounds the unused connections to one upstream.
	// Default: 128.
	MaxIdleConnsPerHost int
	// Timeout bounds a call from its start to the end of its answer, beside
	// the context. Default: 60 s.
	Timeout time.Duration
	// MaxAnswer bounds the body of an answer, in bytes. Default: 8 MiB.
	MaxAnswer int
}

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleConnTimeout = cmp.Or(o.IdleConnTimeout, DefaultIdleConnTimeout)
	o.MaxIdleConnsPerHost = cmp.Or(o.MaxIdleConnsPerHost, DefaultMaxIdleConnsPerHost)
	o.Timeout = cmp.Or(o.Timeout, DefaultServiceTimeout)
	o.MaxAnswer = cmp.Or(o.MaxAnswer, DefaultMaxAnswer)
	return o
}

// ServiceClient is the Service over HTTP/1.1 with pooled connections.
type ServiceClient struct {
	opts      ServiceOptions
	transport *http.Transport
}

var _ Service = (*ServiceClient)(nil)

// NewService returns a client of plain services.
func NewService(opts ServiceOptions) *ServiceClient {
	opts = opts.withDefaults()
	return &ServiceClient{
		opts:      opts,
		transport: newTransport(opts.DialTimeout, opts.IdleConnTimeout, opts.MaxIdleConnsPerHost),
	}
}

// Close closes the unused connections.
func (s *ServiceClient) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// Do implements Service.
func (s *ServiceClient) Do(ctx context.Context, target Target, call ServiceCall, state *runstate.Tracker) (ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	try := newAttempt(state)
	try.Repeatable = call.Idempotent
	req, err := newRequest(try.Trace(ctx), call.Method, target, call.Path, call.Body)
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	req.Header = endToEnd(call.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.Idempotent {
		permitRepeat(req, call.Body)
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return ServiceAnswer{}, classify(ctx, try, err)
	}
	defer resp.Body.Close()
	if err := checkRequestID(resp.Header, call.RequestID); err != nil {
		return ServiceAnswer{}, err
	}
	if !refused(resp) {
		state.Raise(runstate.Ran)
	}
	body, err := readWhole(ctx, resp, s.opts.MaxAnswer)
	if err != nil {
		return ServiceAnswer{}, err
	}
	return ServiceAnswer{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// headerRepeat makes the transport send a request again when a pooled
// connection turns out to be closed. With an empty value it isn't sent.
const headerRepeat = "X-Idempotency-Key"

func permitRepeat(req *http.Request, body []byte) {
	if _, ok := req.Header[headerRepeat]; !ok {
		req.Header[headerRepeat] = nil
	}
	if len(body) == 0 {
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
}

// refused says that the service doesn't take the call now or states that it
// didn't begin it; whether it ran stays open.
func refused(resp *http.Response) bool {
	if resp.Header.Get(HeaderNotRun) == headerTrue {
		return true
	}
	return resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
}
