package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// servicePrefix precedes the service's name and the path of the call.
const servicePrefix = "/services/"

// serviceFrontend accepts HTTP calls to services, which are routed by the service's
// name.
type serviceFrontend struct {
	// maxBody is the maximum size of a request's body, in bytes.
	maxBody int64
}

// Decode implements Frontend.
func (f *serviceFrontend) Decode(w http.ResponseWriter, req *http.Request, conn *httpintake.Conn) (*Request, error) {
	r, err := newRequest(req, KindService)
	if err != nil {
		return r, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), servicePrefix), "/")
	r.Route = name
	r.Service = upstream.ServiceCall{
		Method: req.Method,
		Path:   "/" + path,
		Header: forwardedHeader(req.Header),
	}
	if req.URL.RawQuery != "" {
		r.Service.Path += "?" + req.URL.RawQuery
	}
	r.Sink, r.Conn = &serviceSink{}, conn
	r.Body, err = readBody(w, req, conn, f.maxBody)
	return r, err
}

// headerPrefix starts the names of this system's headers.
const headerPrefix = "Quetzalweir-"

// forwardedHeader returns the caller's headers that are forwarded to a service. It
// omits the account key and this system's own headers except the request key, by
// which a service can detect repeated calls.
func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		own := strings.HasPrefix(name, headerPrefix) && name != headerRequestKey
		if own || name == "Authorization" {
			continue
		}
		out[name] = values
	}
	return out
}

// stripQuery returns the path without its query.
func stripQuery(path string) string {
	p, _, _ := strings.Cut(path, "?")
	return p
}

// Finish implements Frontend.
func (f *serviceFrontend) Finish(w http.ResponseWriter, r *Request, err error) {
	if err != nil {
		writeError(w, r, err)
		return
	}
	answer := r.Sink.Answer(r)
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	setRequestHeaders(h, r)
	setResultHeaders(h, r, resultcode.OK)
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// serviceSink stores the complete answer of a service.
type serviceSink struct {
	answer upstream.ServiceResponse
}

// Frame implements Sink. It does nothing: services send no frames.
func (s *serviceSink) Frame(*Request, upstream.Frame) error { return nil }

// Service implements Sink.
func (s *serviceSink) Service(_ *Request, answer upstream.ServiceResponse) { s.answer = answer }

// Started implements Sink.
func (s *serviceSink) Started() bool { return false }

// Reset implements Sink.
func (s *serviceSink) Reset() { s.answer = upstream.ServiceResponse{} }

// Text implements Sink.
func (s *serviceSink) Text() string { return string(s.answer.Body) }

// Answer implements Sink.
func (s *serviceSink) Answer(*Request) upstream.ServiceResponse { return s.answer }

// Replay implements Sink.
func (s *serviceSink) Replay(_ *Request, answer upstream.ServiceResponse) { s.answer = answer }
