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

// thenSilent streams events and then says nothing more.
func thenSilent(from, to int, release chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Stamp", "stamp")
		for i := from; i <= to; i++ {
			_, _ = io.WriteString(w, eventText(i))
		}
		_ = http.NewResponseController(w).Flush()
		hangUntil(release)(w, req)
	}
}

// A stream whose upstream falls silent midway, or before its first event, goes on at another
// one; it used to stay until its caller's time was over.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	for name, sent := range map[string]int{"midway": 2, "before the first event": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Routes[2].MaxPause = 300 * time.Millisecond
			w := newWorld(t, doc)
			release := make(chan struct{})
			defer close(release)
			silent := w.upstream("silent", thenSilent(1, sent, release))
			w.upstreamOf(Upstream{ID: "sound", Zone: "z2", Version: "v1"}, events(sent+1, 5, false))
			began := time.Now()
			got := w.do(w.request("POST", "/stream/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventTexts(1, 5))
			is.Equal(silent.count(), 1)
			is.True(time.Since(began) < 600*time.Millisecond)
		})
	}
}

// One that may not be resumed is waited for.
func TestSilentStreamThatMayNotBeResumed(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Routes[4].MaxPause = 100 * time.Millisecond
	w := newWorld(t, doc)
	release := make(chan struct{})
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	w.upstream("slow", thenSilent(1, 2, release))
	other := w.upstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, events(1, 2, false))
	got := w.do(w.request("POST", "/fixed/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(other.count(), 0)
}

// A silence that may not be ended at first is ended as soon as it may.
func TestSilenceIsLookedAtAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		var may atomic.Bool
		s := newIdleTimer(may.Load, cancel)
		began := time.Now()
		s.start(time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { may.Store(true) })
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), errSilent))
		is.True(s.expired())
		is.Equal(time.Since(began), 3*time.Second)
	})
}

// What is heard in time, and the time between two waits, ends nothing.
func TestSilenceThatIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		s := newIdleTimer(func() bool { return true }, cancel)
		for range 5 {
			s.start(time.Second)
			time.Sleep(900 * time.Millisecond)
			s.stop()
			time.Sleep(2 * time.Second) // the caller takes its time
		}
		is.NoErr(ctx.Err())
		is.True(!s.expired())
	})
}
