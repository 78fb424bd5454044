package responsecheck

import (
	"errors"
	"io"
	"slices"
	"strings"
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
	// RequestIncomplete is that a success ended with its connection before the request was written whole.
	RequestIncomplete Fault = "request-incomplete"

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

// IsInvalid reports whether err means that a peer sent a response that isn't valid. Unlike a response that was cut off,
// that doesn't suggest that the peer terminated.
func IsInvalid(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Fault != Reset && e.Fault != RequestIncomplete
}

// FaultOf returns what is wrong with a response for which the transport returned err. It returns an empty text if err
// doesn't tell of a response, for example because the caller gave up.
func FaultOf(err error) Fault {
	var e *Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Fault
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), closedIdleText):
		return CutOff
	case slices.ContainsFunc(malformedTexts, func(text string) bool { return strings.Contains(err.Error(), text) }):
		return Malformed
	}
	return ""
}

// The HTTP library has no types for these errors. closedIdleText is in that of a request that was sent on a connection
// which the peer closed, malformedTexts are in those of responses that the library can't read.
const closedIdleText = "server closed idle connection"

var malformedTexts = []string{"malformed", "chunk", "headers exceeded", "Content-Length", "transfer encoding"}
