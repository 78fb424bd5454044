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
	// headerRepeatable with value "no" makes a model request run at most once.
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
	// headerBelowTarget says that a cascade's answer is below its target.
	headerBelowTarget = "Quetzalweir-Below-Target"
	// headerSessionTransient says that the session's binding lasts only with
	// its token.
	headerSessionTransient = "Quetzalweir-Session-Transient"
)

const (
	maxRequestKey = 200
	maxPatience   = 10 * time.Minute
)

// newRequest reads the headers that all frontends share.
func newRequest(req *http.Request, kind Kind) (*Request, error) {
	r := &Request{
		ID:         uuid.NewString(),
		Kind:       kind,
		Arrived:    time.Now(),
		Key:        accountKey(req),
		ClassArg:   req.Header.Get(headerClass),
		RequestKey: req.Header.Get(headerRequestKey),
		SessionArg: req.Header.Get(headerSession),
		Repeatable: true,
	}
	r.keyOpen = r.RequestKey != ""
	if len(r.RequestKey) > maxRequestKey {
		return r, resultcode.New(resultcode.BadHeader, "%s has at most %d bytes", headerRequestKey, maxRequestKey)
	}
	return r, readPatience(req, r)
}

func readPatience(req *http.Request, r *Request) error {
	text := req.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > maxPatience.Milliseconds() {
		return resultcode.New(resultcode.BadHeader, "%s is a number of milliseconds up to %d", headerDeadline, maxPatience.Milliseconds())
	}
	if ms <= 0 {
		return resultcode.New(resultcode.DeadlineExpired, "the deadline had passed on arrival")
	}
	r.Patience = time.Duration(ms) * time.Millisecond
	return nil
}

// accountKey takes the bearer token, as chat-completions clients send it.
func accountKey(req *http.Request) string {
	scheme, key, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return key
}

// setDecided writes the headers that are known when an answer begins.
func setDecided(h http.Header, r *Request) {
	set(h, headerRequestID, r.ID)
	set(h, headerModel, r.Model)
	set(h, headerVersion, r.Version.Name)
	set(h, headerUpstream, r.Target.ID)
	set(h, headerSession, r.SessionTokens)
	set(h, headerSessionMoved, r.Session.Moved)
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

// setOutcome writes the headers that are known when an answer ends.
func setOutcome(h http.Header, r *Request, code resultcode.Code) {
	h.Set(headerRunState, r.RunState().String())
	h.Set(headerResultCode, strconv.Itoa(int(code)))
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// refusal is the JSON body of a refusal, in the shape that chat-completions
// clients read.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       int    `json:"code"`
	RunState   string `json:"run_state"`
	RequestID  string `json:"request_id"`
	RetryAfter int    `json:"retry_after_ms,omitempty"`
}

func newRefusal(r *Request, e *resultcode.Error) refusal {
	return refusal{Error: refusalError{
		Message:    e.Detail,
		Type:       e.Code.String(),
		Code:       int(e.Code),
		RunState:   r.RunState().String(),
		RequestID:  r.ID,
		RetryAfter: int(retryAfter(r, e).Milliseconds()),
	}}
}

// writeRefusal answers a request whose answer hasn't begun.
func writeRefusal(w http.ResponseWriter, r *Request, err error) {
	e := resultcode.ForState(resultcode.From(err), r.state.State())
	h := w.Header()
	setDecided(h, r)
	setOutcome(h, r, e.Code)
	if retry := retryAfter(r, e); retry > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(retry)))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(resultcode.Lookup(e.Code).Status)
	writeJSON(w, newRefusal(r, e))
}

// repeatPause is when to come back with a request that may be repeated and
// that was sent without a whole answer.
const repeatPause = time.Second

// retryAfter is when the caller should come back; zero where that can't help.
// A request that was claimed and may have run is never run again. One that may
// be repeated can come back, though its code alone says no.
func retryAfter(r *Request, e *resultcode.Error) time.Duration {
	sent := r.state.State() != runstate.NotRun
	switch {
	case r.Claim != nil && sent:
		return 0
	case r.Repeatable && sent && brokeOff(e.Code):
		return repeatPause
	case r.RunState() == runstate.Ran:
		return 0
	default:
		return e.Retry()
	}
}

// brokeOff says that a code stands for an answer that didn't come whole.
func brokeOff(c resultcode.Code) bool {
	switch c {
	case resultcode.OutcomeUnknown, resultcode.AnswerIncomplete, resultcode.AnswerMismatch:
		return true
	default:
		return false
	}
}

// seconds rounds up to whole seconds, as Retry-After needs.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
