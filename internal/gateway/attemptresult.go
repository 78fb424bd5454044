package gateway

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
)

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeDone: the upstream answered with a success status and the whole answer was received. A
	// stream was also passed on to the caller.
	outcomeDone outcome = iota
	// outcomeUnsent: no byte of the request was sent.
	outcomeUnsent
	// outcomeRefused: the upstream responded that it didn't run the request.
	outcomeRefused
	// outcomeUnknown: the request was sent and no valid answer was received.
	outcomeUnknown
	// outcomeFailed: the upstream ran the request and answered with a status other than success.
	outcomeFailed
	// outcomeBroken: the answer began and was cut off.
	outcomeBroken
	// outcomeAbandoned: the gateway ended the attempt because the caller disconnected, the deadline
	// passed, or the confidence of the answer was too low.
	outcomeAbandoned
	// outcomeSilent: the request was sent and no response arrived within the timeout.
	outcomeSilent
	// outcomeWithheld: no byte of the request was sent, because the upstream stated after the choice
	// that it is leaving or accepts no requests.
	outcomeWithheld
)

var outcomeNames = [...]string{"done", "unsent", "refused", "unknown", "failed", "broken", "abandoned", "silent", "withheld"}

// String returns the outcome's name in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome outcome
	// status, confidence and load are from the answer's head. status is 0 if no head was received;
	// confidence is -1 if the answer states none.
	status     int
	confidence int
	load       string
	// limitHeaders holds the values of the rate-limit headers in the answer's head. It is empty for
	// an upstream without a limit.
	limitHeaders []string
	// firstByte is the time from the start of the attempt to the answer's head or, for a stream, to
	// its first event.
	firstByte time.Duration
	err       error
	// neverSent is set if an abandoned attempt sent no byte of the request.
	neverSent bool
	// misdirected is set if another upstream answered at the address.
	misdirected bool
	// buffered is a complete answer that wasn't passed on yet.
	buffered *bufferedAnswer
}

// notReached reports whether the attempt didn't reach the chosen upstream: no byte of the request
// was sent to its address, or another upstream listens there.
func (r *attemptResult) notReached() bool {
	return r.outcome == outcomeUnsent || r.outcome == outcomeWithheld || r.neverSent || r.misdirected
}

// abandonedByCaller reports whether the attempt ended because the caller left or the deadline passed after
// the request was sent.
func (r *attemptResult) abandonedByCaller() bool {
	return r.outcome == outcomeAbandoned && !r.neverSent && !errors.Is(r.err, errLowConfidence) && !errors.Is(r.err, errStreamMoved)
}

// endReason returns why the gateway ended a run that might have succeeded; empty if it didn't.
func (r *attemptResult) endReason() failover.Reason {
	switch {
	case errors.Is(r.err, errResponseTimeout):
		return failover.Silence
	case errors.Is(r.err, errStreamMoved):
		return failover.Move
	case errors.Is(r.err, errLowConfidence):
		return failover.Confidence
	}
	return ""
}

// isOverlong reports whether the gateway gave up reading an answer because it was too long.
func (r *attemptResult) isOverlong() bool {
	return errors.Is(r.err, errAnswerTooLong) || errors.Is(r.err, errAnswerMemory) || errors.Is(r.err, errNoEvents)
}

// answerFault returns what was wrong with an answer that wasn't passed on whole; empty if the upstream isn't to blame.
func (r *attemptResult) answerFault() responsecheck.Fault {
	if r.outcome != outcomeUnknown && r.outcome != outcomeBroken || isRelayFailure(r.err) {
		return ""
	}
	switch {
	case errors.Is(r.err, errRequestMismatch):
		return responsecheck.OtherRequest
	case r.isOverlong():
		return responsecheck.TooLong
	case errors.Is(r.err, errNoStamp), errors.Is(r.err, errContentEncoding), errors.Is(r.err, errEventOrder):
		return responsecheck.Protocol
	}
	return responsecheck.FaultOf(r.err)
}

// isBadAnswer reports whether the upstream answered with a failure or with an invalid answer. Unlike an answer that was
// cut off, that concerns this request alone.
func (r *attemptResult) isBadAnswer() bool {
	return r.outcome == outcomeFailed || responsecheck.IsInvalid(r.err)
}

// guardOutcome returns the outcome in the terms of package guard.
func (r *attemptResult) guardOutcome() guard.Outcome {
	if r.neverSent {
		return guard.NotRun
	}
	switch r.outcome {
	case outcomeDone, outcomeFailed:
		return guard.Answered
	case outcomeUnknown, outcomeBroken:
		if isRelayFailure(r.err) {
			return guard.Abandoned // the run may go on
		}
		if r.isOverlong() || responsecheck.IsInvalid(r.err) {
			return guard.Answered // the gateway closed the connection, not the upstream
		}
		return guard.Interrupted
	case outcomeAbandoned, outcomeSilent:
		return guard.Abandoned
	}
	if errors.Is(r.err, syscall.ECONNREFUSED) {
		return guard.Unreachable
	}
	return guard.NotRun
}

// bufferedAnswer is a complete answer that is held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}
