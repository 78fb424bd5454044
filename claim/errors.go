package claim

import (
	"errors"
	"fmt"
)

var (
	// ErrReused means that the key was used before with another request.
	ErrReused = errors.New("claim: request key used for another request")
	// ErrUnavailable means that the claim couldn't be recorded. Nothing may be
	// sent, and this call sent nothing. It wraps the platform's error.
	ErrUnavailable = errors.New("claim: not recorded")
	// ErrPending means that an outcome couldn't be recorded yet. It is kept in
	// memory, answers repeats on this host, and is retried by Run.
	ErrPending = errors.New("claim: outcome not recorded yet")
	// ErrSettled means that the claim's outcome was given before.
	ErrSettled = errors.New("claim: outcome already given")
	// ErrLost means that the claim's row expired before the outcome came.
	ErrLost = errors.New("claim: row expired")
)

// DoneError reports that a request with this key has finished. A repeat is
// answered with Result, whole.
type DoneError struct {
	Result Result
}

// Error implements error.
func (e *DoneError) Error() string {
	return fmt.Sprintf("claim: finished as request %s", e.Result.RequestID)
}

// InFlightError reports that the key is claimed and that its owner may still
// be running the request, or that the owner's outcome can't be read just now.
// The repeat isn't sent and may come back later.
type InFlightError struct {
	// Host and RequestID are the owner's; empty if the row couldn't be read.
	Host      string
	RequestID string
}

// Error implements error.
func (e *InFlightError) Error() string {
	return fmt.Sprintf("claim: in flight on host %q as request %q", e.Host, e.RequestID)
}

// MayHaveRunError reports that an earlier request with this key may have run
// and that its answer isn't to be had. It is never run again.
type MayHaveRunError struct {
	Host      string
	RequestID string
	// AnswerGone says that the request did finish, or could have, and that the
	// answer is no longer or was never kept: it expired or was too large.
	AnswerGone bool
}

// Error implements error.
func (e *MayHaveRunError) Error() string {
	return fmt.Sprintf("claim: may have run on host %q as request %q", e.Host, e.RequestID)
}
