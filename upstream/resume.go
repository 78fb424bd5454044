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

// resume takes the stream up again after cause. It returns nil when a new
// answer is attached, else the final error. Every attempt goes to the same
// target, lies within the time limit of the frame that is waited for, and
// must be answered by the same version.
func (s *engineStream) resume(cause error) error {
	if errors.Is(cause, ErrTooLarge) {
		return cause
	}
	if cause == io.EOF {
		cause = errNoEndMark
	}
	s.conn.close(cause)
	for s.tries < s.client.opts.ResumeTries {
		s.tries++
		if err := s.backoff(); err != nil {
			return incomplete(err, cause)
		}
		err := s.reopen()
		if err == nil {
			return nil
		}
		cause = err
		if final(err) {
			break
		}
	}
	return incomplete(context.Cause(s.ctx), cause)
}

// reopen asks for the rest of the answer and attaches it.
func (s *engineStream) reopen() error {
	s.client.counters.resumes.Add(1)
	conn := newAnswerConn(s.ctx, s.patience)
	resp, err := s.requestRest(conn)
	if err != nil {
		conn.close(err)
		return err
	}
	s.attach(conn, resp)
	return nil
}

func (s *engineStream) requestRest(conn *answerConn) (*http.Response, error) {
	try := &sealedconn.Call{Repeatable: true}
	req, err := newRequest(try.Trace(conn.ctx), http.MethodGet, s.target, streamPath(s.call.RequestID), nil)
	if err != nil {
		return nil, err
	}
	last := s.call.RequestID + ":" + strconv.FormatUint(s.order.next-1, 10)
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, s.call.RequestID)
	req.Header.Set(HeaderLastEventID, last)
	conn.timer.Reset(s.clock.patience(false))
	resp, err := s.client.transport.RoundTrip(req)
	conn.timer.Stop()
	if err != nil {
		return nil, err
	}
	if !success(resp.StatusCode) {
		return nil, statusError(resp)
	}
	if err := checkHead(resp.Header, s.call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// backoff waits before an attempt: not at all before the first, since most
// cuts are over at once, then for a random time around a doubling mean.
func (s *engineStream) backoff() error {
	if s.clock.remaining() <= 0 {
		return errFrameTimeout
	}
	if s.tries <= 1 {
		return context.Cause(s.ctx)
	}
	mean := s.client.opts.ResumeDelay << min(s.tries-2, maxBackoffShift)
	delay := mean/2 + rand.N(mean)
	if delay >= s.clock.remaining() {
		return errFrameTimeout
	}
	if wait.For(s.ctx, delay) != nil {
		return context.Cause(s.ctx)
	}
	return nil
}

// maxBackoffShift keeps the doubling within a duration.
const maxBackoffShift = 10

// final says that another attempt would end the same.
func final(err error) bool {
	if errors.Is(err, ErrMismatch) {
		return true
	}
	var status *StatusError
	if !errors.As(err, &status) {
		return false
	}
	return status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests
}

// incomplete wraps the reason that a stream ended early; both causes may be
// nil.
func incomplete(causes ...error) error {
	return fmt.Errorf("%w: %w", ErrIncomplete, errors.Join(causes...))
}
