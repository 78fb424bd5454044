// Package failover decides, apart from I/O, when a request passes from one run to the next: whether a run that may still be
// good may be ended in favor of another one, and whether a request may still be refused. Both front doors ask it for each
// further attempt of their requests.
package failover

import (
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// Progress is how far a request has come.
type Progress struct {
	// State is the highest run state of the request's attempts.
	State runstate.State
	// Answered is set if the caller may have received a part of the answer.
	Answered bool
	// Reserved is set if a run was ended in favor of the next attempt, which is reserved.
	Reserved bool
}

// HasBegun reports whether the caller can no longer be told that the request didn't run.
func (p Progress) HasBegun() bool { return p.State != runstate.NotRun || p.Answered }

// MayRefuse reports whether the host may refuse the request its next attempt to spare itself or its upstreams work: in a
// planned stop, in a queue, or in favor of more urgent requests. The refusal of a request that has begun would cut off its
// answer, or leave its caller without knowing whether it ran. Such a request goes on until it has no attempt, upstream or time left.
func (p Progress) MayRefuse() bool { return !p.HasBegun() && !p.Reserved }

// MinWait is the shortest time for which a request waits for an upstream, so that it doesn't try again and again where one is expected
// to accept it within microseconds.
const MinWait = 20 * time.Millisecond

// ShouldWait reports whether a request that has no answer yet and for which no upstream is available waits until one is expected to
// accept it, after the given time; 0 if none is expected. A request that hasn't begun is refused with that time instead.
func (p Progress) ShouldWait(retryAfter, timeLeft time.Duration) bool {
	return p.HasBegun() && retryAfter > 0 && retryAfter+MinAttemptTime <= timeLeft
}

// Reason is why a run that may still succeed is ended.
type Reason string

const (
	// Silence: the upstream has sent nothing for longer than usual.
	Silence Reason = "silence"
	// Move: the run is expected to end too late, and another upstream to end it in time.
	Move Reason = "move"
	// Confidence: the answer would be whole, and a better model's is preferred.
	Confidence Reason = "confidence"
)

// MinAttemptTime is the minimum time in which an attempt can succeed: a round trip and an upstream's shortest processing time.
const MinAttemptTime = 30 * time.Millisecond

// Successor describes the attempt that would follow a run. Whether an upstream and a retry are available for it
// changes from moment to moment, so that both are reserved before the run is ended.
type Successor struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// AttemptsLeft is set if the request's route permits another attempt.
	AttemptsLeft bool
	// Quarantined is set if the request is kept away from upstreams, or is about to be.
	Quarantined bool
	// TimeLeft is the time until the request's deadline or the end of a planned stop, whichever is earlier.
	TimeLeft time.Duration
	// EndsBeforeStop is set unless a planned stop is under way and will probably end the attempt.
	EndsBeforeStop bool
}

// MayEndRun reports whether a run that may still succeed may be ended for the reason if the successor is reserved.
func MayEndRun(reason Reason, s Successor) bool {
	if !runstate.Ran.MayRunAgain(s.Repeatable) || !s.AttemptsLeft || s.Quarantined || s.TimeLeft < MinAttemptTime {
		return false
	}
	// A silent run may end too late as well. A dropped answer would have been whole.
	return reason != Confidence || s.EndsBeforeStop
}
