// Package plannedstop ends the requests of a host that stops, in a way that their callers are told what is known of
// them. Package admission decides which requests are still sent to upstreams.
package plannedstop

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// ErrEnded is the cause with which the contexts of requests end at the end of the stop.
var ErrEnded = errors.New("the planned stop's time was over")

// AnswerMargin is the time in which the requests that are ended at the end of the stop are answered.
const AnswerMargin = 200 * time.Millisecond

// Stop is a planned stop that may not have begun.
type Stop struct {
	begun atomic.Pointer[admission.Stop]
	ended context.Context
	end   context.CancelFunc
}

// New returns a stop that hasn't begun.
func New() *Stop {
	s := new(Stop)
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop, which ends the requests in progress at the given time.
func (s *Stop) Begin(endsAt time.Time) { s.begun.Store(&admission.Stop{EndsAt: endsAt}) }

// End ends the contexts of the requests in progress.
func (s *Stop) End() { s.end() }

// Admits reports whether a request may be sent to an upstream: the stop hasn't begun, or the request is expected to end
// before.
func (s *Stop) Admits(r admission.LateRequest, now time.Time) bool {
	stop := s.begun.Load()
	return stop == nil || stop.Admits(r, now)
}

// RequestContext returns a context for a request that ends with ErrEnded at the end of the stop. The function that it
// returns must be called when the request has ended.
func (s *Stop) RequestContext(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.ended, func() { cancel(ErrEnded) })
	return ctx, func() { release(); cancel(nil) }
}

// HasEnded reports whether the context ended because of the stop.
func HasEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }
