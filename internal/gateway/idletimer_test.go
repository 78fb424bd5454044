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
)

// eventsThenSilence streams events and then sends nothing more.
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

// A stream whose upstream stops sending, midway or before its first event, is resumed at another
// upstream. Such streams used to hang until the caller's deadline.
func TestIdleStreamIsResumedAtAnotherUpstream(t *testing.T) {
	for name, sent := range map[string]int{"midway": 2, "before the first event": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Routes[2].MaxPause = 300 * time.Millisecond
			w := newTestGateway(t, doc)
			release := make(chan struct{})
			defer close(release)
			silent := w.startUpstream("silent", eventsThenSilence(1, sent, release))
			w.startUpstreamOf(Upstream{ID: "sound", Zone: "z2", Version: "v1"}, streamEvents(sent+1, 5, false))
			began := time.Now()
			got := w.do(w.newRequest("POST", "/stream/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventTexts(1, 5))
			is.Equal(silent.count(), 1)
			is.True(time.Since(began) < 600*time.Millisecond)
		})
	}
}

// A stream that may not be resumed is waited for.
func TestIdleStreamThatMayNotBeResumed(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[4].MaxPause = 100 * time.Millisecond
	w := newTestGateway(t, doc)
	release := make(chan struct{})
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	w.startUpstream("slow", eventsThenSilence(1, 2, release))
	other := w.startUpstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false))
	got := w.do(w.newRequest("POST", "/fixed/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(other.count(), 0)
}

// An attempt that mayGiveUp keeps at first is ended as soon as it is permitted.
func TestIdleTimerAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		var may atomic.Bool
		s := newIdleTimer(may.Load, cancel)
		began := time.Now()
		s.start(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { may.Store(true) })
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), errResponseTimeout))
		is.True(s.expired())
		is.Equal(time.Since(began), 3*time.Second)
	})
}

// Neither data within the limit nor the time between two waits ends the attempt.
func TestIdleTimerDoesNotExpireWhileStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		s := newIdleTimer(func() bool { return true }, cancel)
		for range 5 {
			s.start(time.Second)
			time.Sleep(900 * time.Millisecond)
			s.stop()
			time.Sleep(2 * time.Second) // the caller reads slowly
		}
		is.NoErr(ctx.Err())
		is.True(!s.expired())
	})
}
