package responsecheck

import (
	"fmt"
	"net/http"
	"strconv"
)

// Statuses of final responses are at least minStatus and at most maxStatus (RFC 9110, section 15). Interim responses are
// read by the HTTP library, except for 101: no request of the project asks for an upgrade.
const (
	minStatus = 200
	maxStatus = 599
)

// CheckHead returns an error if the head isn't that of a final HTTP/1 response. Nothing that it states can be used then.
func CheckHead(majorVersion, status int, header http.Header) error {
	if majorVersion != 1 {
		return &Error{Fault: Version, Detail: fmt.Sprintf("major version %d", majorVersion)}
	}
	if status < minStatus || status > maxStatus {
		return &Error{Fault: Status, Detail: fmt.Sprintf("%03d", status)}
	}
	return CheckFieldNames(header)
}

// maxDetail bounds the text that a peer sent in a Detail, in bytes.
const maxDetail = 32

// CheckFieldNames returns an error if the name of a header or trailer field isn't a token (RFC 9110, section 5.1). The
// HTTP library keeps names with blanks: a field that states the framing of the body would be taken for another one.
func CheckFieldNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return &Error{Fault: FieldName, Detail: strconv.Quote(name[:min(len(name), maxDetail)])}
		}
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// tokenBytes are the bytes of tokens (RFC 9110, section 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[b] = true
	}
	return set
}()
