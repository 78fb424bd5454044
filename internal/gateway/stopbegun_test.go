package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginStop begins a planned stop that ends after the given time. Only requests are concerned: the test's server goes on.
func (tg *testGateway) beginStop(timeLeft time.Duration) {
	tg.gateway.plannedStop.Begin(time.Now().Add(timeLeft))
	tg.gateway.stopping.Store(true)
}

// Streams whose run ended in a planned stop were cut off although another upstream was free, since the stop refused them
// a second attempt: their route's usual time is that of a whole request. A request that has begun is either passed on whole or
// ended by its upstreams, never by a refusal. In the cases "dropped for its confidence" the gateway itself ended a good run.
func TestRequestThatBeganIsRefusedInAPlannedStop(t *testing.T) {
	const pause = 200 * time.Millisecond
	tests := []struct {
		desc, path string
		// first runs the request at the first upstream. It calls stop when it has begun.
		first func(w http.ResponseWriter, req *http.Request, stop func())
		// whole is the answer if the second upstream ends the request, and wantSecond the number of requests there.
		whole      string
		wantSecond int
	}{
		{"cut by the upstream after two events", "/stream/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			streamEvents(1, 2, false)(w, req)
			stop()
			panic(http.ErrAbortHandler)
		}, eventTexts(1, 4), 1},
		{"silent after two events", "/stream/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			streamEvents(1, 2, false)(w, req)
			stop()
			<-req.Context().Done()
		}, eventTexts(1, 4), 1},
		{"events out of order", "/stream/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			streamEvents(1, 2, false)(w, req)
			stop()
			streamEvents(9, 9, false)(w, req)
		}, eventTexts(1, 4), 1},
		{"head only, then reset", "/stream/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			streamEvents(1, 0, false)(w, req)
			_ = http.NewResponseController(w).Flush()
			stop()
			panic(http.ErrAbortHandler)
		}, eventTexts(1, 4), 1},
		{"silent before the head", "/stream/x", func(_ http.ResponseWriter, req *http.Request, stop func()) {
			stop()
			<-req.Context().Done()
		}, eventTexts(1, 4), 1},
		{"call that is silent", "/many/x", func(_ http.ResponseWriter, req *http.Request, stop func()) {
			stop()
			<-req.Context().Done()
		}, "whole", 1},
		{"call that is reset", "/many/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			stop()
			resetConnection(w, req)
		}, "whole", 1},
		{"dropped for its confidence", "/models/x", func(w http.ResponseWriter, req *http.Request, stop func()) {
			stop()
			streamEvents(1, 4, false, "T-Confidence", "8")(w, req)
		}, eventTexts(1, 4), 0},
	}
	for _, test := range tests {
		for _, usual := range []time.Duration{100 * time.Millisecond, 0, 30 * time.Second} {
			for _, left := range []time.Duration{1500 * time.Millisecond, 5 * time.Second} {
				t.Run(fmt.Sprintf("%s/usually %s/%s left", test.desc, usual, left), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					doc := stopDocument()
					for i := range doc.Routes {
						doc.Routes[i].MaxPause, doc.Routes[i].Target = pause, 400*time.Millisecond
					}
					tg := newTestGateway(t, doc)
					for range 20 {
						if usual > 0 {
							tg.gateway.plannedStop.ObserveRequest("svc"+"/"+test.path[1:len(test.path)-2], usual)
						}
					}
					first := tg.startUpstream("first", func(w http.ResponseWriter, req *http.Request) {
						test.first(w, req, func() { time.Sleep(pause / 4); tg.beginStop(left) })
					})
					second := tg.startUpstreamOf(Upstream{ID: "second", Zone: "z2", Version: "v1"}, func(w http.ResponseWriter, req *http.Request) {
						if test.whole == "whole" {
							respondOK("whole")(w, req)
							return
						}
						resumeStream(4)(w, req)
					})
					got := tg.do(tg.newRequest("POST", test.path, "body", "T-Deadline", "9000", "T-Model", "*", "T-Tokens", "100,10"))
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, test.whole)
					is.Equal(first.count(), 1)
					if test.wantSecond > 0 || usual != 100*time.Millisecond {
						is.Equal(second.count(), test.wantSecond) // a confident answer is still sought where there is time for it
					}
				})
			}
		}
	}
}

// resumeStream returns a handler that streams the events up to the last one, after the one that the request names.
func resumeStream(last int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		from := 1
		if n, ok := eventNumber(req.Header.Get("T-Last-Event")); ok {
			from = int(n) + 1
		}
		streamEvents(from, last, false)(w, req)
	}
}

// A request that no upstream has run is still refused in a stop that leaves it too little time, with the time to come back.
func TestRequestThatNothingRanIsRefusedInAPlannedStop(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, stopDocument())
	var runs atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		tg.startUpstream(id, func(w http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			tg.beginStop(1500 * time.Millisecond)
			respondNotRun(w, req)
		})
	}
	got := tg.do(tg.newRequest("POST", "/once/x", "body", "T-Deadline", "9000"))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(runs.Load(), int64(1))
}
