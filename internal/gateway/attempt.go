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

// maxWholeAnswer bounds an answer that is held in memory, in bytes. A plain
// service's answers are some kilobytes; longer ones are refused.
const maxWholeAnswer = 16 << 20

// Errors of an answer that isn't the upstream's answer to this request.
var (
	errForeignAnswer = errors.New("gateway: the answer belongs to another request")
	errNoStamp       = errors.New("gateway: a success without the upstream's stamp")
	errEncoded       = errors.New("gateway: an answer with a content encoding")
	errTooLong       = errors.New("gateway: the answer is too long")
)

// errSilent ends an attempt whose upstream doesn't answer.
var errSilent = errors.New("gateway: no answer within the upstream's usual time")

// attempt sends the request to one upstream.
type attempt struct {
	gateway *Gateway
	request *Request
	choice  choice
	began   time.Time
	// largest says that the request runs on the largest of several models.
	largest bool
	// threshold is the confidence from which the answer is passed on; 0 if any is.
	threshold int
	// pressure is the time that prompts waited when that was decided, as a part of what
	// reading them takes.
	pressure float64
	// headTimeout is how long the upstream's head is waited for, if giveUp then
	// agrees; whether or not it does, a longer silence speaks against the upstream.
	headTimeout time.Duration
	giveUp      func() bool
	// idle watches that.
	idle  *idleTimer
	call  *sealedconn.Call
	state runstate.Tracker
	// headSeen says that an acceptable head came.
	headSeen bool
}

// send sends the request and returns the answer's head, once it is known to
// belong to the request.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	a.call = &sealedconn.Call{OnWrite: func() { a.state.Raise(runstate.MayHaveRun) }}
	headCtx, cancel := context.WithCancelCause(ctx)
	req, err := a.build(a.call.Trace(headCtx))
	if err != nil {
		cancel(err)
		return nil, err
	}
	a.idle = newIdleTimer(a.giveUp, cancel)
	a.idle.start(a.headTimeout)
	resp, err := a.gateway.transport.RoundTrip(req)
	a.idle.stop()
	if err != nil {
		cause := context.Cause(headCtx)
		cancel(err)
		if errors.Is(cause, errSilent) {
			return nil, errSilent
		}
		return nil, err
	}
	// The context ends with the answer's body, which every reader closes.
	resp.Body = &bodyWithEnd{ReadCloser: resp.Body, end: func() { cancel(nil) }}
	if err := a.check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if !a.misdirected(resp) {
		names := &a.gateway.settings.Headers
		a.gateway.fleet.observeLimit(&a.choice, limitHeader{values: resp.Header.Values(names.Limit), proven: resp.Header.Get(names.Stamp) != ""})
	}
	return resp, nil
}

// build makes the request as the upstream gets it.
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
	// Without GetBody the transport can't send a body a second time on its own; for
	// requests without one the sealed call refuses the second write.
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

// check refuses answers that aren't this request's.
func (a *attempt) check(resp *http.Response) error {
	names := &a.gateway.settings.Headers
	if got := resp.Header.Get(names.RequestID); got != a.request.ID {
		return fmt.Errorf("%w: %q", errForeignAnswer, got)
	}
	if encoding := resp.Header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: %q", errEncoded, encoding)
	}
	if success(resp.StatusCode) && resp.Header.Get(names.Stamp) == "" {
		return errNoStamp
	}
	return nil
}

func success(status int) bool { return status >= 200 && status < 300 }

// notRun says that the answer states that the request didn't run.
func (a *attempt) notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest ||
		resp.Header.Get(a.gateway.settings.Headers.NotRun) != ""
}

// misdirected says that another upstream answers at the address. An upstream turns a model
// that the caller named away with the same status.
func (a *attempt) misdirected(resp *http.Response) bool {
	own := a.request.Prompt.Model == "" || a.request.model != ""
	return resp.StatusCode == http.StatusMisdirectedRequest && own
}

// head fills in what the answer's head says.
func (a *attempt) head(resp *http.Response) attemptResult {
	names := &a.gateway.settings.Headers
	result := attemptResult{
		status:     resp.StatusCode,
		load:       resp.Header.Get(names.Load),
		limit:      resp.Header.Values(names.Limit),
		confidence: -1,
		firstByte:  time.Since(a.began),
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

// failed tells how an attempt without a usable answer ended.
func (a *attempt) failed(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: outcomeUnknown, err: err, confidence: -1}
	if a.call == nil || a.call.Abandon() != sealedconn.Written {
		result.outcome = outcomeUnsent
	}
	switch {
	case result.outcome == outcomeUnsent:
	case errors.Is(err, errSilent), ctx.Err() != nil && time.Since(a.began) > a.headTimeout:
		result.outcome = outcomeSilent
	case ctx.Err() != nil:
		result.outcome = outcomeAbandoned
	}
	return result
}

// bodyWithEnd calls end when the body is closed.
type bodyWithEnd struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *bodyWithEnd) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// whole runs an attempt whose answer is held until it is complete.
func (a *attempt) whole(ctx context.Context) attemptResult {
	resp, err := a.send(ctx)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer resp.Body.Close()
	return a.readWhole(ctx, resp)
}

// readWhole reads the rest of an answer.
func (a *attempt) readWhole(ctx context.Context, resp *http.Response) attemptResult {
	result := a.head(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer+1))
	if err == nil && len(body) > maxWholeAnswer {
		err = errTooLong
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
	result.whole = &wholeAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	result.outcome = outcomeDone
	if !success(resp.StatusCode) {
		result.outcome = outcomeFailed
	}
	return result
}
