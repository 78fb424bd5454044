package gateway

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/guard"
)

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeDone: the upstream answered with success and the caller has all.
	outcomeDone outcome = iota
	// outcomeUnsent: no byte of the request went out.
	outcomeUnsent
	// outcomeRefused: the upstream said that it didn't run the request.
	outcomeRefused
	// outcomeUnknown: the request went out and no answer of its own came.
	outcomeUnknown
	// outcomeFailed: the upstream ran the request and answered with a failure.
	outcomeFailed
	// outcomeBroken: the answer began and didn't end.
	outcomeBroken
	// outcomeAbandoned: this side ended the attempt: the caller left, the time
	// was up, or another model was wanted.
	outcomeAbandoned
	// outcomeSilent: the request went out and nothing came back for longer than
	// upstreams of its kind take.
	outcomeSilent
)

var outcomeNames = [...]string{"done", "unsent", "refused", "unknown", "failed", "broken", "abandoned", "silent"}

// String is the outcome's name in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// attemptResult is what an attempt came to.
type attemptResult struct {
	outcome outcome
	// status and confidence are from the answer's head; 0 without one, and -1
	// for an answer that states no confidence.
	status     int
	confidence int
	load       string
	// limit is what the head says of the rate that the upstream takes; an upstream without
	// a limit says nothing.
	limit []string
	// firstByte is the time to the answer's head or a stream's first event.
	firstByte time.Duration
	err       error
	// misdirected says that another upstream answered at the address.
	misdirected bool
	// whole is a complete answer that wasn't passed on yet.
	whole *wholeAnswer
}

// missed says that the upstream wasn't there: nothing listens at its address, or another one.
func (r *attemptResult) missed() bool { return r.outcome == outcomeUnsent || r.misdirected }

// guardOutcome is what the result says of the upstream's run.
func (r *attemptResult) guardOutcome() guard.Outcome {
	switch r.outcome {
	case outcomeDone, outcomeFailed:
		return guard.Answered
	case outcomeUnknown, outcomeBroken:
		return guard.Broken
	case outcomeAbandoned, outcomeSilent:
		return guard.GivenUp
	}
	if errors.Is(r.err, syscall.ECONNREFUSED) {
		return guard.Unreachable
	}
	return guard.NotRun
}

// wholeAnswer is an answer with its body.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}
