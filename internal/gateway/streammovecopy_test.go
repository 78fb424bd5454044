package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// copyingEngine is a slow engine that stops and copies its run on request. respond writes the response
// to that request; it is called after the run has stopped if stops is set.
type copyingEngine struct {
	stops   bool
	respond http.HandlerFunc
	// endsRegularly lets the stream of a stopped run end like a complete one.
	endsRegularly bool

	running atomic.Int32
	// runContext ends when the run is stopped.
	runContext context.Context
	stop       context.CancelFunc
	// freed counts the requests to free a copy.
	freed atomic.Int32
}

func (e *copyingEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/copy":
		if e.stops {
			e.stop()
		}
		e.respond(w, req)
	case req.Method == http.MethodDelete:
		e.freed.Add(1)
	case req.Header.Get("T-Continue") != "":
		engineStream(time.Millisecond, &e.running)(w, req)
	default:
		engineStream(300*time.Millisecond, &e.running)(w, req.WithContext(e.runContext))
		if e.runContext.Err() != nil && !e.endsRegularly {
			panic(http.ErrAbortHandler) // the stream is closed without its end
		}
	}
}

func writeHandle(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "h1")
	}
}

func hang(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

var errNoTestHandle = errors.New("no handle")

// testRunCopies has paths and formats that no deployment uses.
func testRunCopies() RunCopies {
	return RunCopies{
		MoveRequest: func(id, to string) (string, []byte) { return "/copy", []byte(id + " " + to) },
		Handle: func(body []byte) (string, error) {
			if len(body) == 0 {
				return "", errNoTestHandle
			}
			return string(body), nil
		},
		HandlePath: func(handle string) string { return "/handles/" + handle },
		Reference:  func(address, handle string) string { return address + "/" + handle },
	}
}

// A run that its engine copies is continued elsewhere, and the retry that was reserved for a failure of the copy is given back. Without
// a retry in reserve no copy is requested, since a failure of it would cut the stream off. Whatever fails on the way, the caller
// gets each event once.
func TestStreamMovesByCopy(t *testing.T) {
	quick := engineStream(10*time.Millisecond, new(atomic.Int32))
	tests := []struct {
		desc     string
		source   *copyingEngine
		first    http.HandlerFunc // of the first destination; nil means that it continues the run
		noBudget bool
		// continuedAt are the engines that got the reference of the copy: "s" for the source, "d" for
		// a destination.
		continuedAt string
		freed       int32
		stays       bool
		// retries is the number of retries that are charged in the end.
		retries int
	}{
		{desc: "copied", source: &copyingEngine{stops: true, respond: writeHandle(200)}, continuedAt: "d"},
		{desc: "copied, and the stopped stream looks complete", source: &copyingEngine{stops: true, endsRegularly: true, respond: writeHandle(200)}, continuedAt: "d"},
		{desc: "copied, retry budget used up", source: &copyingEngine{stops: true, respond: writeHandle(200)}, noBudget: true, stays: true},
		{desc: "no handle, retry budget used up", source: &copyingEngine{stops: true, respond: func(http.ResponseWriter, *http.Request) {}}, noBudget: true, stays: true},
		{desc: "destination without room", source: &copyingEngine{stops: true, respond: writeHandle(503)}, continuedAt: "s"},
		{desc: "run unknown", source: &copyingEngine{respond: respondStatus(404)}, retries: 1},
		{desc: "run unknown, retry budget used up", source: &copyingEngine{respond: respondStatus(404)}, noBudget: true, stays: true},
		{desc: "another call in progress", source: &copyingEngine{respond: respondStatus(409)}, retries: 1},
		{desc: "no handle", source: &copyingEngine{stops: true, respond: func(http.ResponseWriter, *http.Request) {}}, retries: 1},
		{desc: "copy late", source: &copyingEngine{stops: true, respond: hang}, retries: 1},
		{desc: "handle unknown or used", source: &copyingEngine{stops: true, respond: writeHandle(200)}, first: respondNotRun, continuedAt: "d", freed: 1, retries: 1},
		{desc: "engine restarted at the address", source: &copyingEngine{stops: true, respond: writeHandle(200)}, first: respondStatus(421), continuedAt: "d", freed: 1, retries: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tg, _ := newMoveGateway(t, 20*time.Millisecond)
			tg.gateway.fleet.RemoveEntry("slow", 2, false)
			tg.gateway.settings.RunCopies = testRunCopies()
			tg.gateway.routingTable.Load().Service("svc").Engines.Moves = true
			test.source.runContext, test.source.stop = context.WithCancel(t.Context())
			source := tg.startUpstream("source", test.source.ServeHTTP)
			var arrivals atomic.Int32
			destination := func(w http.ResponseWriter, req *http.Request) {
				if arrivals.Add(1) == 1 && test.first != nil {
					test.first(w, req)
					return
				}
				quick(w, req)
			}
			logs := []*requestLog{tg.addEngine("b", "v1", destination), tg.addEngine("c", "v1", destination)}
			if test.noBudget {
				tg.gateway.retryBudgets.get("svc").ratio = 0
			}
			got := tg.do(tg.moveRequest("stream"))
			is.NoErr(got.err)
			is.Equal(got.body, eventTexts(1, moveTestEvents))
			address := tg.gateway.fleet.memberOf("svc", "source").Address
			is.Equal(referencesAt(source, address, "s")+referencesAt(logs[0], address, "d")+referencesAt(logs[1], address, "d"), test.continuedAt)
			is.Equal(arrivals.Load() == 0, test.stays || test.continuedAt == "s")
			is.Equal(tg.gateway.retryBudgets.get("svc").retryCount(), test.retries)
			eventually(t, "an unused copy is freed", func() bool { return test.source.freed.Load() == test.freed })
			eventually(t, "nothing is in flight", func() bool { return tg.requestsInFlight() == 0 })
		})
	}
}

// referencesAt returns the mark for each request that has the reference of the copy that the engine at
// the address made.
func referencesAt(log *requestLog, address, mark string) string {
	log.mu.Lock()
	defer log.mu.Unlock()
	marks := ""
	for _, req := range log.requests {
		if req.Header.Get("T-Continue") == address+"/h1" {
			marks += mark
		}
	}
	return marks
}

// A caller that disconnects while the run is copied leaves no run and no copy behind.
func TestCallerGoneDuringACopy(t *testing.T) {
	is := is.New(t)
	tg, _ := newMoveGateway(t, 20*time.Millisecond)
	tg.gateway.fleet.RemoveEntry("slow", 2, false)
	tg.gateway.settings.RunCopies = testRunCopies()
	tg.gateway.routingTable.Load().Service("svc").Engines.Moves = true
	source := &copyingEngine{stops: true}
	source.runContext, source.stop = context.WithCancel(t.Context())
	tg.startUpstream("source", source.ServeHTTP)
	other := tg.addEngine("b", "v1", respondNotRun)
	resp, err := tg.client.Do(tg.moveRequest("stream"))
	is.NoErr(err)
	source.respond = func(w http.ResponseWriter, req *http.Request) {
		resp.Body.Close()
		eventually(t, "the gateway noticed", func() bool { return req.Context().Err() != nil || tg.requestsInFlight() == 0 })
		writeHandle(200)(w, req)
	}
	eventually(t, "nothing is in flight", func() bool { return tg.requestsInFlight() == 0 })
	is.Equal(other.count(), 0)
	is.True(!strings.Contains(tg.metricsText(), "stream_moves_total"))
}

// retryCount returns the number of retries in the window.
func (b *retryBudget) retryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, retries := b.counts(b.advanceSlot())
	return retries
}
