package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A stream that had begun was cut off while all upstreams had stated for how long they accept no requests, though that time was
// shorter than the time until its deadline.
func TestBegunStreamIsCutWhileUpstreamsBackOff(t *testing.T) {
	for _, otherVersion := range []bool{false, true} {
		t.Run(fmt.Sprint("beside another version ", otherVersion), func(t *testing.T) { testBegunStreamWaits(t, otherVersion) })
	}
}

// testBegunStreamWaits breaks a stream off whose upstreams back off then. If otherVersion is set, there is an upstream of a version
// that the stream may not run on, as in a roll-out.
func testBegunStreamWaits(t *testing.T, otherVersion bool) {
	is := is.New(t)
	doc := stopDocument()
	for i := range doc.Routes {
		doc.Routes[i].MaxAttempts = 6
	}
	tg := newTestGateway(t, doc)
	var requests, refused atomic.Int32
	for _, id := range []string{"u1", "u2"} {
		var ownRequests atomic.Int32
		tg.startUpstream(id, func(w http.ResponseWriter, req *http.Request) {
			switch {
			case requests.Add(1) == 1:
				streamEvents(1, 2, true)(w, req)
			case refused.Load() < 2 && ownRequests.Add(1) == 1:
				refused.Add(1)
				w.Header().Set("Retry-After", "1")
				respondNotRun(w, req)
			default:
				resumeStream(4)(w, req)
			}
		})
	}
	if otherVersion {
		tg.gateway.fleet.BaseVersion("svc") // is v1 from now on
		tg.startUpstreamOf(Upstream{ID: "u3", Zone: "z1", Version: "v2"}, resumeStream(4))
	}
	got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "9000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 4))
	is.Equal(refused.Load(), int32(2))
	is.True(!strings.Contains(tg.metricsText(), "attempts_refused_total{")) // it was served
	is.True(strings.Contains(tg.metricsText(), "upstream_waits_total{"))
}

// A request whose last answer is a complete failure got it only after the time for which its upstreams had stated that they accept no requests,
// and the answer was kept in memory meanwhile.
func TestFailureWaitsForUpstreamsThatBackOff(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, stopDocument())
	for _, id := range []string{"u1", "u2"} {
		tg.startUpstream(id, func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Retry-After", "4")
			respondStatus(http.StatusServiceUnavailable)(w, req)
		})
	}
	got := tg.do(tg.newRequest("POST", "/many/x", "body", "T-Deadline", "11000"))
	is.Equal(got.status, http.StatusBadGateway)
	is.True(!strings.Contains(tg.metricsText(), "upstream_waits_total{"))
}
