package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// answerWriter is the way of one answer to the caller.
type answerWriter struct {
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	// closing says that the connection ends with this answer.
	closing bool

	// started says that the caller may have a byte of the answer.
	started bool
	// events counts the events that were passed on, lastEventID is the last
	// one's id, at first the one that the caller has already.
	events      int
	lastEventID string
	// pause is the longest time between two events.
	pause   time.Duration
	eventAt time.Time
}

// callerWriteTimeout bounds a write to a caller that doesn't read.
const callerWriteTimeout = 10 * time.Second

func newAnswerWriter(w http.ResponseWriter, req *http.Request, closing bool, lastEventID string) *answerWriter {
	return &answerWriter{
		writer:      w,
		request:     req,
		control:     http.NewResponseController(w),
		closing:     closing,
		lastEventID: lastEventID,
	}
}

// begin writes the head, once.
func (w *answerWriter) begin(status int, header http.Header) error {
	if w.started {
		return nil
	}
	w.started = true
	w.copyHeader(header)
	w.writer.Header().Del("Content-Length")
	w.writer.WriteHeader(status)
	return w.flush()
}

func (w *answerWriter) copyHeader(header http.Header) {
	out := w.writer.Header()
	for name, values := range endToEnd(header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // no guess by the server library
	}
	if w.closing {
		out.Set("Connection", "close")
	}
}

func (w *answerWriter) flush() error {
	if err := w.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// event passes one event on.
func (w *answerWriter) event(ev event) error {
	now := time.Now()
	if !w.eventAt.IsZero() {
		w.pause = max(w.pause, now.Sub(w.eventAt))
	}
	w.eventAt = now
	// The write deadline is a courtesy to this host; where the connection
	// can't have one, the write below says so.
	_ = w.control.SetWriteDeadline(now.Add(callerWriteTimeout))
	if _, err := w.writer.Write(ev.text); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if ev.id != "" {
		w.lastEventID = ev.id
	}
	w.events++
	return w.flush()
}

// whole writes a complete answer.
func (w *answerWriter) whole(answer *wholeAnswer) error {
	w.started = true
	w.copyHeader(answer.header)
	if w.request.Method != http.MethodHead {
		w.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	w.writer.WriteHeader(answer.status)
	if _, err := w.writer.Write(answer.body); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}
