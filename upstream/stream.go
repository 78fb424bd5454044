package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// endMarker is the data of the event that ends a response.
const endMarker = "[DONE]"

var (
	errFrameTimeout  = errors.New("no frame within FrameTimeout")
	errStalled       = errors.New("connection stalled")
	errClosed        = errors.New("stream closed")
	errMissingFrames = errors.New("gap in the frame sequence exceeds the reorder window")
	errNoEndMarker   = errors.New("stream ended without an end marker")
)

// engineStream implements Stream for EngineClient.
type engineStream struct {
	client *EngineClient
	ctx    context.Context
	cancel context.CancelCauseFunc
	target Target
	call   Call

	conn      *responseConn
	events    *eventReader
	frameWait frameWait
	reorder   *reorderBuffer
	// resumeAttempts counts the attempts to resume since the last delivered frame.
	resumeAttempts int

	usage   Usage
	load    Load
	hasLoad bool
	// finalErr is the final error of Next. It is nil while the stream is open.
	finalErr error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, e *EngineClient, target Target, call Call) *engineStream {
	s := &engineStream{
		client:    e,
		ctx:       ctx,
		cancel:    cancel,
		target:    target,
		call:      call,
		frameWait: frameWait{frameTimeout: e.opts.FrameTimeout, stallTimeout: e.opts.StallTimeout, gapTimeout: e.opts.GapTimeout},
		reorder:   newReorderBuffer(e.opts.ReorderWindow, e.opts.MaxFrame),
	}
	s.call.Body = nil
	return s
}

// attach makes the response on conn the source of further events.
func (s *engineStream) attach(conn *responseConn, resp *http.Response) {
	conn.body = resp.Body
	s.conn = conn
	s.events = newEventReader(conn, s.client.opts.MaxFrame)
}

// readTimeout returns how long the next read may take on the current connection.
func (s *engineStream) readTimeout() time.Duration {
	return s.frameWait.readTimeout(s.reorder.hasGap())
}

// Next implements Stream.
func (s *engineStream) Next() (Frame, error) {
	if s.finalErr != nil {
		return Frame{}, s.finalErr
	}
	s.frameWait.reset()
	for {
		if n, data, ok := s.reorder.pop(); ok {
			return s.deliver(n, data), nil
		}
		if s.reorder.complete() {
			return Frame{}, s.finish()
		}
		frame, ok, err := s.readEvent()
		if ok {
			return frame, nil
		}
		if err == nil {
			continue
		}
		if err := s.resume(err); err != nil {
			return Frame{}, s.fail(err)
		}
	}
}

// readEvent reads one event. ok is true if the event is the next frame in order. An
// error means that the stream needs a new connection to deliver further frames.
func (s *engineStream) readEvent() (frame Frame, ok bool, err error) {
	ev, err := s.events.next()
	if err != nil {
		return Frame{}, false, err
	}
	n, ok := parseEventID(ev.id, s.call.RequestID)
	if !ok {
		s.client.counters.foreign.Add(1)
		return Frame{}, false, nil
	}
	if string(ev.data) == endMarker {
		s.recordEnd(n)
		return Frame{}, false, nil
	}
	switch s.reorder.insert(n, ev.data) {
	case frameInOrder:
		return s.deliver(n, ev.data), true, nil
	case frameDuplicate:
		s.client.counters.duplicates.Add(1)
	case frameBuffered:
		s.client.counters.reordered.Add(1)
	case frameBeyondWindow:
		return Frame{}, false, errMissingFrames
	}
	return Frame{}, false, nil
}

// recordEnd records the number of the end marker. Missing frames with lower numbers
// may still arrive; if the connection ends without them, the stream is resumed to
// request them.
func (s *engineStream) recordEnd(n uint64) {
	if !s.reorder.setEndSeq(n) {
		s.client.counters.duplicates.Add(1)
	}
}

func (s *engineStream) deliver(n uint64, data []byte) Frame {
	s.resumeAttempts = 0
	if usage, ok := chunkUsage(data); ok {
		s.usage = usage
	}
	return Frame{Seq: n, Data: data, Text: chunkText(data)}
}

// finish ends a complete stream. It reads the rest of the body so that the
// connection can be reused.
func (s *engineStream) finish() error {
	s.finalErr = io.EOF
	s.drain()
	s.release()
	return s.finalErr
}

// Limits on reading the body after the end marker.
const (
	drainLimit   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)

func (s *engineStream) drain() {
	s.frameWait.deadline = time.Now().Add(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.events.reader, drainLimit)
}

func (s *engineStream) fail(err error) error {
	s.client.counters.incomplete.Add(1)
	s.finalErr = err
	s.release()
	s.client.cancelStream(s.target, s.call.RequestID)
	return s.finalErr
}

func (s *engineStream) release() {
	s.conn.close(errClosed)
	s.cancel(errClosed)
}

// Usage implements Stream.
func (s *engineStream) Usage() Usage { return s.usage }

// Load implements Stream.
func (s *engineStream) Load() (Load, bool) { return s.load, s.hasLoad }

// Close implements Stream. It doesn't wait for the engine to cancel the request.
func (s *engineStream) Close() error {
	if s.finalErr != nil {
		return nil
	}
	s.finalErr = fmt.Errorf("%w: %w", ErrIncomplete, errClosed)
	s.release()
	s.client.cancelStream(s.target, s.call.RequestID)
	return nil
}
