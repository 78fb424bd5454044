package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// maxBufferedAnswer bounds an answer that is held in memory, in bytes. A plain service's answers
// are some kilobytes; longer ones are refused.
const maxBufferedAnswer = 16 << 20

// Errors of answers that can't be this request's answer from the upstream.
var (
	errRequestMismatch = errors.New("gateway: the answer belongs to another request")
	errNoStamp         = errors.New("gateway: success answer without the upstream's stamp")
	errContentEncoding = errors.New("gateway: the answer has a content encoding")
	errAnswerTooLong   = errors.New("gateway: the answer is too long")
)

// errResponseTimeout ends an attempt whose upstream doesn't respond.
var errResponseTimeout = errors.New("gateway: no answer within the upstream's usual time")

// attempt sends the request to one upstream.
type attempt struct {
	gateway   *Gateway
	request   *Request
	choice    choice
	startedAt time.Time
	// largest is set if the request runs on the largest of several models.
	largest bool
	// threshold is the least confidence with which the answer is passed on; 0 if any will do.
	threshold int
	// pressure is the time that prompts waited for engines when threshold was computed, divided by
	// their prefill time.
	pressure float64
	// headTimeout is the time to wait for the answer's head before the attempt is given up if
	// mayGiveUp permits it. A longer time without a head counts against the upstream in either
	// case.
	headTimeout time.Duration
	mayGiveUp   func() bool
	// idle enforces headTimeout and the pause limit of streams.
	idle  *idleTimer
	call  *sealedconn.Call
	state runstate.Tracker
	// headSeen is set when an acceptable head was received.
	headSeen bool
}

// send sends the request and returns the answer's head after checking that it belongs to the
// request.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	a.call = &sealedconn.Call{OnWrite: func() { a.state.Raise(runstate.MayHaveRun) }}
	headCtx, cancel := context.WithCancelCause(ctx)
	req, err := a.build(a.call.Trace(headCtx))
	if err != nil {
		cancel(err)
		return nil, err
	}
	a.idle = newIdleTimer(a.mayGiveUp, cancel)
	a.idle.start(a.headTimeout)
	resp, err := a.gateway.transport.RoundTrip(req)
	a.idle.stop()
	if err != nil {
		cause := context.Cause(headCtx)
		cancel(err)
		if errors.Is(cause, errResponseTimeout) {
			return nil, errResponseTimeout
		}
		return nil, err
	}
	// The context is canceled when the answer's body is closed, which every reader does.
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: func() { cancel(nil) }}
	if err := a.check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if !a.misdirected(resp) {
		names := &a.gateway.settings.Headers
		a.gateway.fleet.observeLimit(&a.choice, limitHeader{values: resp.Header.Values(names.Limit), ran: resp.Header.Get(names.Stamp) != ""})
	}
	return resp, nil
}

// build returns the request as it is sent to the upstream.
func (a *attempt) build(ctx context.Context) (*http.Request, error) {
	r, names := a.request, &a.gateway.settings.Headers
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, fmt.Errorf("gateway: request target: %w", err)
	}
	target.Scheme = "http"
	target.Host = a.choice.upstream.connHost()
	req := (&http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        names.forUpstream(r.Header),
		ContentLength: int64(len(r.Body)),
	}).WithContext(ctx)
	// Without GetBody the transport can't resend a body on its own; for requests without a body
	// the sealed call refuses the second write.
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	a.setHeaders(req.Header)
	return req, nil
}

func (a *attempt) setHeaders(header http.Header) {
	r, names := a.request, &a.gateway.settings.Headers
	left := max(1, boottime.Until(r.Deadline).Milliseconds())
	header.Set(names.Deadline, strconv.FormatInt(left, 10))
	header.Set(names.ExpectInstance, a.choice.upstream.ID)
	if r.Account != nil {
		header.Set(names.Account, r.Account.Name)
	}
	if r.Route.Kind != routing.Stream {
		return
	}
	header.Set(names.Priority, strconv.Itoa(r.priority(a.largest)))
	if r.model != "" {
		header.Set(names.Model, r.model)
	}
	if id := r.answer.lastEventID; id != "" {
		header.Set(names.LastEventID, id)
	}
}

// check rejects answers that don't belong to this request.
func (a *attempt) check(resp *http.Response) error {
	names := &a.gateway.settings.Headers
	if got := resp.Header.Get(names.RequestID); got != a.request.ID {
		return fmt.Errorf("%w: %q", errRequestMismatch, got)
	}
	if encoding := resp.Header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: %q", errContentEncoding, encoding)
	}
	if success(resp.StatusCode) && resp.Header.Get(names.Stamp) == "" {
		return errNoStamp
	}
	return nil
}

func success(status int) bool { return status >= 200 && status < 300 }

// notRun reports whether the answer states that the request didn't run.
func (a *attempt) notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest ||
		resp.Header.Get(a.gateway.settings.Headers.NotRun) != ""
}

// misdirected reports whether another upstream answers at the address. An upstream that doesn't
// have the model that the caller named responds with the same status.
func (a *attempt) misdirected(resp *http.Response) bool {
	own := a.request.Prompt.Model == "" || a.request.model != ""
	return resp.StatusCode == http.StatusMisdirectedRequest && own
}

// parseHead returns a result with the values of the answer's head.
func (a *attempt) parseHead(resp *http.Response) attemptResult {
	names := &a.gateway.settings.Headers
	result := attemptResult{
		status:     resp.StatusCode,
		load:       resp.Header.Get(names.Load),
		limit:      resp.Header.Values(names.Limit),
		confidence: -1,
		firstByte:  time.Since(a.startedAt),
	}
	if text := resp.Header.Get(names.Confidence); text != "" {
		value, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			a.gateway.log.Warn().Str("event", "confidence-unreadable").Str("request", a.request.ID).Str("value", text).Msg("")
		} else {
			result.confidence = value
		}
	}
	return result
}

// failureResult returns the result of an attempt without a usable answer.
func (a *attempt) failureResult(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: outcomeUnknown, err: err, confidence: -1}
	if a.call == nil || a.call.Abandon() != sealedconn.Written {
		result.outcome = outcomeUnsent
	}
	switch {
	case result.outcome == outcomeUnsent:
	case errors.Is(err, errResponseTimeout), ctx.Err() != nil && time.Since(a.startedAt) > a.headTimeout:
		result.outcome = outcomeSilent
	case ctx.Err() != nil:
		result.outcome = outcomeAbandoned
	}
	return result
}

// cancelOnClose is a body that calls cancel when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// runBuffered runs an attempt whose answer is buffered until it is complete.
func (a *attempt) runBuffered(ctx context.Context) attemptResult {
	resp, err := a.send(ctx)
	if err != nil {
		return a.failureResult(ctx, err)
	}
	defer resp.Body.Close()
	return a.readBuffered(ctx, resp)
}

// readBuffered reads the rest of an answer.
func (a *attempt) readBuffered(ctx context.Context, resp *http.Response) attemptResult {
	result := a.parseHead(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
	if err == nil && len(body) > maxBufferedAnswer {
		err = errAnswerTooLong
	}
	if a.notRun(resp) {
		result.outcome = outcomeRefused
		result.misdirected = a.misdirected(resp)
		return result
	}
	a.state.Raise(runstate.Ran)
	if err != nil {
		result.outcome = outcomeBroken
		result.err = err
		if ctx.Err() != nil {
			result.outcome = outcomeAbandoned
		}
		return result
	}
	result.buffered = &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	result.outcome = outcomeDone
	if !success(resp.StatusCode) {
		result.outcome = outcomeFailed
	}
	return result
}
