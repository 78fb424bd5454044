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

// maxErrorText bounds the part of a server's error text that is copied into an
// error, in bytes.
const maxErrorText = 200

// call describes one request of the protocol.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// writes reports whether the call changes stored data; only then can its
	// outcome be unknown.
	writes bool
}

// callResponse is the complete response to a call.
type callResponse struct {
	status int
	header http.Header
	body   []byte
}

// statesNoEffect reports whether the response states that the call had no
// effect. Only a response with an error status can.
func (r callResponse) statesNoEffect() bool {
	return r.status >= http.StatusBadRequest && r.header.Get(protocol.HeaderEffect) == protocol.EffectNone
}

// unavailableError returns the error of a call that had no effect.
func (c call) unavailableError(cause error) error {
	return &Error{Op: c.op, Class: storage.ErrUnavailable, Cause: cause}
}

// transportError returns the error of a call whose connection failed. The class
// depends on how much of the call was sent.
func (c call) transportError(progress sealedconn.Progress, cause error) error {
	if progress == sealedconn.Written {
		return c.uncertainError(cause)
	}
	return c.unavailableError(cause)
}

// uncertainError returns the error of a call that was sent and whose outcome
// wasn't learned: storage.ErrUnknown for a write, storage.ErrUnavailable for a
// read.
func (c call) uncertainError(cause error) error {
	if !c.writes {
		return c.unavailableError(cause)
	}
	return &Error{Op: c.op, Class: storage.ErrUnknown, Cause: cause}
}

// do makes the call once and returns its response, whatever the status. Every
// error is an *Error whose class states whether the call may have had an effect.
func (p *Platform) do(ctx context.Context, c call) (callResponse, error) {
	start := time.Now()
	result, err := p.exchange(ctx, c)
	if p.options.OnCall != nil {
		p.options.OnCall(CallResult{
			Op:       c.op,
			Elapsed:  time.Since(start),
			Sent:     len(c.body),
			Received: len(result.body),
			Err:      err,
		})
	}
	return result, err
}

// exchange sends the call and reads its response.
func (p *Platform) exchange(ctx context.Context, c call) (callResponse, error) {
	if int64(len(c.body)) > p.options.MaxBody {
		return callResponse{}, c.unavailableError(errTooLarge)
	}
	ctx, guard := stall.WithTimeout(ctx, p.options.Timeout)
	defer guard.Stop()
	progress := func() { guard.Progress(p.options.Timeout) }
	tracked := sealedconn.Call{Repeatable: !c.writes, OnWrite: progress}
	request, err := p.newRequest(tracked.Trace(ctx), c)
	if err != nil {
		return callResponse{}, c.unavailableError(err)
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return callResponse{}, c.transportError(tracked.Abandon(), guard.Explain(err))
	}
	defer func() { _ = response.Body.Close() }()
	result, err := p.readResponse(request, response, progress)
	if err != nil {
		tracked.Abandon()
		return callResponse{}, c.uncertainError(guard.Explain(err))
	}
	return result, nil
}

// newRequest builds the request of a call. It leaves GetBody unset, so that
// net/http can't send the body again once it has begun to send it.
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
	callNumber := p.callCount.Add(1)
	request.Header.Set(protocol.HeaderCall, p.instanceID+"-"+strconv.FormatUint(callNumber, 10))
	return request, nil
}

// readResponse reads the whole response. It returns an error if the response is
// incomplete or belongs to another request. It calls progress for each part of
// the body.
func (p *Platform) readResponse(request *http.Request, response *http.Response, progress func()) (callResponse, error) {
	if response.Header.Get(protocol.HeaderCall) != request.Header.Get(protocol.HeaderCall) {
		return callResponse{}, fmt.Errorf("%w: status %d", errOtherCall, response.StatusCode)
	}
	result := callResponse{status: response.StatusCode, header: response.Header}
	body, err := p.readBody(response, progress)
	// The headers already state that there was no effect; the body is only text
	// for the error.
	if err != nil && !result.statesNoEffect() {
		return callResponse{}, err
	}
	result.body = body
	return result, nil
}

func (p *Platform) readBody(response *http.Response, progress func()) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The body ends where the connection does, so that a truncated body would
		// look complete.
		return nil, errUnframed
	}
	parts := stall.Reader{Reader: response.Body, OnReceived: func(int) { progress() }}
	body, err := io.ReadAll(io.LimitReader(parts, p.options.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > p.options.MaxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// statusError returns the error of a call whose response doesn't have the status
// of success.
func (c call) statusError(r callResponse) error {
	if !r.statesNoEffect() {
		return c.uncertainError(statusCause(r))
	}
	switch {
	case r.status == http.StatusConflict && c.writes:
		return &Error{Op: c.op, Class: storage.ErrConflict, Cause: statusCause(r)}
	case r.status == http.StatusNotFound && !c.writes:
		return &Error{Op: c.op, Class: storage.ErrNotFound, Cause: statusCause(r)}
	default:
		return c.unavailableError(statusCause(r))
	}
}

// statusCause returns the cause that the server gave for the status.
func statusCause(r callResponse) error {
	if r.status == http.StatusTooManyRequests {
		return &RateLimitedError{RetryAfter: parseRetryAfter(r.header)}
	}
	var body protocol.ErrorResponse
	if json.Unmarshal(r.body, &body) != nil {
		return fmt.Errorf("%w: status %d", errServerStatus, r.status)
	}
	detail := body.Error[:min(len(body.Error), maxErrorText)]
	return fmt.Errorf("%w: status %d: %q", errServerStatus, r.status, detail)
}

// callJSON makes the call and decodes the JSON body of a successful response
// into result.
func (p *Platform) callJSON(ctx context.Context, c call, result any) error {
	response, err := p.do(ctx, c)
	if err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return c.statusError(response)
	}
	if err := json.Unmarshal(response.body, result); err != nil {
		return c.uncertainError(fmt.Errorf("%w: %w", errInvalidResponse, err))
	}
	return nil
}
