package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

// statusesNotRun are the statuses that callers take as a guarantee that their request didn't run, but for 421, with
// which an upstream itself states that it didn't run the request.
var statusesNotRun = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// runThenAnswer returns a handler that runs the request and answers with the status, without the header that
// states that the request didn't run.
func runThenAnswer(status int, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// documentOfSingleRuns returns testDocument with a further stream route, whose requests may run once and whose model
// the gateway chooses.
func documentOfSingleRuns() routing.Document {
	doc := testDocument()
	route := doc.Routes[3] // models
	route.Name, route.Prefix, route.Resumable = "fixedmodels", "/fixedmodels/", false
	doc.Routes = append(doc.Routes, route)
	return doc
}

// A caller whose request ran must not get a status that guarantees that it didn't: the caller would send an order
// again, and it would run twice.
func TestUpstreamStatusReportsARunAsNotRun(t *testing.T) {
	answers := map[string]func(status int) http.HandlerFunc{
		"whole":       func(status int) http.HandlerFunc { return runThenAnswer(status, "failed") },
		"retry-after": func(status int) http.HandlerFunc { return runThenAnswer(status, "failed", "Retry-After", "3") },
		"event stream": func(status int) http.HandlerFunc {
			return runThenAnswer(status, eventTexts(1, 2), "Content-Type", "text/event-stream")
		},
		"without body": func(status int) http.HandlerFunc { return runThenAnswer(status, "") },
		"confidence":   func(status int) http.HandlerFunc { return runThenAnswer(status, "failed", "T-Confidence", "5") },
	}
	for desc, answer := range answers {
		for _, status := range statusesNotRun {
			for _, route := range []string{"once", "fixed", "fixedmodels", "many", "stream", "models"} {
				t.Run(fmt.Sprintf("%s, %d, %s", desc, status, route), func(t *testing.T) {
					is := is.New(t)
					tg := newTestGateway(t, documentOfSingleRuns())
					for i := range 3 {
						tg.startUpstream(fmt.Sprint("u", i), answer(status))
					}
					got := tg.do(tg.newRequest("POST", "/"+route+"/x", "body", "T-Model", "*", "T-Tokens", "100,10"))
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(got.header.Get("T-Stamp"), "") // the refusal is the gateway's, not the upstream's
					mayRepeat := route == "many" || route == "stream" || route == "models"
					if retryAfter := got.header.Get("Retry-After"); !mayRepeat {
						is.Equal(retryAfter, "")
					} else if desc == "retry-after" {
						seconds, err := strconv.ParseFloat(retryAfter, 64)
						is.NoErr(err)
						is.Equal(seconds, 3.0)
					}
				})
			}
		}
	}
}

// Statuses that guarantee nothing are passed on as they are.
func TestUpstreamStatusThatGuaranteesNothingIsPassedOn(t *testing.T) {
	for _, status := range []int{400, 404, 409, 413, 425, 500, 501, 502, 504} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			tg.startUpstream("a", runThenAnswer(status, "failed", "Retry-After", "3"))
			got := tg.do(tg.newRequest("POST", "/once/x", "body"))
			is.Equal(got.status, status)
			is.Equal(got.body, "failed")
			is.Equal(got.header.Get("T-Stamp"), "stamp")
			is.Equal(got.header.Get("Retry-After"), "3")
		})
	}
}

// An upstream that answers 421 states that it didn't run the request, so the request is sent to others, and the caller
// gets the gateway's own refusal.
func TestMisdirectedRequestIsRefusedAsNotRun(t *testing.T) {
	for _, route := range []string{"once", "fixed", "many", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			logs := []*requestLog{tg.startUpstream("a", runThenAnswer(421, "")), tg.startUpstream("b", runThenAnswer(421, ""))}
			got := tg.do(tg.newRequest("POST", "/"+route+"/x", "body"))
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("T-Stamp"), "")
			is.True(got.header.Get("Retry-After") != "")
			is.True(logs[0].count() > 0)
			is.True(logs[1].count() > 0)
		})
	}
}
