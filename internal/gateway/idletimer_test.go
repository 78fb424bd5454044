package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// eventsThenSilence returns a handler that streams the events from..to and then sends nothing until
// release is closed or the request is canceled.
func eventsThenSilence(from, to int, release chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Stamp", "stamp")
		for i := from; i <= to; i++ {
			_, _ = io.WriteString(w, eventText(i))
		}
		_ = http.NewResponseController(w).Flush()
		noResponseUntil(release)(w, req)
	}
}

// A stream whose upstream stops sending, midway or before the first event, must be resumed at
// another upstream. In an earlier version such streams hung until the caller's deadline.
func TestIdleStreamIsResumedAtAnotherUpstream(t *testing.T) {
	for name, sent := range map[string]int{"midway": 2, "before the first event": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Routes[2].MaxPause = 300 * time.Millisecond
			tg := newTestGateway(t, doc)
			release := make(chan struct{})
			defer close(release)
			silent := tg.startUpstream("silent", eventsThenSilence(1, sent, release))
			tg.startUpstreamOf(Upstream{ID: "sound", Zone: "z2", Version: "v1"}, streamEvents(sent+1, 5, false))
			began := time.Now()
			got := tg.do(tg.newRequest("POST", "/stream/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventTexts(1, 5))
			is.Equal(silent.count(), 1)
			is.True(time.Since(began) < 600*time.Millisecond)
		})
	}
}

// A stream that may not be resumed isn't given up however long its upstream pauses.
func TestIdleStreamThatMayNotBeResumed(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[4].MaxPause = 100 * time.Millisecond
	tg := newTestGateway(t, doc)
	release := make(chan struct{})
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	tg.startUpstream("slow", eventsThenSilence(1, 2, release))
	other := tg.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false))
	got := tg.do(tg.newRequest("POST", "/fixed/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(other.count(), 0)
}

// If there is no successor at the limit, reserve is called again after each further limit, and the attempt ends when there
// is one.
func TestIdleTimerReservesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		var may atomic.Bool
		timer := newIdleTimer(func() *successor {
			if !may.Load() {
				return nil
			}
			return successorOf(cancel)
		})
		began := time.Now()
		timer.start(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { may.Store(true) })
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), errResponseTimeout))
		is.True(timer.expired())
		is.Equal(time.Since(began), 3*time.Second)
	})
}

// The attempt isn't ended if data arrives within the limit, however long the timer is stopped
// between two waits for data.
func TestIdleTimerDoesNotExpireWhileStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		timer := newIdleTimer(func() *successor { return successorOf(cancel) })
		for range 5 {
			timer.start(time.Second)
			time.Sleep(900 * time.Millisecond)
			timer.stop()
			time.Sleep(2 * time.Second) // the caller reads slowly
		}
		is.NoErr(ctx.Err())
		is.True(!timer.expired())
	})
}

// successorOf returns the successor of a run that cancel ends.
func successorOf(cancel context.CancelCauseFunc) *successor {
	g := New(Settings{}, zerolog.Nop())
	return &successor{run: &attempt{gateway: g, request: &Request{}, cancel: cancel}}
}

// A timer that runs out while its data arrives must not end the next wait, which has just begun. Streams whose first event
// arrived at the limit were given up a few milliseconds after it.
func TestIdleTimerEndsTheNextWait(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	var timer *idleTimer
	arrived, decided := make(chan struct{}), make(chan struct{})
	timer = newIdleTimer(func() *successor {
		defer close(decided)
		go func() { // the data arrives while the decision is made
			timer.stop()
			timer.start(time.Hour)
			close(arrived)
		}()
		time.Sleep(20 * time.Millisecond)
		return successorOf(cancel)
	})
	timer.start(time.Millisecond)
	<-decided
	<-arrived
	is.NoErr(ctx.Err())
	is.True(!timer.expired())
	timer.stop()
}

// On a busy host the function that a timer started may run only after the next wait has begun.
func TestIdleTimerThatFiredEarlierEndsTheNextWait(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	timer := newIdleTimer(func() *successor { return successorOf(cancel) })
	timer.start(time.Hour)
	timer.stop()
	timer.start(time.Hour)
	timer.expire()
	is.NoErr(ctx.Err())
	is.True(!timer.expired())
	timer.stop()
}
