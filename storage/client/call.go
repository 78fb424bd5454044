package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/internal/stall"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// maxDetail bounds the part of a server's text that goes into an error.
const maxDetail = 200

// call is one call of the protocol.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// writes says that the call has an effect; only then can its outcome be
	// unknown.
	writes bool
}

// answer is a whole answer that belongs to its call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// noEffect says whether the server stated that the call had no effect. Only an
// error status can state it.
func (a answer) noEffect() bool {
	return a.status >= http.StatusBadRequest && a.header.Get(protocol.HeaderEffect) == protocol.EffectNone
}

// failUnsent returns the error of a call that had no effect.
func (c call) failUnsent(cause error) error {
	return &Error{Op: c.op, Class: storage.ErrUnavailable, Cause: cause}
}

// failEnded returns the error of a call whose connection failed, by how far
// its sending came.
func (c call) failEnded(progress sealedconn.Progress, cause error) error {
	if progress == sealedconn.Written {
		return c.failSent(cause)
	}
	return c.failUnsent(cause)
}

// failSent returns the error of a call that may have had its effect, if it is
// one that has effects.
func (c call) failSent(cause error) error {
	if !c.writes {
		return c.failUnsent(cause)
	}
	return &Error{Op: c.op, Class: storage.ErrUnknown, Cause: cause}
}

// do makes the call once and returns its answer whatever the status. Every
// error is an *Error with the class that the call may claim.
func (p *Platform) do(ctx context.Context, c call) (answer, error) {
	start := time.Now()
	result, err := p.exchange(ctx, c)
	if p.options.Observe != nil {
		p.options.Observe(Observation{
			Op:       c.op,
			Elapsed:  time.Since(start),
			Sent:     len(c.body),
			Received: len(result.body),
			Err:      err,
		})
	}
	return result, err
}

// exchange sends the call, unless it can't be sent, and reads its answer.
func (p *Platform) exchange(ctx context.Context, c call) (answer, error) {
	if int64(len(c.body)) > p.options.MaxBody {
		return answer{}, c.failUnsent(errTooLarge)
	}
	ctx, guard := stall.WithTimeout(ctx, p.options.Timeout)
	defer guard.Stop()
	progress := func() { guard.Progress(p.options.Timeout) }
	try := sealedconn.Call{Repeatable: !c.writes, OnWrite: progress}
	request, err := p.newRequest(try.Trace(ctx), c)
	if err != nil {
		return answer{}, c.failUnsent(err)
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return answer{}, c.failEnded(try.Abandon(), guard.Explain(err))
	}
	defer func() { _ = response.Body.Close() }()
	result, err := p.readAnswer(request, response, progress)
	if err != nil {
		try.Abandon()
		return answer{}, c.failSent(guard.Explain(err))
	}
	return result, nil
}

// newRequest builds the request of a call. Its body is a bare reader, from
// which net/http can make no second copy: a request that was begun can't be
// sent again.
func (p *Platform) newRequest(ctx context.Context, c call) (*http.Request, error) {
	target := p.baseURL + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, target, nil)
	if err != nil {
		return nil, err
	}
	if c.body != nil {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
		request.ContentLength = int64(len(c.body))
	}
	number := p.calls.Add(1)
	request.Header.Set(protocol.HeaderCall, p.instance+"-"+strconv.FormatUint(number, 10))
	return request, nil
}

// readAnswer reads the whole answer, and makes sure that it is whole and an
// answer to the request. It calls progress with each part of the body.
func (p *Platform) readAnswer(request *http.Request, response *http.Response, progress func()) (answer, error) {
	if response.Header.Get(protocol.HeaderCall) != request.Header.Get(protocol.HeaderCall) {
		return answer{}, fmt.Errorf("%w: status %d", errOtherCall, response.StatusCode)
	}
	result := answer{status: response.StatusCode, header: response.Header}
	body, err := p.readBody(response, progress)
	// A refusal stands in the headers; losing its text changes nothing.
	if err != nil && !result.noEffect() {
		return answer{}, err
	}
	result.body = body
	return result, nil
}

func (p *Platform) readBody(response *http.Response, progress func()) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The body ends with the connection, so that a cut looks like its end.
		return nil, errUnframed
	}
	parts := stall.Reader{Reader: response.Body, Received: func(int) { progress() }}
	body, err := io.ReadAll(io.LimitReader(parts, p.options.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > p.options.MaxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// refused returns the error of a call whose answer's status isn't one of
// success.
func (c call) refused(a answer) error {
	if !a.noEffect() {
		return c.failSent(refusal(a))
	}
	switch {
	case a.status == http.StatusConflict && c.writes:
		return &Error{Op: c.op, Class: storage.ErrConflict, Cause: refusal(a)}
	case a.status == http.StatusNotFound && !c.writes:
		return &Error{Op: c.op, Class: storage.ErrNotFound, Cause: refusal(a)}
	default:
		return c.failUnsent(refusal(a))
	}
}

// refusal returns the server's account of why it refused the call.
func refusal(a answer) error {
	if a.status == http.StatusTooManyRequests {
		return &RateLimitedError{RetryAfter: parseRetryAfter(a.header)}
	}
	var body protocol.Problem
	if json.Unmarshal(a.body, &body) != nil {
		return fmt.Errorf("%w: status %d", errServerStatus, a.status)
	}
	detail := body.Error[:min(len(body.Error), maxDetail)]
	return fmt.Errorf("%w: status %d: %q", errServerStatus, a.status, detail)
}

// decode makes the call and reads the JSON of a successful answer into result.
func (p *Platform) decode(ctx context.Context, c call, result any) error {
	a, err := p.do(ctx, c)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return c.refused(a)
	}
	if err := json.Unmarshal(a.body, result); err != nil {
		return c.failSent(fmt.Errorf("%w: %w", errBadAnswer, err))
	}
	return nil
}
