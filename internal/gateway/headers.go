package gateway

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that a deployment uses.
type Headers struct {
	// RequestID identifies the request; upstreams echo it.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// AccountKey carries the caller's key, Account the account name that upstreams get.
	AccountKey string
	Account    string
	// Instance carries an upstream's id on its answers, ExpectInstance the id of the upstream that
	// a request is meant for.
	Instance       string
	ExpectInstance string
	// Stamp proves that an answer comes from an upstream.
	Stamp string
	// NotRun marks an answer to a request that didn't run.
	NotRun string
	// Load carries an upstream's load: running, waiting, slots.
	Load string
	// Limit is the rate that an overloaded upstream accepts from all hosts together, a decimal
	// number of requests a second.
	Limit string
	// Model, TokenCount and PromptParts describe a model request.
	Model       string
	TokenCount  string
	PromptParts string
	// Priority is the priority that is sent to an upstream, 0 to 9, 0 first.
	Priority string
	// Confidence is a model's confidence in its answer, 0 to 100.
	Confidence string
	// LastEventID is the id of the last event that the reader of a stream received.
	LastEventID string
	// Session identifies requests that belong together.
	Session string
	// Reserved are further headers that a caller must not set.
	Reserved []string
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
	// Without a key the client library would add its own User-Agent.
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
