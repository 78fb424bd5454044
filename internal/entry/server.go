package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// callerHandler returns the handler of the callers' address.
func (h *Host) callerHandler() http.Handler {
	mux := http.NewServeMux()
	limits := h.intake.Limits()
	mux.Handle("POST /v1/chat/completions", h.serve(&chatFrontend{maxBody: min(h.settings.MaxBody, limits.MaxBody(decodedCopies))}))
	mux.Handle(servicePrefix, h.serve(&serviceFrontend{maxBody: h.settings.MaxBody}))
	mux.Handle("/", withWriteTimeout(h.settings.CallerWriteTimeout, h.serveUnknownPath))
	return mux
}

// serve returns a handler that runs each request through the pipeline.
func (h *Host) serve(frontend Frontend) http.Handler {
	return withWriteTimeout(h.settings.CallerWriteTimeout, func(caller *callerWriter, req *http.Request) {
		conn, detach := h.intake.Attach(req)
		defer detach()
		r, err := h.decode(frontend, caller, req, conn)
		if err == nil {
			ctx, release := h.plannedStop.RequestContext(req.Context())
			defer release()
			err = h.runPipeline(ctx, r)
		} else {
			h.countUndecoded(r, err)
			if conn.ClosesAfter(resultcode.FromError(err).Code) {
				caller.Header().Set("Connection", "close")
			}
		}
		frontend.Finish(caller, r, err)
	})
}

// runPipeline runs the request and counts it as in progress until its bill and claim are recorded.
func (h *Host) runPipeline(ctx context.Context, r *Request) error {
	h.requestsInProgress.Add(1)
	defer h.requestsInProgress.Add(-1)
	return h.pipeline(ctx, r)
}

// withWriteTimeout returns a handler that bounds the time of each write to the caller.
func withWriteTimeout(timeout time.Duration, handle func(caller *callerWriter, req *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		caller := newCallerWriter(w, timeout)
		// The server writes what is buffered, and the end of a stream, after the handler has returned.
		defer caller.extendDeadline()
		handle(caller, req)
	})
}

// decode checks the account key before it reads the request, so that no body is read
// for callers without an account.
func (h *Host) decode(frontend Frontend, w http.ResponseWriter, req *http.Request, conn *httpintake.Conn) (*Request, error) {
	policy, err := currentPolicy(h.manifestWatcher)
	if err == nil {
		_, err = accountByKey(policy, accountKey(req))
	}
	if err == nil && conn == nil {
		err = resultcode.New(resultcode.HostMemory, "the host has no memory for another request")
	}
	if err != nil {
		r, headerErr := newRequest(req, KindModel)
		if headerErr != nil {
			h.log.Debug().Str("event", "header-unreadable").Str("request", r.ID).Err(headerErr).Msg("")
		}
		return r, err
	}
	return frontend.Decode(w, req, conn)
}

func (h *Host) serveUnknownPath(caller *callerWriter, req *http.Request) {
	r, _ := newRequest(req, KindModel)
	err := resultcode.New(resultcode.UnknownRoute, "no such path: %s", req.URL.Path)
	h.countUndecoded(r, err)
	writeError(caller, r, err)
}

// callerWriter sets a new deadline for each write to the caller, whether it is part of
// a stream, a complete answer or an error response. A single deadline for the whole
// answer would break long streams.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface that http.ResponseController uses.
func (w *callerWriter) FlushError() error {
	w.extendDeadline()
	return w.control.Flush()
}

// extendDeadline sets the write deadline to the timeout from now. If the connection
// doesn't support deadlines, writes have none.
func (w *callerWriter) extendDeadline() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
}

// countUndecoded counts a request that was refused before it reached the pipeline.
func (h *Host) countUndecoded(r *Request, err error) {
	code := resultcode.FromError(err).Code
	h.ledger.CountRefusal(r.AccountName(), r.Epoch(), int(code))
	h.metrics.record(r, code)
}

func writeJSON(w io.Writer, v any) {
	// An error means that the caller disconnected, so the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(v)
}
