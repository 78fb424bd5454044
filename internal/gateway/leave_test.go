package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leftWithin is how soon the work of a caller that left has to end.
const leftWithin = 500 * time.Millisecond

// A caller may leave at any stage; the upstream that works for it then is told at once.
func TestCallerThatLeavesAtAnyStage(t *testing.T) {
	hang := func(working, ended chan struct{}, req *http.Request) {
		close(working)
		<-req.Context().Done()
		close(ended)
	}
	tests := []struct {
		desc   string
		route  string
		header []string
		// handle answers the nth request; it hangs where the caller leaves.
		handle func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request)
	}{
		{"before the head", "/stream/x", nil, func(_ int, working, ended chan struct{}, _ http.ResponseWriter, req *http.Request) {
			hang(working, ended, req)
		}},
		{"in the cheap step", "/models/x", []string{"T-Model", "*"}, func(_ int, working, ended chan struct{}, _ http.ResponseWriter, req *http.Request) {
			hang(working, ended, req)
		}},
		{"while the better model reads", "/models/x", []string{"T-Model", "*"}, func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request) {
			if n == 1 {
				w.Header().Set("T-Confidence", "10")
				events(1, 2, false)(w, req)
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
		{"on the second try", "/many/x", nil, func(n int, working, ended chan struct{}, w http.ResponseWriter, req *http.Request) {
			if n == 1 {
				fail(500)(w, req)
				return
			}
			hang(working, ended, req)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, testDocument())
			working, ended := make(chan struct{}), make(chan struct{})
			arrivals := make(chan int, 1)
			arrivals <- 0
			handler := func(rw http.ResponseWriter, req *http.Request) {
				n := <-arrivals + 1
				arrivals <- n
				test.handle(n, working, ended, rw, req)
			}
			w.upstream("a", handler)
			w.upstream("b", handler)
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan answer)
			go func() {
				done <- w.do(w.request("POST", test.route, "body", test.header...).WithContext(ctx))
			}()
			<-working
			leave()
			left := time.Now()
			is.True((<-done).err != nil)
			select {
			case <-ended:
				is.True(time.Since(left) < leftWithin)
			case <-time.After(5 * time.Second):
				t.Fatal("the upstream still works")
			}
			n := <-arrivals
			time.Sleep(50 * time.Millisecond)
			is.True(n <= 2) // nothing was sent on after the caller had left
		})
	}
}

// An upstream whose connections went silent: the request is served by another one, and the
// silence is over well before the route's time is.
func TestSilentUpstreamIsPassedOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	release := make(chan struct{})
	defer close(release)
	silent := w.upstreamOf(Upstream{ID: "silent", Zone: "z1", Version: "v1"}, func(http.ResponseWriter, *http.Request) { <-release })
	w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, succeed("b"))
	for range silencesToEject + 3 {
		got := w.do(w.request("GET", "/many/x", ""))
		is.Equal(got.body, "b")
	}
	is.Equal(silent.count(), silencesToEject) // then it counts as unreachable
}

// Prompts with a shared part go to the engine that reads it, in whatever zone it is.
func TestPromptsStayWithTheirEngine(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].PrefixAffinity = true
	}
	w := newWorld(t, doc)
	logs := []*upstreamLog{
		w.upstreamOf(Upstream{ID: "a", Zone: "z1", Version: "v1"}, events(1, 2, false)),
		w.upstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, events(1, 2, false)),
		w.upstreamOf(Upstream{ID: "c", Zone: "z3", Version: "v1"}, events(1, 2, false)),
	}
	for range 20 {
		got := w.do(w.request("POST", "/stream/x", "body", "T-Tokens", "9000,20", "T-Parts", "shared:8500,own:500"))
		is.NoErr(got.err)
	}
	most := 0
	for _, log := range logs {
		most = max(most, log.count())
	}
	is.Equal(most, 20)
}
