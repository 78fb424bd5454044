package admission

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnknownClass means that a ticket's class isn't configured.
var ErrUnknownClass = errors.New("admission: unknown class")

// UnmeetableError means that a request was refused because its deadline can't
// be met. The request did not run.
type UnmeetableError struct {
	// RetryAfter is the time after which the same request is expected to meet a
	// deadline equally far ahead; zero means that it never can.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnmeetableError) Error() string {
	return fmt.Sprintf("admission: deadline can't be met, retry after %v", e.RetryAfter)
}

// FullError means that a request was refused because the queue is full. The
// request did not run.
type FullError struct {
	// RetryAfter is the time in which the current queue is expected to drain.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("admission: queue full, retry after %v", e.RetryAfter)
}
