package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCancelDelay is the time within which the upstream's request has to be canceled after the
// caller disconnected.
const maxCancelDelay = 500 * time.Millisecond

// When the caller disconnects, at any stage of its request, the request to the upstream must be
// canceled at once.
func TestCallerDisconnectsAtAnyStage(t *testing.T) {
	hang := func(working, ended chan struct{}, req *http.Request) {
		close(working)
		<-req.Context().Done()
		close(ended)
	}
	tests := []struct {
		desc   string
		route  string
		header []string
		// handle is the handler of both upstreams for the nth attempt. It hangs at the stage at
		// which the caller disconnects.
		handle func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request)
	}{
		{"before the head", "/stream/x", nil, func(_ int, working, ended chan struct{}, _ http.ResponseWriter, req *http.Request) {
			hang(working, ended, req)
		}},
		{"at the cheap model", "/models/x", []string{"T-Model", "*"}, func(_ int, working, ended chan struct{}, _ http.ResponseWriter, req *http.Request) {
			hang(working, ended, req)
		}},
		{"during the better model's prefill", "/models/x", []string{"T-Model", "*"}, func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request) {
			if n == 1 {
				w.Header().Set("T-Confidence", "10")
				streamEvents(1, 2, false)(w, req)
				return
			}
			hang(working, ended, req)
		}},
		{"between two events", "/stream/x", nil, func(_ int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request) {
			w.Header().Set("T-Id", req.Header.Get("T-Id"))
			w.Header().Set("T-Stamp", "stamp")
			_, _ = w.Write([]byte(eventText(1)))
			w.(http.Flusher).Flush()
			hang(working, ended, req)
		}},
		{"on the second attempt", "/many/x", nil, func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request) {
			if n == 1 {
				respondStatus(500)(w, req)
				return
			}
			hang(working, ended, req)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			working, ended := make(chan struct{}), make(chan struct{})
			arrivals := make(chan int, 1)
			arrivals <- 0
			handler := func(rw http.ResponseWriter, req *http.Request) {
				n := <-arrivals + 1
				arrivals <- n
				test.handle(n, working, ended, rw, req)
			}
			tg.startUpstream("a", handler)
			tg.startUpstream("b", handler)
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan callerAnswer)
			go func() {
				done <- tg.do(tg.newRequest("POST", test.route, "body", test.header...).WithContext(ctx))
			}()
			<-working
			leave()
			left := time.Now()
			is.True((<-done).err != nil)
			select {
			case <-ended:
				is.True(time.Since(left) < maxCancelDelay)
			case <-time.After(5 * time.Second):
				t.Fatal("the upstream's request wasn't canceled")
			}
			n := <-arrivals
			time.Sleep(50 * time.Millisecond)
			is.True(n <= 2) // no further attempt was made after the caller had disconnected
		})
	}
}

// Requests that are first sent to an upstream that accepts connections but never responds are
// served by another upstream before the route's timeout.
func TestRequestsToUnresponsiveUpstreamAreServedByAnother(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	release := make(chan struct{})
	defer close(release)
	silent := tg.startUpstreamOf(Upstream{ID: "silent", Zone: "z1", Version: "v1"}, func(http.ResponseWriter, *http.Request) { <-release })
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, respondOK("b"))
	for range timeoutsToEject + 3 {
		got := tg.do(tg.newRequest("GET", "/many/x", ""))
		is.Equal(got.body, "b")
	}
	is.Equal(silent.count(), timeoutsToEject) // after these it is ejected
}

// Prompts with the same shared prefix are sent to the engine that has it cached, in any zone.
func TestPromptsGoToTheEngineThatCachesThem(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].PrefixAffinity = true
	}
	tg := newTestGateway(t, doc)
	logs := []*requestLog{
		tg.startUpstreamOf(Upstream{ID: "a", Zone: "z1", Version: "v1"}, streamEvents(1, 2, false)),
		tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false)),
		tg.startUpstreamOf(Upstream{ID: "c", Zone: "z3", Version: "v1"}, streamEvents(1, 2, false)),
	}
	for range 20 {
		got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Tokens", "9000,20", "T-Parts", "shared:8500,own:500"))
		is.NoErr(got.err)
	}
	most := 0
	for _, log := range logs {
		most = max(most, log.count())
	}
	is.Equal(most, 20)
}
