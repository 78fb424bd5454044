package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// endMark is the data of the event that ends an answer.
const endMark = "[DONE]"

var (
	errFrameTimeout = errors.New("no frame within the time limit")
	errStalled      = errors.New("connection stalled")
	errClosed       = errors.New("stream closed")
	errGap          = errors.New("frames are missing")
	errNoEndMark    = errors.New("no end mark")
)

// engineStream is the Stream of an EngineClient.
type engineStream struct {
	client *EngineClient
	ctx    context.Context
	cancel context.CancelCauseFunc
	target Target
	call   Call

	conn   *answerConn
	events *eventReader
	clock  frameClock
	order  *sequence
	// tries counts the attempts to resume since the last new frame.
	tries int

	usage   Usage
	load    Load
	hasLoad bool
	// err is the final result of Next; nil while the stream goes on.
	err error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, e *EngineClient, target Target, call Call) *engineStream {
	s := &engineStream{
		client: e,
		ctx:    ctx,
		cancel: cancel,
		target: target,
		call:   call,
		clock:  frameClock{frame: e.opts.FrameTimeout, stall: e.opts.StallTimeout, gap: e.opts.GapTimeout},
		order:  newSequence(e.opts.ReorderWindow, e.opts.MaxFrame),
	}
	s.call.Body = nil
	return s
}

// attach reads on from the answer on conn.
func (s *engineStream) attach(conn *answerConn, resp *http.Response) {
	conn.body = resp.Body
	s.conn = conn
	s.events = newEventReader(conn, s.client.opts.MaxFrame)
}

// patience is how long the stream still waits on a connection.
func (s *engineStream) patience() time.Duration {
	return s.clock.patience(s.order.waiting())
}

// Next implements Stream.
func (s *engineStream) Next() (Frame, error) {
	if s.err != nil {
		return Frame{}, s.err
	}
	s.clock.start()
	for {
		if n, data, ok := s.order.pop(); ok {
			return s.deliver(n, data), nil
		}
		if s.order.complete() {
			return Frame{}, s.finish()
		}
		frame, ok, err := s.read()
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

// read takes one event. It returns a frame if the event is the next one, and
// an error if nothing more can come from this connection.
func (s *engineStream) read() (frame Frame, ok bool, err error) {
	ev, err := s.events.next()
	if err != nil {
		return Frame{}, false, err
	}
	n, ok := parseEventID(ev.id, s.call.RequestID)
	if !ok {
		s.client.counters.crossed.Add(1)
		return Frame{}, false, nil
	}
	if string(ev.data) == endMark {
		s.markEnd(n)
		return Frame{}, false, nil
	}
	switch s.order.place(n, ev.data) {
	case arrivedInOrder:
		return s.deliver(n, ev.data), true, nil
	case arrivedAgain:
		s.client.counters.duplicates.Add(1)
	case arrivedEarly:
		s.client.counters.reordered.Add(1)
	case arrivedBeyond:
		return Frame{}, false, errGap
	}
	return Frame{}, false, nil
}

// markEnd notes the end mark. Frames that are missing before it may still be
// late; if the connection ends without them, they are asked for.
func (s *engineStream) markEnd(n uint64) {
	if !s.order.setEnd(n) {
		s.client.counters.duplicates.Add(1)
	}
}

func (s *engineStream) deliver(n uint64, data []byte) Frame {
	s.tries = 0
	if usage, ok := chunkUsage(data); ok {
		s.usage = usage
	}
	return Frame{Seq: n, Data: data, Text: chunkText(data)}
}

// finish ends a complete stream. The body's end is read so that the
// connection can be used again.
func (s *engineStream) finish() error {
	s.err = io.EOF
	s.drain()
	s.release()
	return s.err
}

// Bounds of what is read behind the end mark, in bytes and time.
const (
	drainLimit   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)

func (s *engineStream) drain() {
	s.clock.deadline = time.Now().Add(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.events.reader, drainLimit)
}

func (s *engineStream) fail(err error) error {
	s.client.counters.incomplete.Add(1)
	s.err = err
	s.release()
	s.client.cancelStream(s.target, s.call.RequestID)
	return s.err
}

func (s *engineStream) release() {
	s.conn.close(errClosed)
	s.cancel(errClosed)
}

// Usage implements Stream.
func (s *engineStream) Usage() Usage { return s.usage }

// Load implements Stream.
func (s *engineStream) Load() (Load, bool) { return s.load, s.hasLoad }

// Close implements Stream. It doesn't wait for the engine.
func (s *engineStream) Close() error {
	if s.err != nil {
		return nil
	}
	s.err = fmt.Errorf("%w: %w", ErrIncomplete, errClosed)
	s.release()
	s.client.cancelStream(s.target, s.call.RequestID)
	return nil
}
