package claim

import (
	"errors"
	"fmt"
)

var (
	// ErrKeyReused means that the key was already used with a different request.
	ErrKeyReused = errors.New("claim: request key already used for a different request")
	// ErrUnavailable means that the claim couldn't be recorded and the request
	// must not be sent. The returned error also wraps the table's error.
	ErrUnavailable = errors.New("claim: not recorded")
	// ErrPending means that the outcome isn't in the table yet. It is kept in
	// memory, so that duplicates on this host get it, and Run retries the write.
	ErrPending = errors.New("claim: outcome not recorded yet")
	// ErrOutcomeSet means that the outcome of the claim was already set.
	ErrOutcomeSet = errors.New("claim: outcome already set")
	// ErrRowExpired means that the row of the claim expired before the outcome
	// was written.
	ErrRowExpired = errors.New("claim: row expired")
)

// DoneError means that a request with this key has finished. A duplicate gets
// the complete Result.
type DoneError struct {
	Result Result
}

// Error implements error.
func (e *DoneError) Error() string {
	return fmt.Sprintf("claim: finished as request %s", e.Result.RequestID)
}

// InFlightError means that the key is claimed and its owner may still be running
// the request, or that the outcome can't be read at present. The duplicate isn't
// sent and may be retried later.
type InFlightError struct {
	// Host and RequestID identify the owner. They are empty if the row couldn't
	// be read.
	Host      string
	RequestID string
}

// Error implements error.
func (e *InFlightError) Error() string {
	return fmt.Sprintf("claim: in flight on host %q as request %q", e.Host, e.RequestID)
}

// MayHaveRunError means that an earlier request with this key may have run and
// that its result isn't available. The request is never run again.
type MayHaveRunError struct {
	Host      string
	RequestID string
	// ResultGone is true if the request has or may have finished, and its result
	// isn't stored, for example because it expired or was too large.
	ResultGone bool
}

// Error implements error.
func (e *MayHaveRunError) Error() string {
	return fmt.Sprintf("claim: may have run on host %q as request %q", e.Host, e.RequestID)
}
