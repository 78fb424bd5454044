package gateway

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

const (
	moveTestEvents = 8
	// engineLoadHeader is a header of requests with the load that engineStream states for them.
	engineLoadHeader = "Engine-Load"
)

// engineStream returns a handler that streams the events up to moveTestEvents after the last one that
// the request names, with a pause before each. running counts the runs in progress.
func engineStream(pause time.Duration, running *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		w.Header().Set("T-Stamp", "stamp")
		w.Header().Set("T-Load", cmp.Or(req.Header.Get(engineLoadHeader), "1,0,8,100"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		last, _ := strconv.Atoi(req.Header.Get("T-Last-Event"))
		for i := last + 1; i <= moveTestEvents; i++ {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-req.Context().Done():
				return
			}
			_, _ = w.Write([]byte(eventText(i)))
		}
	}
}

// newMoveGateway returns a gateway whose streams usually have the given time for an event, and of
// whose callers' expected tokens five make an event. Its only engine is slow: it needs 300 ms for an
// event, and 40 events are expected of it before the deadline after 4 s.
func newMoveGateway(t *testing.T, usualTime time.Duration) (tg *testGateway, running *atomic.Int32) {
	doc := testDocument()
	for i := range doc.Routes {
		doc.Routes[i].Timeout = 4 * time.Second
		doc.Routes[i].MaxPause = 2 * time.Second
	}
	tg, running = newTestGateway(t, doc), new(atomic.Int32)
	tg.startUpstream("slow", engineStream(300*time.Millisecond, running))
	for _, route := range []string{"stream", "fixed"} {
		pace := tg.gateway.usualPaces.get("svc//" + route)
		for range 10 {
			pace.usual.Update(nil, usualTime, time.Now())
		}
		pace.usual.AddLength(200, 40)
	}
	tg.gateway.fleet.shard("svc").contended = true
	return tg, running
}

func (tg *testGateway) moveRequest(route string) *http.Request {
	return tg.newRequest("POST", "/"+route+"/x", "body", "T-Length", "200", "T-Deadline", "4000")
}

func (tg *testGateway) metricsText() string {
	var text strings.Builder
	tg.gateway.metrics.write(&text)
	return text.String()
}

// addEngine adds an engine in another zone, so that the first attempt goes to the slow one.
func (tg *testGateway) addEngine(id, version string, handler http.HandlerFunc) *requestLog {
	return tg.startUpstreamOf(Upstream{ID: id, Zone: "z2", Version: version}, handler)
}

// A stream that can't end in time is moved: the run at the slow engine ends, and the caller gets each
// event once, whatever happens at the first destination.
func TestStreamMoves(t *testing.T) {
	quick := engineStream(10*time.Millisecond, new(atomic.Int32))
	tests := []struct {
		desc  string
		first http.HandlerFunc
		// arrivals is the number of requests at the two destinations.
		arrivals int32
	}{
		{"destination finishes the stream", quick, 1},
		{"destination slow, too: no second move", engineStream(300*time.Millisecond, new(atomic.Int32)), 1},
		{"destination full", respondNotRun, 2},
		{"engine restarted at the address", respondStatus(http.StatusMisdirectedRequest), 2},
		{"destination breaks off", func(w http.ResponseWriter, req *http.Request) {
			last, _ := strconv.Atoi(req.Header.Get("T-Last-Event"))
			streamEvents(last+1, last+1, true)(w, req)
		}, 2},
		{"destination repeats events", streamEvents(1, moveTestEvents, false), 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tg, running := newMoveGateway(t, 20*time.Millisecond)
			var arrivals atomic.Int32
			handler := func(w http.ResponseWriter, req *http.Request) {
				if arrivals.Add(1) == 1 {
					test.first(w, req)
					return
				}
				quick(w, req)
			}
			tg.addEngine("b", "v1", handler)
			tg.addEngine("c", "v1", handler)
			got := tg.do(tg.moveRequest("stream"))
			is.NoErr(got.err)
			is.Equal(got.body, eventTexts(1, moveTestEvents))
			is.Equal(arrivals.Load(), test.arrivals)
			is.Equal(strings.Count(tg.metricsText(), "stream_moves_total{service=\"svc\",reason=\"late\"} 1\n"), 1)
			eventually(t, "the run at the slow engine ends", func() bool { return running.Load() == 0 })
			eventually(t, "nothing is in flight", func() bool { return tg.requestsInFlight() == 0 })
		})
	}
}

func (tg *testGateway) requestsInFlight() int {
	n := 0
	tg.gateway.fleet.eachShard(func(s *shard) {
		for _, m := range s.members {
			n += m.inFlight
		}
	})
	return n
}

// Each rule against a move: the stream stays at the slow engine, and the others get no request.
func TestStreamStays(t *testing.T) {
	tests := []struct {
		desc, route, version string
		load                 string // that the engines state
		usualTime            time.Duration
		prepare              func(*testGateway)
	}{
		{desc: "off by default", load: "1,0,8", prepare: func(tg *testGateway) { tg.gateway.fleet.shard("svc").contended = false }},
		{desc: "switched off", prepare: func(tg *testGateway) { tg.gateway.settings.Features.StreamMoves = FeatureOff }},
		{desc: "all engines slow", usualTime: 300 * time.Millisecond},
		{desc: "route not resumable", route: "fixed"},
		{desc: "other engines of another version", version: "v2"},
		{desc: "other engines full", prepare: func(tg *testGateway) {
			time.AfterFunc(500*time.Millisecond, func() { // when the stream has begun
				tg.gateway.fleet.eachShard(func(s *shard) { s.meanSlotLoad = 2 })
			})
		}},
		{desc: "retry budget used up", prepare: func(tg *testGateway) {
			tg.gateway.retryBudgets.get("svc").ratio = 0
		}},
		{desc: "all attempts made", prepare: func(tg *testGateway) {
			route, _ := tg.gateway.routingTable.Load().Match(testHost, "/stream/x")
			route.MaxAttempts = 1
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tg, _ := newMoveGateway(t, max(test.usualTime, 20*time.Millisecond))
			if test.prepare != nil {
				test.prepare(tg)
			}
			version := "v1"
			if test.version != "" {
				version = test.version
				tg.gateway.fleet.BaseVersion("svc") // is v1 from now on
			}
			other := tg.addEngine("b", version, engineStream(time.Millisecond, new(atomic.Int32)))
			route := "stream"
			if test.route != "" {
				route = test.route
			}
			req := tg.moveRequest(route)
			req.Header.Set(engineLoadHeader, test.load)
			got := tg.do(req)
			is.NoErr(got.err)
			is.Equal(got.body, eventTexts(1, moveTestEvents))
			is.Equal(other.count(), 0)
		})
	}
}

// When the caller disconnects during a move, no engine may go on with the request.
func TestCallerGoneDuringAMove(t *testing.T) {
	is := is.New(t)
	tg, running := newMoveGateway(t, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	handler := func(_ http.ResponseWriter, req *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		cancel()
		<-req.Context().Done()
	}
	logs := []*requestLog{tg.addEngine("b", "v1", handler), tg.addEngine("c", "v1", handler)}
	is.True(tg.do(tg.moveRequest("stream").WithContext(ctx)).err != nil)
	eventually(t, "no engine runs the request", func() bool { return running.Load() == 0 && tg.requestsInFlight() == 0 })
	is.Equal(logs[0].count()+logs[1].count(), 1)
}

// A stream whose caller reads slowly seems late by the time that passes, but its engine isn't slow: it must stay.
func TestStreamOfASlowCallerStays(t *testing.T) {
	is := is.New(t)
	tg, _ := newMoveGateway(t, 20*time.Millisecond)
	tg.addEngine("b", "v1", respondNotRun)
	c, ok := tg.gateway.fleet.choose(criteria{service: "svc", zone: "z1", admitsVersion: anyVersion})
	is.True(ok)
	table := tg.gateway.routingTable.Load()
	route, _ := table.Match(testHost, "/stream/x")
	r := &Request{Service: "svc", Route: route, Table: table, Header: http.Header{"T-Length": {"200"}}, Deadline: boottime.Now().Add(2 * time.Second)}
	out := &answerWriter{}
	m := tg.gateway.newStreamMover(t.Context(), &attempt{gateway: tg.gateway, request: r, choice: c, cancel: func(error) {}})
	for i := range 3 {
		m.startWait(out)
		m.endWait()
		time.Sleep(3 * moveCheckInterval / 2) // the event is written to the caller
		out.lastEventID = fmt.Sprint(i + 1)
	}
	m.check()
	is.True(!m.end())
	_, ok = m.stream.TimePerEvent(0)
	is.True(!ok) // the time of the writes doesn't count
}

// The engines that continue a stream have the same weights, also where the roll-out admits others.
func TestMovedStreamKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	f := engineFleet()
	crit := criteria{service: "svc", zone: "z1", admitsVersion: anyVersion, excludedIDs: []string{"a"}}
	from := choice{upstream: f.memberOf("svc", "a").Upstream}
	always := func(time.Duration, float64) bool { return true }
	_, ok := f.chooseForMove(crit, &from, always)
	is.True(ok)
	for _, id := range []string{"b", "c"} {
		f.ApplyEntry(Upstream{ID: id, Service: "svc", Zone: "z1", Version: "v2", Slots: 8}, 2)
	}
	_, ok = f.chooseForMove(crit, &from, always)
	is.True(!ok)
	r := &Request{moved: true, movedVersion: "v1"}
	r.keepVersion(&crit)
	is.True(crit.admitsVersion("v1") && !crit.admitsVersion("v2"))
}

// A stream isn't moved to an engine that is full, fuller or slower.
func TestSuitsMove(t *testing.T) {
	tests := []struct {
		source, destination string
		want                bool
	}{
		{"6,0,8,100", "3,0,8,100", true},
		{"6,2,8,250", "6,0,8,140", true},
		{"3,0,8,100", "6,0,8,100", false},
		{"9,0,8,100", "8,0,8,100", false},
		{"6,0,8,100", "3,0,8,140", false},
	}
	for _, test := range tests {
		t.Run(test.source+" to "+test.destination, func(t *testing.T) {
			is := is.New(t)
			f := engineFleet()
			now := boottime.Now()
			a, b := f.memberOf("svc", "a"), f.memberOf("svc", "b")
			a.observeLoad(test.source, now)
			b.observeLoad(test.destination, now)
			is.Equal(b.suitsMove(a, now), test.want)
		})
	}
}
