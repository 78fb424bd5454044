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

// retryAfterSeconds is the advice to a caller over the rate limit.
const retryAfterSeconds = "1"

// errBadRequest means that a request can't be read.
var errBadRequest = errors.New("bad request")

// reply is a successful answer. Its zero value is one without a body.
type reply struct {
	// json is the body to encode; nil for none.
	json any
	// data is the body as it is, where json is nil; nil for none.
	data []byte
}

// handler does one call.
type handler func(r *http.Request) (reply, error)

// limit refuses calls over the limiter's rate.
func (s *Server) limit(limiter *rate.Limiter, h handler) http.Handler {
	next := s.call(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limiter.Allow() {
			next.ServeHTTP(w, r)
			return
		}
		repeatCall(w, r)
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeProblem(w, http.StatusTooManyRequests, errors.New("over the rate limit"))
	})
}

// call runs the handler and writes its answer. Where the outcome is to stay
// unknown, it cuts the connection without an answer.
func (s *Server) call(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		repeatCall(w, r)
		r.Body = http.MaxBytesReader(w, r.Body, s.options.MaxBody)
		result, err := h(r)
		if err == nil {
			writeReply(w, result)
			return
		}
		status, known := statusOf(err)
		if !known {
			panic(http.ErrAbortHandler)
		}
		writeProblem(w, status, err)
	})
}

// statusOf returns the status of an error that says that there was no effect.
func statusOf(err error) (status int, known bool) {
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

// repeatCall copies the number of the call to the answer.
func repeatCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.HeaderCall, r.Header.Get(protocol.HeaderCall))
}

func writeReply(w http.ResponseWriter, result reply) {
	if result.json != nil {
		writeJSON(w, http.StatusOK, result.json)
		return
	}
	if result.data == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, result.data)
}

// writeProblem writes a refusal, which always states that there was no effect.
func writeProblem(w http.ResponseWriter, status int, err error) {
	w.Header().Set(protocol.HeaderEffect, protocol.EffectNone)
	writeJSON(w, status, protocol.Problem{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		// The call may have had its effect, so no status would be true.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that is gone learns nothing more; there is nobody to tell.
	_, _ = w.Write(body)
}

// readJSON decodes the whole body of a request into message.
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
