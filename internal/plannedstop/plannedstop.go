// Package plannedstop ends the requests of a host that stops, so that their callers are told what is known of them. Both
// front doors use it. Package admission decides which requests are still sent to upstreams.
package plannedstop

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

// ErrEnded is the cause with which the contexts of requests end at the end of the stop.
var ErrEnded = errors.New("the planned stop's time was over")

// AnswerMargin is the time in which the requests that are ended at the end of the stop are answered.
const AnswerMargin = 200 * time.Millisecond

// Stop is a planned stop that may not have begun. It is safe for concurrent use.
type Stop struct {
	begun atomic.Pointer[admission.Stop]
	ended context.Context
	end   context.CancelFunc
	// requestTimes holds a *requestTime for each kind of request.
	requestTimes sync.Map
}

// New returns a stop that hasn't begun.
func New() *Stop {
	s := new(Stop)
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop, which ends the requests in progress at the given time.
func (s *Stop) Begin(endsAt time.Time) { s.begun.Store(&admission.Stop{EndsAt: endsAt}) }

// EndsAt returns when the requests in progress are ended; false if the stop hasn't begun.
func (s *Stop) EndsAt() (time.Time, bool) {
	stop := s.begun.Load()
	if stop == nil {
		return time.Time{}, false
	}
	return stop.EndsAt, true
}

// TimeLeft returns the time that a request with the deadline has left: until its deadline or the end of the stop, whichever is earlier.
func (s *Stop) TimeLeft(deadline, now time.Time) time.Duration {
	if endsAt, stopping := s.EndsAt(); stopping && endsAt.Before(deadline) {
		deadline = endsAt
	}
	return deadline.Sub(now)
}

// UsualTime returns the time in which nearly all requests of the kind end; 0 if it isn't known.
func (s *Stop) UsualTime(kind string) time.Duration { return s.requestTime(kind).usual() }

// Admits reports whether a request of a kind may be sent to an upstream: the stop hasn't begun, or the request is expected
// to end before the stop does.
func (s *Stop) Admits(kind string, deadline, now time.Time) bool {
	stop := s.begun.Load()
	return stop == nil || stop.Admits(admission.LateRequest{Deadline: deadline, UsualTime: s.requestTime(kind).usual()}, now)
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

// EndRequests ends the requests in progress on the server: those whose bodies aren't complete by endBodies, and the
// others by their contexts. It closes the connections of those that aren't answered within AnswerMargin.
func (s *Stop) EndRequests(server *http.Server, endBodies func()) error {
	return s.EndRequestsWithin(AnswerMargin, server, endBodies)
}

// EndRequestsWithin is like EndRequests with another time than AnswerMargin, for hosts that write records of a request
// before they answer it.
func (s *Stop) EndRequestsWithin(margin time.Duration, server *http.Server, endBodies func()) error {
	endBodies()
	s.end()
	ctx, cancel := context.WithTimeout(context.Background(), margin)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}
