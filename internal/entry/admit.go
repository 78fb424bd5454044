package entry

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// admit waits until the admission queue of the request's pool admits the request. It
// immediately refuses a request that can't be answered before its deadline.
type admit struct {
	queues *queues
}

// Serve implements Filter.
func (f *admit) Serve(ctx context.Context, r *Request, next Next) error {
	grant, err := f.queues.getOrCreateQueue(r.poolName()).Admit(ctx, newTicket(r))
	if err != nil {
		return admissionError(ctx, err)
	}
	defer grant.Done()
	return next(ctx, r)
}

func newTicket(r *Request) admission.Ticket {
	return admission.Ticket{
		Account:  r.Account.Name,
		Weight:   r.Account.Weight,
		Class:    r.Class.Name,
		Priority: r.Priority,
		Deadline: r.Deadline,
	}
}

func admissionError(ctx context.Context, err error) error {
	var unmeetable *admission.UnmeetableError
	if errors.As(err, &unmeetable) {
		e := resultcode.Wrap(resultcode.DeadlineUnmeetable, err, "the request can't be answered within its deadline now")
		e.RetryAfter = unmeetable.RetryAfter
		return e
	}
	var full *admission.FullError
	if errors.As(err, &full) {
		e := resultcode.Wrap(resultcode.QueueFull, err, "the queue is full")
		e.RetryAfter = full.RetryAfter
		return e
	}
	return contextError(ctx, err)
}

// contextError wraps err with a result code: that of an expired deadline, of a planned
// stop or of a disconnected caller if ctx has ended, and that of an internal error
// otherwise.
func contextError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultcode.Wrap(resultcode.DeadlineExpired, err, "the deadline passed")
	case plannedstop.HasEnded(ctx):
		return resultcode.Wrap(resultcode.HostStopping, err, "the planned stop's time was over")
	case ctx.Err() != nil:
		return resultcode.Wrap(resultcode.CallerGone, err, "the caller left")
	default:
		return resultcode.Wrap(resultcode.Internal, err, "internal error")
	}
}
