package entry

import (
	"encoding/json"
	"io"
	"net/http"

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
		r, err := front.Decode(w, req)
		if err == nil {
			err = h.run(req.Context(), r)
		} else {
			h.countUndecoded(r, err)
		}
		front.Finish(w, r, err)
	})
}

func (h *Host) unknownRoute(w http.ResponseWriter, req *http.Request) {
	r, _ := newRequest(req, KindModel)
	err := resultcode.New(resultcode.UnknownRoute, "no such path: %s", req.URL.Path)
	h.countUndecoded(r, err)
	writeRefusal(w, r, err)
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
