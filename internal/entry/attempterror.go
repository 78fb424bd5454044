package entry

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// attemptError returns the last attempt's error with its result code.
func attemptError(ctx context.Context, r *Request, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, err)
	}
	var coded *resultcode.Error
	var status *upstream.StatusError
	switch {
	case errors.As(err, &coded):
		return err
	case errors.As(err, &status):
		return statusError(status)
	case errors.Is(err, upstream.ErrMismatch):
		return resultcode.Wrap(resultcode.AnswerMismatch, err, "the upstream's answer was of another request")
	default:
		return transportError(r, err)
	}
}

func statusError(status *upstream.StatusError) error {
	e := resultcode.Wrap(resultcode.UpstreamError, status, "the upstream answered with an error")
	if status.NotRun {
		e = resultcode.Wrap(resultcode.UpstreamRefused, status, "the upstream doesn't take the request now")
	}
	e.RetryAfter = status.RetryAfter
	return e
}

func transportError(r *Request, err error) error {
	switch r.state.State() {
	case runstate.NotRun:
		return resultcode.Wrap(resultcode.UpstreamUnreachable, err, "no upstream could be reached")
	case runstate.MayHaveRun:
		return resultcode.Wrap(resultcode.OutcomeUnknown, err, "the request was sent and no answer came back")
	default:
		return resultcode.Wrap(resultcode.AnswerIncomplete, err, "the answer broke off")
	}
}

// answerFault returns what was wrong with an upstream's answer; empty if it isn't to blame for the error of an attempt.
func answerFault(err error) responsecheck.Fault {
	var status *upstream.StatusError
	switch {
	case err == nil, errors.As(err, &status), errors.Is(err, upstream.ErrNotSent), errors.Is(err, errUpstreamLeft):
		return ""
	case errors.Is(err, upstream.ErrMismatch):
		return responsecheck.OtherRequest
	case errors.Is(err, upstream.ErrTooLarge):
		return responsecheck.TooLong
	case errors.Is(err, upstream.ErrBroken), errors.Is(err, upstream.ErrIncomplete):
		return responsecheck.FaultOf(err)
	}
	return ""
}

// countsAgainstVersion reports whether the error of an attempt counts as a failure of
// the model version that ran. Failed connections, an upstream's refusal to start the
// request, the caller's cancellation and an expired deadline don't count.
func countsAgainstVersion(ctx context.Context, err error) bool {
	var status *upstream.StatusError
	switch {
	case err == nil, ctx.Err() != nil, errors.Is(err, upstream.ErrNotSent), errors.Is(err, errNotTaken):
		return false
	case errors.As(err, &status):
		return !isRefusal(status)
	default:
		return true
	}
}

// isRefusal reports whether an upstream's status means that it accepts no requests now. Such an answer is no
// evidence against the version or the request. It doesn't show that the request didn't run unless NotRun is set.
func isRefusal(status *upstream.StatusError) bool {
	return status.Leaving || status.NotRun || status.RetryAfter > 0
}

// statesNotRun reports whether the error of an attempt is the upstream's statement that it didn't run the request.
func statesNotRun(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status) && status.NotRun
}
