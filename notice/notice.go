// Package notice reads what an upstream states about itself in the head of an answer and what
// therefore binds the hosts that send it requests. Both front doors use it, so that a statement
// means the same for each.
package notice

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// leavingValue is the value of the leaving header of an upstream that is leaving.
const leavingValue = "1"

// Headers are the names of the headers in which upstreams make statements.
type Headers struct {
	// Leaving states with the value "1" that the upstream is leaving.
	Leaving string
	// Brittle states how many requests the upstream can reject in a second for want of room without
	// terminating. Empty if the deployment has no such header.
	Brittle string
	// RetryAfter states, in an answer with status 503, for how long the upstream accepts no
	// requests of the host that it answers. The standard name is Retry-After.
	RetryAfter string
}

// Notice is what the head of one answer states.
type Notice struct {
	// Leaving is set if the upstream is leaving: it accepts no new requests, and terminates soon.
	Leaving bool
	// Backoff is the time for which the upstream accepts no requests of this host; 0 if it states
	// none.
	Backoff time.Duration
	// Brittle is the number of requests that the upstream can reject in a second; 0 if it states none.
	Brittle int
	// Unreadable holds the names of the headers with a value that has no defined meaning. Such a
	// value binds nobody.
	Unreadable []string
}

// Read returns what the head of an answer states. Retry-After counts with status 503 only: with 429
// it can concern a single account.
func Read(status int, header http.Header, names Headers) Notice {
	var n Notice
	if status == http.StatusServiceUnavailable {
		backoff, readable := RetryAfter(header, names.RetryAfter)
		n.Backoff = backoff
		if !readable {
			n.Unreadable = append(n.Unreadable, names.RetryAfter)
		}
	}
	for _, value := range header.Values(names.Leaving) {
		switch strings.TrimSpace(value) {
		case leavingValue:
			n.Leaving = true
		case "", "0":
		default:
			if !slices.Contains(n.Unreadable, names.Leaving) {
				n.Unreadable = append(n.Unreadable, names.Leaving)
			}
		}
	}
	if names.Brittle != "" {
		n.readBrittle(header.Values(names.Brittle), names.Brittle)
	}
	return n
}

// minBrittleLimit is the limit of an upstream that states that it is brittle without a readable number.
const minBrittleLimit = 1

// readBrittle reads the header by which an upstream states that it is brittle. A value without a defined
// meaning doesn't tell how many rejections the upstream bears, but that it is brittle.
func (n *Notice) readBrittle(values []string, name string) {
	for _, value := range values {
		limit, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || limit < 0 {
			n.Unreadable = append(n.Unreadable, name)
		}
		n.Brittle = max(minBrittleLimit, limit)
	}
}

// IsZero reports whether the head states nothing.
func (n Notice) IsZero() bool {
	return !n.Leaving && n.Backoff == 0 && n.Brittle == 0 && len(n.Unreadable) == 0
}
