package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/latebody"
	"github.com/quetzalweir/quetzalweir/routing"
)

// runGateway runs the gateway and returns a function that stops it and waits until it has stopped.
func (tg *testGateway) runGateway(doc routing.Document, stopTimeout time.Duration) (signal func(), ended <-chan error) {
	tg.t.Helper()
	g := tg.gateway
	for id, m := range g.fleet.shard("svc").members {
		tg.store.put("upstreams", id, m.Upstream)
	}
	tg.store.put("operator", "document", doc)
	g.settings.CallerAddress, g.settings.ReadyAddress, g.settings.StopTimeout = freePort(tg.t), freePort(tg.t), stopTimeout
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	eventually(tg.t, "the gateway listens", func() bool {
		conn, err := net.Dial("tcp", g.settings.CallerAddress)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return cancel, done
}

// stopDocument returns testDocument with more time than a stop takes.
func stopDocument() routing.Document {
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Timeout, doc.Routes[i].Target = 12*time.Second, 6*time.Second
	}
	return doc
}

// Requests that came late in a planned stop were passed on, and cut off at its end without an answer, among them such
// as may run once. Each request is answered: by its upstream if its usual time fits into what is left of the stop, and
// otherwise by a refusal that states that it didn't run, and when to return.
func TestRequestsLateInAPlannedStopAreAnswered(t *testing.T) {
	const stopTimeout = 4 * time.Second
	for _, test := range []struct {
		path string
		work time.Duration
	}{
		{"/once/x", 200 * time.Millisecond}, {"/once/x", 800 * time.Millisecond}, {"/once/x", 3 * time.Second},
		{"/many/x", 800 * time.Millisecond}, {"/stream/x", 800 * time.Millisecond}, {"/fixed/x", 800 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test.path, test.work), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tg := newTestGateway(t, stopDocument())
			var runs atomic.Int64
			sound := respondOK("whole")
			if test.path == "/stream/x" || test.path == "/fixed/x" {
				sound = slowStream(test.work/4, 4)
			}
			tg.startUpstream("u1", func(w http.ResponseWriter, req *http.Request) {
				runs.Add(1)
				if test.path == "/once/x" || test.path == "/many/x" {
					time.Sleep(test.work)
				}
				sound(w, req)
			})
			stop, ended := tg.runGateway(stopDocument(), stopTimeout)
			send := func(body io.Reader) *http.Request {
				req := tg.newRequest("POST", test.path, "", "T-Deadline", "12000")
				req.URL.Host, req.Body, req.ContentLength = tg.gateway.settings.CallerAddress, io.NopCloser(body), 4
				return req
			}
			for range 3 { // the usual time becomes known
				is.Equal(tg.do(send(strings.NewReader("body"))).status, http.StatusOK)
			}
			runs.Store(0)

			var group sync.WaitGroup
			var mu sync.Mutex
			var cut, failed, refused, complete int
			record := func(sentAt time.Duration, how string, got callerAnswer) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.err != nil:
					cut++
					t.Logf("%s at %s: %v", how, sentAt, got.err)
				case got.status == http.StatusOK:
					complete++
				case got.status == http.StatusServiceUnavailable || got.status == http.StatusRequestTimeout:
					refused++
					is.True(got.header.Get("Retry-After") != "")
				default:
					failed++
					t.Logf("%s at %s: status %d", how, sentAt, got.status)
				}
			}
			began := time.Now()
			stop()
			const step = 250 * time.Millisecond
			client := func() *http.Client { return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} }
			do := func(req *http.Request) (got callerAnswer) {
				resp, err := client().Do(req)
				if err != nil {
					return callerAnswer{err: err}
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				return callerAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
			}
			// Connections that the balancer still sends.
			for at := step; at < stopTimeout/2-step; at += step {
				req := send(strings.NewReader("body"))
				group.Go(func() {
					time.Sleep(time.Until(began.Add(at)))
					record(at, "new connection", do(req))
				})
			}
			// Requests that began before and whose bodies are complete late.
			for at := step; at < stopTimeout-killMargin+step; at += step {
				req := send(latebody.New("body", began.Add(at)))
				group.Go(func() {
					time.Sleep(step / 2)
					record(at, "late body", do(req))
				})
			}
			group.Wait()
			is.NoErr(<-ended)
			is.True(time.Since(began) < stopTimeout)
			t.Logf("%d complete, %d refused, %d failed, %d cut, %d ran", complete, refused, failed, cut, runs.Load())
			is.Equal(cut, 0)
			is.Equal(failed, 0)
			is.Equal(runs.Load(), int64(complete)) // a request that was passed on is answered, and a refused one didn't run
		})
	}
}

// A request that unexpectedly has no answer at the end of a planned stop was cut off. Its caller is told what is known:
// that it may have run, or that it didn't.
func TestRequestsInProgressAtTheEndOfAStopAreAnswered(t *testing.T) {
	for _, path := range []string{"/once/x", "/many/x", "/fixed/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tg := newTestGateway(t, stopDocument())
			var hangs atomic.Bool
			ended := make(chan struct{})
			tg.startUpstream("u1", func(w http.ResponseWriter, req *http.Request) {
				if hangs.Load() {
					select {
					case <-req.Context().Done():
					case <-ended:
					}
				}
				respondOK("id: 1\ndata: x\n\n")(w, req)
			})
			stop, stopped := tg.runGateway(stopDocument(), 2*time.Second)
			send := func(body io.Reader) callerAnswer {
				req := tg.newRequest("POST", path, "", "T-Deadline", "12000")
				req.URL.Host, req.Body, req.ContentLength = tg.gateway.settings.CallerAddress, io.NopCloser(body), 4
				return tg.do(req)
			}
			is.Equal(send(strings.NewReader("body")).status, http.StatusOK)
			hangs.Store(true)
			running := make(chan callerAnswer)
			go func() { running <- send(strings.NewReader("body")) }()
			eventually(t, "the request is passed on", func() bool { return tg.gateway.inFlight.Load() == 1 })
			stop()
			unfinished := send(latebody.New("body", time.Now().Add(5*time.Second)))
			got := <-running
			close(ended)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.header.Get("Retry-After"), "")
			is.NoErr(unfinished.err)
			is.Equal(unfinished.status, http.StatusRequestTimeout)
			is.True(unfinished.header.Get("Retry-After") != "")
			is.NoErr(<-stopped)
		})
	}
}
