package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Headers that callers send.
const (
	headerClass      = "Quetzalweir-Class"
	headerDeadline   = "Quetzalweir-Deadline-Ms"
	headerRequestKey = "Quetzalweir-Request-Key"
	headerSession    = "Quetzalweir-Session"
	// headerRepeatable makes a model request run at most once if its value is "no".
	headerRepeatable = "Quetzalweir-Repeatable"
)

// Headers, or trailers of streamed answers, that callers receive.
const (
	headerRequestID    = "Quetzalweir-Request-Id"
	headerModel        = "Quetzalweir-Model"
	headerVersion      = "Quetzalweir-Version"
	headerEpoch        = "Quetzalweir-Epoch"
	headerUpstream     = "Quetzalweir-Upstream"
	headerRunState     = "Quetzalweir-Run-State"
	headerResultCode   = "Quetzalweir-Result-Code"
	headerReplayed     = "Quetzalweir-Replayed"
	headerSessionMoved = "Quetzalweir-Session-Moved"
	// headerBelowTarget is set if a cascade's answer is below its target rating.
	headerBelowTarget = "Quetzalweir-Below-Target"
	// headerSessionTransient is set if the session's binding couldn't be stored in the
	// table, so that only the session token holds it.
	headerSessionTransient = "Quetzalweir-Session-Transient"
)

const (
	maxRequestKeyBytes = 200
	maxTimeout         = 10 * time.Minute
)

// newRequest returns a request with the values of the headers common to all
// frontends.
func newRequest(req *http.Request, kind Kind) (*Request, error) {
	r := &Request{
		ID:         uuid.NewString(),
		Kind:       kind,
		Arrived:    time.Now(),
		AccountKey: accountKey(req),
		ClassArg:   req.Header.Get(headerClass),
		RequestKey: req.Header.Get(headerRequestKey),
		SessionArg: req.Header.Get(headerSession),
		Repeatable: true,
	}
	r.keyUnresolved = r.RequestKey != ""
	if len(r.RequestKey) > maxRequestKeyBytes {
		return r, resultcode.New(resultcode.BadHeader, "%s has at most %d bytes", headerRequestKey, maxRequestKeyBytes)
	}
	return r, parseTimeout(req, r)
}

func parseTimeout(req *http.Request, r *Request) error {
	text := req.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > maxTimeout.Milliseconds() {
		return resultcode.New(resultcode.BadHeader, "%s is a number of milliseconds up to %d", headerDeadline, maxTimeout.Milliseconds())
	}
	if ms <= 0 {
		return resultcode.New(resultcode.DeadlineExpired, "the deadline had passed on arrival")
	}
	r.Patience = time.Duration(ms) * time.Millisecond
	return nil
}

// accountKey returns the bearer token of the Authorization header.
func accountKey(req *http.Request) string {
	scheme, key, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return key
}

// setRequestHeaders sets the headers whose values are known when an answer begins.
func setRequestHeaders(h http.Header, r *Request) {
	setNonEmpty(h, headerRequestID, r.ID)
	setNonEmpty(h, headerModel, r.Model)
	setNonEmpty(h, headerVersion, r.Version.Name)
	setNonEmpty(h, headerUpstream, r.Target.ID)
	setNonEmpty(h, headerSession, r.SessionTokens)
	setNonEmpty(h, headerSessionMoved, r.Session.MovedFrom)
	if r.BelowTarget {
		h.Set(headerBelowTarget, "yes")
	}
	if r.Session.Transient {
		h.Set(headerSessionTransient, "yes")
	}
	if r.Epoch() > 0 {
		h.Set(headerEpoch, strconv.FormatUint(r.Epoch(), 10))
	}
	if r.Replayed {
		h.Set(headerReplayed, "yes")
	}
}

// setResultHeaders sets the headers whose values are known when an answer ends.
func setResultHeaders(h http.Header, r *Request, code resultcode.Code) {
	h.Set(headerRunState, r.RunState().String())
	h.Set(headerResultCode, strconv.Itoa(int(code)))
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// errorResponse is the JSON body of an error response, in the format that
// chat-completions clients parse.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       int    `json:"code"`
	RunState   string `json:"run_state"`
	RequestID  string `json:"request_id"`
	RetryAfter int    `json:"retry_after_ms,omitempty"`
}

func newErrorResponse(r *Request, e *resultcode.Error) errorResponse {
	return errorResponse{Error: errorBody{
		Message:    e.Detail,
		Type:       e.Code.String(),
		Code:       int(e.Code),
		RunState:   r.RunState().String(),
		RequestID:  r.ID,
		RetryAfter: int(retryAfter(r, e).Milliseconds()),
	}}
}

// writeError writes the error response for a request whose answer hasn't begun.
func writeError(w http.ResponseWriter, r *Request, err error) {
	e := r.reportedError(err)
	h := w.Header()
	setRequestHeaders(h, r)
	setResultHeaders(h, r, e.Code)
	if retry := retryAfter(r, e); retry > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(retry)))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(resultcode.Lookup(e.Code).Status)
	writeJSON(w, newErrorResponse(r, e))
}

// incompleteRetryDelay is the Retry-After in the error response for a repeatable
// request that was sent to an upstream and got no complete answer.
const incompleteRetryDelay = time.Second

// retryAfter returns the delay after which the caller should retry, or zero if a
// retry can't succeed. A claimed request that may have run is never run again. A
// repeatable request whose answer is incomplete may be retried, although the spec of
// its result code has no Retry-After.
func retryAfter(r *Request, e *resultcode.Error) time.Duration {
	sent := r.state.State() != runstate.NotRun
	switch {
	case r.Claim != nil && sent:
		return 0
	case r.Repeatable && sent && isIncomplete(e.Code):
		return incompleteRetryDelay
	case r.RunState() == runstate.Ran:
		return 0
	default:
		return e.Retry()
	}
}

// isIncomplete reports whether a result code means that no complete answer arrived.
func isIncomplete(c resultcode.Code) bool {
	switch c {
	case resultcode.OutcomeUnknown, resultcode.AnswerIncomplete, resultcode.AnswerMismatch:
		return true
	default:
		return false
	}
}

// ceilSeconds rounds up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
