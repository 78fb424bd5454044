package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// callerHandler routes callers' requests to their frontends.
func (h *Host) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", h.serve(&chatFrontend{maxBody: h.settings.MaxBody}))
	mux.Handle(servicePrefix, h.serve(&serviceFrontend{maxBody: h.settings.MaxBody}))
	mux.HandleFunc("/", h.unknownRoute)
	return mux
}

// serve takes one request through the pipeline.
func (h *Host) serve(front Frontend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		caller := newCallerWriter(w, h.settings.CallerWriteTimeout)
		r, err := h.decode(front, caller, req)
		if err == nil {
			err = h.run(req.Context(), r)
		} else {
			h.countUndecoded(r, err)
		}
		front.Finish(caller, r, err)
	})
}

// decode reads a request after its caller is known: a body is neither read nor
// judged for callers without an account.
func (h *Host) decode(front Frontend, w http.ResponseWriter, req *http.Request) (*Request, error) {
	policy, err := currentPolicy(h.watcher)
	if err == nil {
		_, err = accountOf(policy, accountKey(req))
	}
	if err != nil {
		r, headerErr := newRequest(req, KindModel)
		if headerErr != nil {
			h.log.Debug().Str("event", "header-unreadable").Str("request", r.ID).Err(headerErr).Msg("")
		}
		return r, err
	}
	return front.Decode(w, req)
}

func (h *Host) unknownRoute(w http.ResponseWriter, req *http.Request) {
	caller := newCallerWriter(w, h.settings.CallerWriteTimeout)
	r, _ := newRequest(req, KindModel)
	err := resultcode.New(resultcode.UnknownRoute, "no such path: %s", req.URL.Path)
	h.countUndecoded(r, err)
	writeRefusal(caller, r, err)
}

// callerWriter bounds each write to the caller, of streams, whole answers and
// refusals alike. A bound on the whole answer would cut long streams.
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
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *callerWriter) FlushError() error { return w.control.Flush() }

// extend moves the deadline. A connection that has none is written to without.
func (w *callerWriter) extend() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
}

// countUndecoded counts a refusal that didn't reach the pipeline.
func (h *Host) countUndecoded(r *Request, err error) {
	code := resultcode.From(err).Code
	h.ledger.Refuse(r.AccountName(), r.Epoch(), int(code))
	h.metrics.record(r, code)
}

func writeJSON(w io.Writer, v any) {
	// A caller that left can't be told of it.
	_ = json.NewEncoder(w).Encode(v)
}
