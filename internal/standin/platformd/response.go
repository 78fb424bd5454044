package platformd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// retryAfterSeconds is the value of the Retry-After header that is sent to
// callers over the rate limit.
const retryAfterSeconds = "1"

// errBadRequest means that a request can't be parsed.
var errBadRequest = errors.New("bad request")

// response is the content of a successful response. The zero value has no body.
type response struct {
	// json is the value to encode as the body; nil for none.
	json any
	// raw is the body as bytes; it is ignored unless json is nil. Nil means no
	// body.
	raw []byte
}

// handler executes one call and returns its response.
type handler func(r *http.Request) (response, error)

// limitRate returns a handler that responds with status 429 to calls over the
// limiter's rate and passes other calls to handle.
func (s *Server) limitRate(limiter *rate.Limiter, h handler) http.Handler {
	next := s.handle(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limiter.Allow() {
			next.ServeHTTP(w, r)
			return
		}
		echoCallNumber(w, r)
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeProblem(w, http.StatusTooManyRequests, errors.New("over the rate limit"))
	})
}

// handle runs the handler and sends its response. If an error leaves open
// whether the call took effect, it closes the connection without a response.
func (s *Server) handle(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		echoCallNumber(w, r)
		r.Body = http.MaxBytesReader(w, r.Body, s.options.MaxBody)
		result, err := h(r)
		if err == nil {
			writeResponse(w, result)
			return
		}
		status, noEffect := statusOf(err)
		if !noEffect {
			panic(http.ErrAbortHandler)
		}
		writeProblem(w, status, err)
	})
}

// statusOf returns the HTTP status of an error, and whether the error
// guarantees that the call had no effect.
func statusOf(err error) (status int, noEffect bool) {
	switch {
	case errors.Is(err, storage.ErrConflict):
		return http.StatusConflict, true
	case errors.Is(err, storage.ErrNotFound):
		return http.StatusNotFound, true
	case errors.Is(err, storage.ErrUnavailable):
		return http.StatusServiceUnavailable, true
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest, true
	default:
		return 0, false
	}
}

// echoCallNumber copies the call number from the request to the response.
func echoCallNumber(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.HeaderCall, r.Header.Get(protocol.HeaderCall))
}

func writeResponse(w http.ResponseWriter, result response) {
	if result.json != nil {
		writeJSON(w, http.StatusOK, result.json)
		return
	}
	if result.raw == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, result.raw)
}

// writeProblem sends an error response, which always states that the call had
// no effect.
func writeProblem(w http.ResponseWriter, status int, err error) {
	w.Header().Set(protocol.HeaderEffect, protocol.EffectNone)
	writeJSON(w, status, protocol.ErrorResponse{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		// The call may have taken effect, so neither a success nor an error
		// status would be correct.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error means that the caller has closed the connection; nothing can be
	// reported to it.
	_, _ = w.Write(body)
}

// readJSON decodes the whole body of a request into message; unknown fields
// and trailing data are errors.
func readJSON(r *http.Request, message any) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", errBadRequest, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return fmt.Errorf("%w: %w", errBadRequest, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the message", errBadRequest)
	}
	return nil
}
