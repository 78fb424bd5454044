package upstream

import (
	"context"
	"errors"
	"fmt"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
)

// resume reconnects the stream after the connection failed with cause. It returns
// nil once a new response is attached, and the stream's final error otherwise. Every
// attempt goes to the same target, must finish before the FrameTimeout of the awaited
// frame expires, and accepts only a response from the same model version.
func (s *engineStream) resume(cause error) error {
	if errors.Is(cause, ErrTooLarge) {
		return cause
	}
	if cause == io.EOF {
		cause = errNoEndMarker
	}
	s.conn.close(cause)
	for s.resumeAttempts < s.client.opts.ResumeTries {
		s.resumeAttempts++
		if err := s.backoff(); err != nil {
			return incompleteError(err, cause)
		}
		err := s.reopen()
		if err == nil {
			return nil
		}
		cause = err
		if isPermanent(err) {
			break
		}
	}
	return incompleteError(context.Cause(s.ctx), cause)
}

// reopen requests the rest of the response and attaches it.
func (s *engineStream) reopen() error {
	s.client.counters.resumes.Add(1)
	conn := newResponseConn(s.ctx, s.readTimeout)
	resp, err := s.requestResume(conn)
	if err != nil {
		conn.close(err)
		return err
	}
	s.attach(conn, resp)
	return nil
}

func (s *engineStream) requestResume(conn *responseConn) (*http.Response, error) {
	attempt := &sealedconn.Call{Repeatable: true}
	req, err := newRequest(attempt.Trace(conn.ctx), http.MethodGet, s.target, streamPath(s.call.RequestID), nil)
	if err != nil {
		return nil, err
	}
	lastEventID := s.call.RequestID + ":" + strconv.FormatUint(s.reorder.nextSeq-1, 10)
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, s.call.RequestID)
	req.Header.Set(HeaderLastEventID, lastEventID)
	conn.timer.Reset(s.frameWait.readTimeout(false))
	resp, err := roundTrip(s.client.transport, req, s.target, s.client.opts.OnNotice)
	conn.timer.Stop()
	if err != nil {
		return nil, err
	}
	if !isSuccess(resp.StatusCode) {
		return nil, statusError(resp)
	}
	if err := checkResponseHeader(resp.Header, s.call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// backoff waits before an attempt to resume. The first attempt has no delay, since
// most interruptions are over by then. The delay of later attempts is random with a
// mean that doubles each time.
func (s *engineStream) backoff() error {
	if s.frameWait.startAndGetRemaining() <= 0 {
		return errFrameTimeout
	}
	if s.resumeAttempts <= 1 {
		return context.Cause(s.ctx)
	}
	mean := s.client.opts.ResumeDelay << min(s.resumeAttempts-2, maxBackoffShift)
	delay := mean/2 + rand.N(mean)
	if delay >= s.frameWait.startAndGetRemaining() {
		return errFrameTimeout
	}
	if wait.For(s.ctx, delay) != nil {
		return context.Cause(s.ctx)
	}
	return nil
}

// maxBackoffShift is the maximum number of times that the mean delay doubles, so that
// the delay doesn't overflow.
const maxBackoffShift = 10

// isPermanent reports whether further attempts to resume would fail with the same
// error.
func isPermanent(err error) bool {
	if errors.Is(err, ErrMismatch) {
		return true
	}
	var status *StatusError
	if !errors.As(err, &status) {
		return false
	}
	if status.Status == http.StatusServiceUnavailable && status.RetryAfter > 0 {
		return true // the upstream accepts nothing for longer than a frame may take
	}
	return status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests
}

// incompleteError returns ErrIncomplete wrapped with the causes, each of which
// may be nil.
func incompleteError(causes ...error) error {
	return fmt.Errorf("%w: %w", ErrIncomplete, errors.Join(causes...))
}
