package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// answerWriter writes one answer to the caller.
type answerWriter struct {
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	// closesConnection is set if the connection to the caller is closed after this answer.
	closesConnection bool

	// started is set when the caller may have received a byte of the answer. status is the answer's status.
	started bool
	status  int
	// events is the number of events that were passed on to the caller. lastEventID is the id of
	// the last of them. Before the first event it is the id after which the caller asked to resume
	// a stream, or empty.
	events      int
	lastEventID string
	// longestPause is the longest time between two events that were passed on.
	longestPause time.Duration
	lastEventAt  time.Time
}

// callerWriteTimeout bounds the time for writing an event to a caller that doesn't read.
const callerWriteTimeout = 10 * time.Second

func newAnswerWriter(w http.ResponseWriter, req *http.Request, closesConnection bool, lastEventID string) *answerWriter {
	return &answerWriter{
		writer:           w,
		request:          req,
		control:          http.NewResponseController(w),
		closesConnection: closesConnection,
		lastEventID:      lastEventID,
	}
}

// writeHead writes the status and the header once; later calls do nothing.
func (w *answerWriter) writeHead(status int, header http.Header) error {
	if w.started {
		return nil
	}
	w.started, w.status = true, status
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
		out["Content-Type"] = nil // disables content sniffing by the server library
	}
	if w.closesConnection {
		out.Set("Connection", "close")
	}
}

func (w *answerWriter) flush() error {
	if err := w.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// writeEvent passes one event on to the caller.
func (w *answerWriter) writeEvent(ev event) error {
	now := time.Now()
	if !w.lastEventAt.IsZero() {
		w.longestPause = max(w.longestPause, now.Sub(w.lastEventAt))
	}
	w.lastEventAt = now
	// If the connection doesn't support write deadlines, the time for the write isn't bounded.
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

// writeEmptyEvent passes blank lines or a comment on to the caller, if an event was passed on before.
func (w *answerWriter) writeEmptyEvent(ev event) error {
	if w.events == 0 {
		return nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := w.writer.Write(ev.text); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return w.flush()
}

// writeBuffered writes a complete answer.
func (w *answerWriter) writeBuffered(answer *bufferedAnswer) error {
	w.started, w.status = true, answer.status
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
