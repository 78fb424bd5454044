package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashDelay is the time from the start of a fatal request to the upstream's end.
const crashDelay = 80 * time.Millisecond

// startCrashingUpstream starts an upstream that ends when it gets a request with the body "fatal".
func (w *testGateway) startCrashingUpstream(id, version string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		rw.Header().Set("T-Id", req.Header.Get("T-Id"))
		if string(body) == "fatal" {
			time.Sleep(crashDelay)
			server.Close()
			panic(http.ErrAbortHandler)
		}
		respondOK("fine")(rw, req)
	})
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { server.Close() })
	w.gateway.fleet.Set(Upstream{ID: id, Service: "svc", Address: listener.Addr().String(), Zone: "z1", Version: version, Slots: 8}, 1)
}

// When one caller's request crashed three upstreams of a new version, these counted as three bad
// answers and stopped a sound roll-out. An upstream's end counts against its version only if no
// request caused it.
func TestRequestThatCrashesUpstreamsStopsNoRollout(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.gateway.guard.Run(ctx)
	for i := range 15 {
		w.startCrashingUpstream(fmt.Sprint("new-", i), "v2")
	}
	w.startCrashingUpstream("old", "v1")
	m := w.gateway.rollouts
	m.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	m.mu.Lock()
	m.active["svc"].share = 1
	m.mu.Unlock()

	var last callerAnswer
	for range 20 {
		last = w.do(w.newRequest("POST", "/many/x", "fatal"))
		if strings.Contains(last.body, "request-quarantined") {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(last.status, http.StatusInternalServerError)
	is.Equal(strings.TrimSpace(last.body), "request-quarantined")
	is.Equal(last.header.Get("Retry-After"), "") // a retry wouldn't help
	is.Equal(last.header.Get("T-Stamp"), "")     // the refusal is the gateway's

	time.Sleep(4 * time.Second) // until a cut-off answer would be counted against the version
	m.mu.Lock()
	defer m.mu.Unlock()
	is.True(!m.active["svc"].stopped)
	is.Equal(total(m.active["svc"].evidence.ownCounts()).New.Failed, 0)
}

// An answer that a live upstream cuts off soon counts against its version.
func TestAnswersThatLiveUpstreamsCutOffAreCounted(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	w.startUpstreamOf(Upstream{ID: "new", Zone: "z1", Version: "v2"}, resetConnection)
	m := w.gateway.rollouts
	m.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	m.mu.Lock()
	m.active["svc"].share = 1
	m.mu.Unlock()
	w.do(w.newRequest("POST", "/once/x", "body"))
	for range 100 {
		m.mu.Lock()
		failed := total(m.active["svc"].evidence.ownCounts()).New.Failed
		m.mu.Unlock()
		if failed == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Fail() // it wasn't counted within 2 s
}
