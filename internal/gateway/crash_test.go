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

// crashDelay is the time from the arrival of a poison request to the termination of the upstream.
const crashDelay = 80 * time.Millisecond

// startCrashingUpstream starts an upstream that terminates when it processes a request with the
// body "fatal".
func (tg *testGateway) startCrashingUpstream(id, version string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tg.t.Fatal(err)
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
	tg.t.Cleanup(func() { server.Close() })
	tg.gateway.fleet.ApplyEntry(Upstream{ID: id, Service: "svc", Address: listener.Addr().String(), Zone: "z1", Version: version, Slots: 8}, 1)
}

// Terminations of upstreams that a poison request caused must not count against the upstreams'
// version. An earlier version counted them: one caller's request that terminated three upstreams of
// a new version counted as three bad answers and stopped the roll-out of a sound version.
func TestPoisonRequestStopsNoRollout(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tg.gateway.guard.Run(ctx)
	for i := range 15 {
		tg.startCrashingUpstream(fmt.Sprint("new-", i), "v2")
	}
	tg.startCrashingUpstream("old", "v1")
	ro := tg.gateway.rollouts
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	ro.mu.Lock()
	ro.byService["svc"].requestShare = 1
	ro.mu.Unlock()

	var last callerAnswer
	for range 20 {
		last = tg.do(tg.newRequest("POST", "/many/x", "fatal"))
		if strings.Contains(last.body, "request-quarantined") {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(last.status, http.StatusInternalServerError)
	is.Equal(strings.TrimSpace(last.body), "request-quarantined")
	is.Equal(last.header.Get("Retry-After"), "") // a retry wouldn't help
	is.Equal(last.header.Get("T-Stamp"), "")     // the refusal is the gateway's

	time.Sleep(4 * time.Second) // a cut-off answer would be counted against its version by then
	ro.mu.Lock()
	defer ro.mu.Unlock()
	is.True(!ro.byService["svc"].stopped)
	is.Equal(sumRoutes(ro.byService["svc"].evidence.ownCounts()).New.Failed, 0)
}

// An answer that was cut off counts against the version of its upstream if the upstream is still
// running.
func TestAnswersThatLiveUpstreamsCutOffAreCounted(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstreamOf(Upstream{ID: "new", Zone: "z1", Version: "v2"}, resetConnection)
	ro := tg.gateway.rollouts
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	ro.mu.Lock()
	ro.byService["svc"].requestShare = 1
	ro.mu.Unlock()
	tg.do(tg.newRequest("POST", "/once/x", "body"))
	for range 100 {
		ro.mu.Lock()
		failed := sumRoutes(ro.byService["svc"].evidence.ownCounts()).New.Failed
		ro.mu.Unlock()
		if failed == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Fail() // it wasn't counted within 2 s
}
