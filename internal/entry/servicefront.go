package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// servicePrefix is followed by the service's name and the path of its call.
const servicePrefix = "/services/"

// serviceFrontend takes plain HTTP calls of services, routed by name.
type serviceFrontend struct {
	// maxBody bounds a request's body in bytes.
	maxBody int64
}

// Decode implements Frontend.
func (f *serviceFrontend) Decode(w http.ResponseWriter, req *http.Request) (*Request, error) {
	r, err := newRequest(req, KindService)
	if err != nil {
		return r, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), servicePrefix), "/")
	r.Route = name
	r.Service = upstream.ServiceCall{
		Method: req.Method,
		Path:   "/" + path,
		Header: callerHeader(req.Header),
	}
	if req.URL.RawQuery != "" {
		r.Service.Path += "?" + req.URL.RawQuery
	}
	r.Sink = &serviceSink{}
	r.Body, err = readBody(w, req, f.maxBody)
	return r, err
}

// ownPrefix starts the names of this system's headers.
const ownPrefix = "Quetzalweir-"

// callerHeader is what of the caller's headers a service gets: not the
// account key, and none of this system's own but the request key, by which a
// service can recognise a repeat too.
func callerHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		own := strings.HasPrefix(name, ownPrefix) && name != headerRequestKey
		if own || name == "Authorization" {
			continue
		}
		out[name] = values
	}
	return out
}

// pathOnly drops the query.
func pathOnly(path string) string {
	p, _, _ := strings.Cut(path, "?")
	return p
}

// Finish implements Frontend.
func (f *serviceFrontend) Finish(w http.ResponseWriter, r *Request, err error) {
	if err != nil {
		writeRefusal(w, r, err)
		return
	}
	answer := r.Sink.Answer(r)
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	setDecided(h, r)
	setOutcome(h, r, resultcode.OK)
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// serviceSink keeps a service's whole answer.
type serviceSink struct {
	answer upstream.ServiceAnswer
}

// Frame implements Sink; services have no frames.
func (s *serviceSink) Frame(*Request, upstream.Frame) error { return nil }

// Service implements Sink.
func (s *serviceSink) Service(_ *Request, answer upstream.ServiceAnswer) { s.answer = answer }

// Started implements Sink.
func (s *serviceSink) Started() bool { return false }

// Reset implements Sink.
func (s *serviceSink) Reset() { s.answer = upstream.ServiceAnswer{} }

// Text implements Sink.
func (s *serviceSink) Text() string { return string(s.answer.Body) }

// Answer implements Sink.
func (s *serviceSink) Answer(*Request) upstream.ServiceAnswer { return s.answer }

// Replay implements Sink.
func (s *serviceSink) Replay(_ *Request, answer upstream.ServiceAnswer) { s.answer = answer }
