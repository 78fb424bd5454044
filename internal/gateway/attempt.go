package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

const (
	// maxBufferedAnswer bounds the size of an answer that is held in memory, in bytes. An attempt fails
	// if its answer is larger. Answers of plain services are a few kilobytes.
	maxBufferedAnswer = 16 << 20
	// maxRejectionBody bounds how much of the body of a rejection is read, in bytes.
	maxRejectionBody = 16 << 10
)

// Errors of answers that can't be passed on as the upstream's answer to this request.
var (
	errRequestMismatch = errors.New("gateway: the answer belongs to another request")
	errNoStamp         = errors.New("gateway: success answer without the upstream's stamp")
	errContentEncoding = errors.New("gateway: the answer has a content encoding")
	errAnswerTooLong   = errors.New("gateway: the answer is too long")
)

// errResponseTimeout is the error of an attempt that was given up because its upstream didn't
// respond.
var errResponseTimeout = errors.New("gateway: no answer within the upstream's usual time")

// attempt is one attempt to have the request processed, at one upstream.
type attempt struct {
	gateway   *Gateway
	request   *Request
	choice    choice
	startedAt time.Time
	// bestModel is set if the request runs on the best of several models.
	bestModel bool
	// minConfidence is the minimum confidence with which the answer is passed on; 0 if it is passed
	// on with any confidence.
	minConfidence int
	// queuePressure is the mean queueing time of prompts divided by their mean prefill time, at the
	// time at which minConfidence was computed.
	queuePressure float64
	// headTimeout is how long the attempt waits for the answer's head. After that, the attempt is
	// given up if a successor is available. An attempt that lasts longer than headTimeout and ends
	// without a head counts as a timeout of the upstream, whether it was given up or not.
	headTimeout time.Duration
	// idleTimer enforces headTimeout and the pause limit of streams.
	idleTimer  *idleTimer
	sealedCall *sealedconn.Call
	// cancel ends the attempt with a cause. It is set when the attempt is sent.
	cancel context.CancelCauseFunc
	// runEnd is the decision to end the run in favor of a successor.
	runEnd   runEnd
	runState runstate.Tracker
	// headCounted is set when the head of a stream was counted as an answer of its version.
	headCounted bool
	// answerHeader is the header of the upstream's answer; nil before it arrived.
	answerHeader http.Header
	// relayHost is the address of the host that relays the connection; empty if it is direct.
	relayHost string
	// withheld is set if the request wasn't sent because of a notice that arrived after the choice.
	withheld atomic.Bool
}

// send sends the request and returns the upstream's response, whose body isn't read yet, after
// checking that it belongs to the request.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	headCtx, cancel := context.WithCancelCause(ctx)
	a.cancel = cancel
	a.sealedCall = &sealedconn.Call{
		Admit:   func() error { return a.admitWrite(cancel) },
		OnWrite: func() { a.runState.Raise(runstate.MayHaveRun) },
	}
	req, err := a.buildRequest(a.traceRelay(a.sealedCall.Trace(headCtx)))
	if err != nil {
		cancel(err)
		return nil, err
	}
	a.idleTimer = newIdleTimer(a.reserveAfterSilence)
	a.idleTimer.start(a.headTimeout)
	resp, err := a.gateway.egress.RoundTrip(req)
	a.idleTimer.stop()
	if err != nil {
		cause := context.Cause(headCtx)
		cancel(err)
		if errors.Is(cause, errResponseTimeout) {
			return nil, errResponseTimeout
		}
		return nil, boundedError{err}
	}
	a.answerHeader = resp.Header
	// The context is canceled when the body is closed, which every caller of send does.
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: func() { cancel(nil) }}
	a.observeNotice(resp)
	a.observeFetch(resp)
	a.gateway.unknownHeaders.observe(resp.Header, a.choice.upstream.ID)
	if err := a.checkResponse(resp); err != nil {
		resp.Body.Close()
		return nil, boundedError{err}
	}
	if !a.misdirected(resp) {
		names := &a.gateway.settings.Headers
		a.gateway.fleet.observeLimit(&a.choice, limitHeader{values: resp.Header.Values(names.Limit), requestRan: resp.Header.Get(names.Stamp) != ""})
	}
	return resp, nil
}

// maxErrorText bounds the text of an attempt's error, in bytes.
const maxErrorText = 256

// boundedError is an error whose text may contain what an upstream sent.
type boundedError struct {
	error
}

// Error implements error.
func (e boundedError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorText)]
}

// Unwrap returns the error.
func (e boundedError) Unwrap() error { return e.error }

// traceRelay returns a context for the request that records by which host its connection is relayed.
func (a *attempt) traceRelay(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.relayHost = relayOf(sealedconn.Underlying(info.Conn))
	}})
}

// errWithheld means that the request wasn't sent because the upstream stated after the choice that it
// is leaving or accepts no requests.
var errWithheld = errors.New("gateway: the upstream accepts no requests by now")

// admitWrite returns an error if the upstream may no longer get the request, which may have waited
// for a connection since the choice. It also cancels the call then, so that the transport doesn't
// try other connections.
func (a *attempt) admitWrite(cancel context.CancelCauseFunc) error {
	if a.gateway.fleet.maySend(&a.choice) {
		return nil
	}
	a.withheld.Store(true)
	cancel(errWithheld)
	return errWithheld
}

// buildRequest returns the request as it is sent to the upstream.
func (a *attempt) buildRequest(ctx context.Context) (*http.Request, error) {
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
	// The transport can't send a body a second time, since GetBody isn't set. If it sends a request
	// without a body a second time, sealedCall makes the second write fail.
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	a.setHeaders(req.Header)
	return req, nil
}

func (a *attempt) setHeaders(header http.Header) {
	r, names := a.request, &a.gateway.settings.Headers
	remaining := max(1, boottime.Until(r.Deadline).Milliseconds())
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.ExpectInstance, a.choice.upstream.ID)
	if r.Account != nil {
		header.Set(names.Account, r.Account.Name)
	}
	if c := a.choice.continueFrom; c != nil {
		header.Set(names.ContinueFrom, a.gateway.settings.RunCopies.Reference(c.source.Address, c.handle))
	}
	if a.choice.fetchFrom != "" {
		header.Set(names.FetchFrom, a.choice.fetchFrom)
	}
	if r.Route.Kind != routing.Stream {
		return
	}
	header.Set(names.Priority, strconv.Itoa(r.priority(a.bestModel)))
	if r.model != "" {
		header.Set(names.Model, r.model)
	}
	if id := r.answer.lastEventID; id != "" {
		header.Set(names.LastEventID, id)
	}
}

// checkResponse returns an error if the response can't be passed on as the answer to this request.
func (a *attempt) checkResponse(resp *http.Response) error {
	names := &a.gateway.settings.Headers
	ids := resp.Header.Values(names.RequestID)
	isOther := func(id string) bool { return id != a.request.ID }
	if len(ids) == 0 || slices.ContainsFunc(ids, isOther) {
		return fmt.Errorf("%w: %q", errRequestMismatch, headerText(ids))
	}
	if encoding := resp.Header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: %q", errContentEncoding, encoding)
	}
	if isSuccess(resp.StatusCode) && resp.Header.Get(names.Stamp) == "" {
		return errNoStamp
	}
	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// notRun reports whether the response states that the request didn't run.
func (a *attempt) notRun(resp *http.Response) bool {
	return runstate.StatesNotRun(resp.StatusCode, resp.Header.Get(a.gateway.settings.Headers.NotRun) != "")
}

// misdirected reports whether the response shows that another upstream listens at the address. An
// upstream that doesn't have the requested model responds with the same status, so the status
// counts only if the caller named no model or the gateway chose it.
func (a *attempt) misdirected(resp *http.Response) bool {
	modelIsServed := a.request.Prompt.Model == "" || a.request.model != ""
	return resp.StatusCode == http.StatusMisdirectedRequest && modelIsServed
}

// parseHead returns a result with the values of the response's head.
func (a *attempt) parseHead(resp *http.Response) attemptResult {
	names := &a.gateway.settings.Headers
	result := attemptResult{
		status:       resp.StatusCode,
		load:         resp.Header.Get(names.Load),
		limitHeaders: resp.Header.Values(names.Limit),
		confidence:   -1,
		firstByte:    time.Since(a.startedAt),
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

// failureResult returns the result of an attempt for which send returned err.
func (a *attempt) failureResult(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: outcomeUnknown, err: err, confidence: -1}
	if a.sealedCall == nil || a.sealedCall.Abandon() != sealedconn.Written {
		result.outcome = outcomeUnsent
	}
	switch {
	case a.withheld.Load():
		result.outcome = outcomeWithheld
	case result.outcome == outcomeUnsent && ctx.Err() != nil && a.request.held != nil:
		// The caller left after the decision to send a held request. The upstream isn't the cause.
		result.outcome, result.neverSent = outcomeAbandoned, true
	case result.outcome == outcomeUnsent:
	case errors.Is(err, errResponseTimeout), ctx.Err() != nil && time.Since(a.startedAt) > a.headTimeout:
		result.outcome = outcomeSilent
	case ctx.Err() != nil:
		result.outcome = outcomeAbandoned
	}
	return result
}

// cancelOnClose is a response body that calls cancel when it is closed.
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

// runBuffered runs an attempt whose answer is buffered as a whole before it is passed on.
func (a *attempt) runBuffered(ctx context.Context) attemptResult {
	resp, err := a.send(ctx)
	if err != nil {
		return a.failureResult(ctx, err)
	}
	defer resp.Body.Close()
	return a.readBuffered(ctx, resp)
}

// readBuffered reads the response's body and returns the attempt's result.
func (a *attempt) readBuffered(ctx context.Context, resp *http.Response) attemptResult {
	result := a.parseHead(resp)
	if a.notRun(resp) {
		// The rest of the body is read so that the connection can be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, maxRejectionBody)
		result.outcome = outcomeRefused
		result.misdirected = a.misdirected(resp)
		return result
	}
	body, err := a.request.readAnswer(resp.Body)
	a.runState.Raise(runstate.Ran)
	if err != nil {
		result.outcome, result.err = outcomeBroken, err
		switch {
		case a.idleTimer.expired(): // as the head arrived
			result.outcome, result.err = outcomeSilent, errResponseTimeout
		case ctx.Err() != nil:
			result.outcome = outcomeAbandoned
		}
		return result
	}
	result.buffered = &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	result.outcome = outcomeDone
	if !isSuccess(resp.StatusCode) {
		result.outcome = outcomeFailed
	}
	return result
}
