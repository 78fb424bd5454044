// Package notice reads what an upstream states about itself in the head of an answer and what
// therefore binds the hosts that send it requests. Both front doors use it, so that a statement
// means the same for each.
package notice

import (
	"net/http"
	"strings"
)

// leavingValue is the value of the leaving header of an upstream that is leaving.
const leavingValue = "1"

// Headers are the names of the headers in which upstreams make statements.
type Headers struct {
	// Leaving states with the value "1" that the upstream is leaving.
	Leaving string
}

// Notice is what the head of one answer states.
type Notice struct {
	// Leaving is set if the upstream is leaving: it accepts no new requests, and terminates soon.
	Leaving bool
	// Unreadable holds the names of the headers with a value that has no defined meaning. Such a
	// value binds nobody.
	Unreadable []string
}

// Read returns what the head of an answer states, whatever its status.
func Read(header http.Header, names Headers) Notice {
	var n Notice
	for _, value := range header.Values(names.Leaving) {
		switch strings.TrimSpace(value) {
		case leavingValue:
			n.Leaving = true
		case "", "0":
		default:
			n.addUnreadable(names.Leaving)
		}
	}
	return n
}

func (n *Notice) addUnreadable(name string) {
	for _, known := range n.Unreadable {
		if known == name {
			return
		}
	}
	n.Unreadable = append(n.Unreadable, name)
}

// IsZero reports whether the head states nothing.
func (n Notice) IsZero() bool { return !n.Leaving && len(n.Unreadable) == 0 }
