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

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeDone: the upstream answered with success and the caller has all.
	outcomeDone outcome = iota
	// outcomeUnsent: no byte of the request went out.
	outcomeUnsent
	// outcomeRefused: the upstream said that it didn't run the request.
	outcomeRefused
	// outcomeUnknown: the request went out and no answer of its own came.
	outcomeUnknown
	// outcomeFailed: the upstream ran the request and answered with a failure.
	outcomeFailed
	// outcomeBroken: the answer began and didn't end.
	outcomeBroken
	// outcomeAbandoned: this side ended the attempt: the caller left, the time
	// was up, or another model was wanted.
	outcomeAbandoned
	// outcomeSilent: the request went out and nothing came back for longer than
	// upstreams of its kind take.
	outcomeSilent
)

var outcomeNames = [...]string{"done", "unsent", "refused", "unknown", "failed", "broken", "abandoned", "silent"}

// String is the outcome's name in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// attemptResult is what an attempt came to.
type attemptResult struct {
	outcome outcome
	// status and confidence are from the answer's head; 0 without one, and -1
	// for an answer that states no confidence.
	status     int
	confidence int
	load       string
	// firstByte is the time to the answer's head or a stream's first event.
	firstByte time.Duration
	err       error
	// whole is a complete answer that wasn't passed on yet.
	whole *wholeAnswer
}

// wholeAnswer is an answer with its body.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

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
	// patience is how long the upstream's head is waited for, if giveUp then
	// agrees; whether or not it does, a longer silence speaks against the upstream.
	patience time.Duration
	giveUp   func() bool
	call     *sealedconn.Call
	state    runstate.Tracker
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
	timer := time.AfterFunc(a.patience, func() {
		if a.giveUp() {
			cancel(errSilent)
		}
	})
	resp, err := a.gateway.transport.RoundTrip(req)
	timer.Stop()
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
	target.Host = a.choice.upstream.Address
	req := (&http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        names.forUpstream(r.Header),
		ContentLength: int64(len(r.Body)),
	}).WithContext(ctx)
	// A body of a type that the transport doesn't know keeps it from sending
	// the request twice on its own.
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	a.setHeaders(req.Header)
	return req, nil
}

func (a *attempt) setHeaders(header http.Header) {
	r, names := a.request, &a.gateway.settings.Headers
	left := max(1, time.Until(r.Deadline).Milliseconds())
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

// head fills in what the answer's head says.
func (a *attempt) head(resp *http.Response) attemptResult {
	names := &a.gateway.settings.Headers
	result := attemptResult{
		status:     resp.StatusCode,
		load:       resp.Header.Get(names.Load),
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
	case errors.Is(err, errSilent), ctx.Err() != nil && time.Since(a.began) > a.patience:
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
