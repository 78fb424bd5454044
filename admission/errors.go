package admission

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnknownClass means that a ticket names no configured class.
var ErrUnknownClass = errors.New("admission: unknown class")

// UnmeetableError refuses a request whose deadline can't be met. The request
// was not run.
type UnmeetableError struct {
	// RetryAfter is when the same request is expected to meet a deadline as
	// far ahead; zero means that it never can.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnmeetableError) Error() string {
	return fmt.Sprintf("admission: deadline can't be met, retry after %v", e.RetryAfter)
}

// FullError refuses a request because the queue is full. The request was not
// run.
type FullError struct {
	// RetryAfter is when the queue is expected to have room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("admission: queue full, retry after %v", e.RetryAfter)
}
