package gateway

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that a deployment uses.
type Headers struct {
	// RequestID identifies the request; upstreams echo it.
	RequestID string
	// Deadline carries the time for which the sender waits for the answer, in milliseconds.
	Deadline string
	// AccountKey carries the caller's key, Account the account name that is sent to upstreams.
	AccountKey string
	Account    string
	// Instance carries an upstream's id on its answers, ExpectInstance the id of the upstream that
	// a request is meant for.
	Instance       string
	ExpectInstance string
	// Stamp marks an answer from an upstream that ran the request.
	Stamp string
	// NotRun marks an answer to a request that didn't run.
	NotRun string
	// Load carries an upstream's numbers of running requests, waiting requests and slots, separated
	// by commas.
	Load string
	// Limit carries the rate that a rate-limited upstream accepts from all hosts together, in
	// requests a second, as a decimal number.
	Limit string
	// Leaving is set to "1" on the answers of an upstream that is leaving.
	Leaving string
	// Brittle carries the number of requests that an upstream can reject in a second for want of room
	// without terminating.
	Brittle string
	// RetryAfter carries the time for which the sender of an answer with status 503 accepts no
	// requests.
	RetryAfter string
	// Model, TokenCount and PromptParts describe a request to a language model (see Prompt).
	Model       string
	TokenCount  string
	PromptParts string
	// Priority carries the priority that is sent to an upstream, 0 to 9; 0 is the most urgent.
	Priority string
	// Confidence carries a model's confidence in its answer, 0 to 100.
	Confidence string
	// LastEventID carries the id of the last event of a stream that the sender received, to resume
	// the stream after it.
	LastEventID string
	// Session identifies requests that belong together.
	Session string
	// LengthHint carries the caller's estimate of the number of generated tokens.
	LengthHint string
	// FetchFrom carries the address of the engine from which the receiver is to fetch cached parts
	// of the prompt. ContinueFrom carries the address and the handle of the copy of a run that the
	// receiver is to continue. Callers must not set them (Reserved).
	FetchFrom    string
	ContinueFrom string
	// Reserved are further headers that a caller must not set.
	Reserved []string
	// PassedOn are further headers of upstreams' answers. They are passed on to the caller and state
	// nothing that concerns a host.
	PassedOn []string
}

// AnswerHeaders returns the headers of upstreams' answers that the gateway reads or compares.
func (h *Headers) AnswerHeaders() []string {
	return []string{h.RequestID, h.Instance, h.Stamp, h.NotRun, h.Load, h.Limit, h.Leaving, h.Brittle, h.RetryAfter, h.Confidence}
}

// hopByHop are the headers that apply to a single connection, RFC 9110 section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the header without its hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// forUpstream returns the caller's header without the fields that the gateway sets or withholds.
func (h *Headers) forUpstream(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range []string{h.AccountKey, h.Account, h.Deadline, h.ExpectInstance, h.Priority, h.NotRun, h.Stamp, h.Load, h.Instance} {
		out.Del(name)
	}
	for _, name := range h.Reserved {
		out.Del(name)
	}
	out.Del("Content-Length")
	// Without an entry for User-Agent, the HTTP client would add its own.
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
