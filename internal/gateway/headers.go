package gateway

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that a deployment uses.
type Headers struct {
	// RequestID names the request; upstreams echo it.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// AccountKey is the caller's key, Account the name that upstreams get.
	AccountKey string
	Account    string
	// Instance is an upstream's id on its answers, ExpectInstance the id that a
	// request is meant for.
	Instance       string
	ExpectInstance string
	// Stamp proves that an answer is an upstream's.
	Stamp string
	// NotRun marks an answer that says that the request didn't run.
	NotRun string
	// Load is an upstream's load: running, waiting, slots.
	Load string
	// Limit is the rate that an upstream in need takes from all hosts together, a
	// decimal number of requests a second.
	Limit string
	// Model, TokenCount and PromptParts describe a model request.
	Model       string
	TokenCount  string
	PromptParts string
	// Priority is the urgency that an upstream is told, 0 to 9, 0 first.
	Priority string
	// Confidence is a model's opinion of its answer, 0 to 100.
	Confidence string
	// LastEventID is the last event that the reader of a stream has.
	LastEventID string
	// Session names requests that belong together.
	Session string
	// SystemOnly are further headers that a caller must not set.
	SystemOnly []string
}

// hopByHop are the headers of one connection, RFC 9110 section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the header without what concerns one connection.
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

// forUpstream returns the caller's header as an upstream gets it, before the
// system sets its own.
func (h *Headers) forUpstream(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range []string{h.AccountKey, h.Account, h.Deadline, h.ExpectInstance, h.Priority, h.NotRun, h.Stamp, h.Load, h.Instance} {
		out.Del(name)
	}
	for _, name := range h.SystemOnly {
		out.Del(name)
	}
	out.Del("Content-Length")
	// The client library sends a name of its own where there is no key.
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
