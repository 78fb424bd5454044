package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter bounds the delay that a server over its rate limit asks for, so
// that a bad value can't stop a caller for longer.
const MaxRetryAfter = time.Minute

// Causes of failed calls.
var (
	errTooLarge        = errors.New("body exceeds the size limit")
	errInvalidUTF8     = errors.New("key or name isn't valid UTF-8")
	errOtherCall       = errors.New("response belongs to another call")
	errUnframed        = errors.New("response has neither a length nor chunked encoding")
	errInvalidResponse = errors.New("invalid response")
	errServerStatus    = errors.New("unsuccessful response")
)

// Error is the error of a failed call. It wraps the class of the failure and its
// cause.
type Error struct {
	// Op is the name of the call, such as "commit".
	Op string
	// Class is one of the errors of package storage.
	Class error
	// Cause is the underlying error; it may wrap the context's error, a network
	// error, or a *RateLimitedError.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v: %v", e.Op, e.Class, e.Cause)
}

// Unwrap returns the class and the cause.
func (e *Error) Unwrap() []error { return []error{e.Class, e.Cause} }

// RateLimitedError is the cause of a failure if the server had reached its rate
// limit. The Error that wraps it holds the class of the failure.
type RateLimitedError struct {
	// RetryAfter is the delay that the server asked for, from zero (none) to
	// MaxRetryAfter.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited, retry after %s", e.RetryAfter)
}

// parseRetryAfter parses a Retry-After header in whole seconds. It returns zero
// for a date or any other text.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, MaxRetryAfter)
}
