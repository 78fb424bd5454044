package plannedstop

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request is judged by the times of its own kind, and only once the stop has begun.
func TestKindsHaveTheirOwnTimes(t *testing.T) {
	is := is.New(t)
	s, now := New(), time.Unix(1000, 0)
	for range 20 {
		s.ObserveRequest("short", 100*time.Millisecond)
		s.ObserveRequest("long", time.Minute)
	}
	deadline := now.Add(time.Hour)
	is.True(s.Admits("long", deadline, now))
	s.Begin(now.Add(5 * time.Second))
	is.True(s.Admits("short", deadline, now))
	is.True(!s.Admits("long", deadline, now))
	is.True(!s.Admits("unknown", deadline, now))
	is.True(s.Admits("unknown", now.Add(time.Second), now))
}

// The end of the stop is told from a caller that left, for requests that begin before and after it.
func TestEndOfTheStopIsTheCauseOfTheRequestsEnd(t *testing.T) {
	is := is.New(t)
	s := New()
	caller, leave := context.WithCancel(t.Context())
	left, releaseLeft := s.RequestContext(caller)
	running, releaseRunning := s.RequestContext(t.Context())
	defer releaseLeft()
	defer releaseRunning()
	leave()
	<-left.Done()
	s.end()
	<-running.Done()
	is.True(!HasEnded(left))
	is.True(HasEnded(running))
	late, releaseLate := s.RequestContext(t.Context())
	defer releaseLate()
	<-late.Done()
	is.True(HasEnded(late))
}
