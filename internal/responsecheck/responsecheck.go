// Package responsecheck decides whether an HTTP/1.1 response is valid and complete (RFC 9110, RFC 9112). It does no
// I/O. The transports and connections of package sealedconn apply it to all responses that the project reads.
package responsecheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
)

// Fault is what is wrong with a response, as in logs and metrics.
type Fault string

const (
	// Version is that the response isn't of HTTP/1.
	Version Fault = "version"
	// Status is that the status isn't one of a final response.
	Status Fault = "status"
	// Malformed is that the HTTP library can't read the response.
	Malformed Fault = "malformed"
	// FieldName is that the name of a header or trailer field isn't a token.
	FieldName Fault = "field-name"
	// Reset is that the connection was reset before the end of the response.
	Reset Fault = "reset"
	// CutOff is that the connection was closed in order before the end of the response.
	CutOff Fault = "cut-off"
	// RequestUnread is that a success ended with its connection before the request was written whole.
	RequestUnread Fault = "request-unread"

	// The readers of responses find these faults: the response belongs to another request, is longer than it may be, or
	// lacks something that the protocol of its sender requires.
	OtherRequest Fault = "other-request"
	TooLong      Fault = "too-long"
	Protocol     Fault = "protocol"
)

// Error is the error for a response that isn't valid or not complete.
type Error struct {
	Fault Fault
	// Detail has the values at hand, Err the cause; both may be empty.
	Detail string
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	text := "response: " + string(e.Fault)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

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

// IsInvalid reports whether err means that a peer sent a response that isn't valid. Unlike a response that was cut off,
// that doesn't suggest that the peer terminated.
func IsInvalid(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Fault != Reset && e.Fault != RequestUnread
}

// FaultOf returns what is wrong with a response for which the transport returned err; Malformed if it isn't in the form of
// HTTP/1.1. It returns an empty text if err doesn't tell of a response, for example because the caller gave up.
func FaultOf(err error) Fault {
	var e *Error
	var netErr net.Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Fault
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return CutOff
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed), errors.As(err, &netErr):
		return ""
	}
	return Malformed
}

// EndOfData returns the error of a read at which the data of a connection ended, given the error of the last write to
// it, or nil. A response may end with its connection, which makes it complete only if the peer closed the connection in
// order. The system reports a reset once. If a write received it, reads return the end of the data as after an orderly
// close.
func EndOfData(writeErr error) error {
	if writeErr == nil {
		return io.EOF
	}
	return &Error{Fault: Reset, Err: writeErr}
}

// End is the end of a response's body as the transport sees it.
type End struct {
	Status int
	// EndsWithConnection is set if the body has neither a length nor chunks, and ended with its connection.
	EndsWithConnection bool
	// RequestWritten is set if the request was written whole.
	RequestWritten bool
}

// NeedsWholeRequest reports whether the response is complete only if its request was written whole. A server may refuse
// a request that it hasn't read, and that refusal may end with its connection. A success that ends so, while the request
// is still being written, can't be told from that of a server that terminated: if the server had read all that it
// received by then, the system closed the connection in order.
func (e End) NeedsWholeRequest() bool {
	return e.EndsWithConnection && e.Status < http.StatusMultipleChoices
}

// Check returns io.EOF if the response is complete, and an error otherwise.
func (e End) Check() error {
	if e.NeedsWholeRequest() && !e.RequestWritten {
		return &Error{Fault: RequestUnread}
	}
	return io.EOF
}
