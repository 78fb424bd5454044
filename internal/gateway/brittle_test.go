package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// brittleAndFull returns a handler that answers with the given load that the upstream is brittle. From the second
// request on it rejects all because it is full.
func brittleAndFull(load string) http.HandlerFunc {
	requests := 0
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("T-Brittle", "8")
		w.Header().Set("T-Load", load)
		if requests++; requests > 1 {
			respondNotRun(w, req)
			return
		}
		respondOK("ok")(w, req)
	}
}

// Without these lines, the record of a terminated upstream doesn't tell which host sent it the requests that it
// rejected, and what that host knew.
func TestRejectionsOfBrittleUpstreamsAreLoggedWithTheirCause(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	var log bytes.Buffer
	tg.gateway.log = zerolog.New(&log)
	tg.gateway.fleet.log = tg.gateway.log
	tg.gateway.fleet.policy.singleHost = false
	tg.gateway.census.set(4)
	tg.startUpstream("u", brittleAndFull("8,4,8"))
	is.Equal(tg.doRoute("many").status, http.StatusOK)
	log.Reset()
	tg.doRoute("many")
	line := eventLine(log.String(), "brittle-rejection")
	for _, field := range []string{`"request":"r2"`, `"upstream":"u"`, `"stated_load":"8,4,8"`, `"bound":"places"`, `"rejections_per_s":8`, `"load":12`, `"load_from":"report"`, `"own":0`, `"hosts":4`} {
		is.True(strings.Contains(line, field)) // field of the rejection
	}
	tg.gateway.fleet.ejectTerminated(tg.member("u").idHash)
	line = eventLine(log.String(), "brittle-upstream-ended")
	for _, field := range []string{`"upstream":"u"`, `"own_rejections":1`, `"bound":"trial"`, `"load_from":"report"`} {
		is.True(strings.Contains(line, field)) // field of the termination
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
