package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
)

// brittleAndFull returns a handler of a brittle upstream that answers one request and rejects the others because it is full.
func brittleAndFull() http.HandlerFunc {
	requests := 0
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("T-Brittle", "8")
		if requests++; requests > 1 {
			w.Header().Set("T-Load", "8,4,8")
			respondNotRun(w, req)
			return
		}
		w.Header().Set("T-Load", "2,0,8")
		respondOK("ok")(w, req)
	}
}

// Without these lines, the record of a terminated upstream doesn't show which host sent it the requests that it
// rejected, and what that host knew.
func TestRejectionsOfBrittleUpstreamsAreLoggedWithTheirCause(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	var log bytes.Buffer
	tg.gateway.log = zerolog.New(&log)
	tg.gateway.fleet.log = tg.gateway.log
	tg.gateway.fleet.policy.singleHost = false
	tg.gateway.census.set(4)
	tg.startUpstream("u", brittleAndFull())
	is.Equal(tg.doRoute("many").status, http.StatusOK)
	log.Reset()
	tg.doRoute("many")
	line := eventLine(log.String(), "brittle-rejection")
	for _, field := range []string{`"request":"r2"`, `"upstream":"u"`, `"stated_load":"8,4,8"`, `"bound":"free-slots"`, `"rejections_per_s":8`, `"load":2`, `"load_from":"report"`, `"own":0`, `"hosts":4`} {
		is.True(strings.Contains(line, field)) // field of the rejection
	}
	tg.gateway.fleet.ejectTerminated(tg.member("u").idHash)
	line = eventLine(log.String(), "brittle-upstream-ended")
	for _, field := range []string{`"upstream":"u"`, `"own_rejections":1`, `"bound":"trial"`, `"load_from":"report"`} {
		is.True(strings.Contains(line, field)) // field of the termination
	}
}

// longRequests has the requests to the service take long, so that the load data are those of now.
func longRequests(f *Fleet) {
	const taken = time.Hour
	times := &f.shard("svc").runTimes
	times.Start(-taken)
	times.End(-taken, 0, true)
}

// fullBrittleGateway returns a gateway among hosts, with a brittle upstream that is full by its last answer.
func fullBrittleGateway(t *testing.T, hosts int) *testGateway {
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.singleHost = false
	tg.gateway.census.set(hosts)
	longRequests(tg.gateway.fleet)
	tg.startUpstream("u", withHeader("T-Load", "8,4,8", withHeader("T-Brittle", "8", respondOK("ok"))))
	tg.doRoute("many")
	return tg
}

// A caller that is refused because no brittle upstream has a free slot must not get a Retry-After as long as the
// longest backoff.
func TestCallersWithoutAFreeSlotReturnLate(t *testing.T) {
	is := is.New(t)
	tg := fullBrittleGateway(t, 88)
	answer := tg.doRoute("many")
	is.Equal(answer.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds <= 2)
}

// A host that may send a brittle service nothing gets no answer. It must not take that for the end of the statements, and
// send all that it has.
func TestBrittleServiceWithoutAnswersIsOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := NewFleet(time.Second, zerolog.Nop())
		f.policy.singleHost = false
		f.policy.census.set(88)
		f.ApplyEntry(Upstream{ID: "u", Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 1)
		c, ok := f.choose(criteria{service: "svc", zone: "z1", admitsVersion: anyVersion})
		is.True(ok)
		f.observeBrittle(&c, 8, false)
		time.Sleep(time.Minute)
		is.True(f.isBrittle(f.shard("svc").members["u"].idHash))
		f.observeBrittle(&c, 0, false) // an answer without the statement
		is.True(!f.isBrittle(f.shard("svc").members["u"].idHash))
	})
}

// A backoff after a rejection can be long, since it is the host's part of the rejections that a brittle upstream bears. It
// must not outlast the statements.
func TestBackoffAfterARejectionOutlastsBrittleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := NewFleet(time.Second, zerolog.Nop())
		f.policy.census.set(88)
		f.ApplyEntry(Upstream{ID: "u", Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 1)
		crit := criteria{service: "svc", zone: "z1", admitsVersion: anyVersion}
		c, _ := f.choose(crit)
		f.observeBrittle(&c, 1, true)
		f.release(c, attemptResult{outcome: outcomeRefused})
		time.Sleep(30 * time.Second)
		f.dropExpiredNotices()
		_, ok := f.choose(crit)
		is.True(!ok) // 88 hosts, one rejection in a second: about three minutes
		f.observeNotice(&c, notice.Notice{Backoff: 40 * time.Second}, false)
		f.observeBrittle(&c, 0, false)
		f.dropExpiredNotices()
		_, ok = f.choose(crit)
		is.True(!ok) // the upstream stated a time since
		time.Sleep(40 * time.Second)
		f.dropExpiredNotices()
		_, ok = f.choose(crit)
		is.True(ok)
	})
}

// BenchmarkFullBrittleService measures the choice for a request that no upstream of a brittle service may be sent now.
func BenchmarkFullBrittleService(b *testing.B) {
	r := newOverrunReplay(overrunCase{hosts: 1, engines: 140, slots: 12, limit: 8, work: time.Second}, 1)
	h := r.hosts[0]
	h.policy.census.set(88)
	loads := exchange.EngineLoads{}
	for _, e := range r.engines {
		loads[e.exchangeHash().EngineID()] = exchange.EngineLoad{Requests: 30}
	}
	crit := unsharedPromptCriteria(1000)
	c, _ := h.choose(crit)
	h.observeBrittle(&c, 8, false)
	for b.Loop() {
		h.setRemoteEngineStates(&exchange.EngineStates{Loads: loads}, boottime.Now())
		if _, ok := h.choose(crit); ok {
			b.Fatal("a full engine was chosen")
		}
	}
}

// eventLine returns the first line of the log with the event; empty if there is none.
func eventLine(log, event string) string {
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			return line
		}
	}
	return ""
}
