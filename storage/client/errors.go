package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MaxRetryAfter bounds the advice of a rate-limited server, so that a bad
// value can't silence a caller.
const MaxRetryAfter = time.Minute

// Causes of failed calls.
var (
	errTooLarge     = errors.New("body over the size limit")
	errInvalidText  = errors.New("key or name isn't valid UTF-8")
	errOtherCall    = errors.New("answer doesn't belong to this call")
	errUnframed     = errors.New("answer's end isn't marked")
	errBadAnswer    = errors.New("answer doesn't fit the call")
	errServerStatus = errors.New("server refused the call")
)

// Error is a failed call. It wraps both the class of the failure and its cause.
type Error struct {
	// Op is the call, such as "commit".
	Op string
	// Class is one of the errors of package storage.
	Class error
	// Cause says what went wrong; it may wrap the context's error, an error of
	// the network, or a *RateLimitedError.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v: %v", e.Op, e.Class, e.Cause)
}

// Unwrap returns the class and the cause.
func (e *Error) Unwrap() []error { return []error{e.Class, e.Cause} }

// RateLimitedError is the cause of a call's failure where the server was over
// its rate limit. The class of the failure stands in the Error around it.
type RateLimitedError struct {
	// RetryAfter is the server's advice, from zero (none) to MaxRetryAfter.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited, retry after %s", e.RetryAfter)
}

// parseRetryAfter reads a Retry-After header in whole seconds. A date or any
// other text counts as no advice.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, MaxRetryAfter)
}
