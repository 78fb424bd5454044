package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBrokenStreamIsResumedAtAnotherUpstream(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("a", streamEvents(1, 3, true, "T-First", "yes"))
	second := tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(4, 6, false))
	got := tg.do(tg.newRequest("POST", "/stream/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, eventTexts(1, 6)) // each event once, none truncated
	is.Equal(got.header.Get("T-First"), "yes")
	req, _ := second.last()
	is.Equal(req.Header.Get("T-Last-Event"), "3")
}

func TestRepeatedEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("a", streamEvents(1, 3, true))
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(2, 5, false))
	got := tg.do(tg.newRequest("POST", "/stream/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 5))
}

// A stream that can't be completed must not look complete to the caller, whatever the result of the
// next attempt.
func TestUnfinishedStreamDoesNotLookComplete(t *testing.T) {
	tests := []struct {
		desc, route string
		then        http.HandlerFunc
	}{
		{"no other upstream", "stream", nil},
		{"the next one fails", "stream", respondStatus(500)},
		{"the next one refuses", "stream", respondNotRun},
		{"the next one skips an event", "stream", streamEvents(5, 6, false)},
		{"the route permits no resumption", "fixed", streamEvents(4, 6, false)},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			for i := range doc.Routes {
				doc.Routes[i].MaxAttempts = 2
			}
			tg := newTestGateway(t, doc)
			tg.startUpstream("a", streamEvents(1, 3, true))
			if test.then != nil {
				tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, test.then)
			}
			got := tg.do(tg.newRequest("POST", "/"+test.route+"/x", "body"))
			is.True(errors.Is(got.err, io.ErrUnexpectedEOF))
			is.True(strings.HasPrefix(got.body, eventTexts(1, 3)))
			is.True(!strings.Contains(got.body, "ha")) // no part of an event
		})
	}
}

func TestStreamThatFailsBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("a", resetConnection)
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false))
	got := tg.do(tg.newRequest("POST", "/stream/x", "body"))
	is.Equal(got.body, eventTexts(1, 2))
	got = requestWithoutRetryAfterReset(t)
	is.Equal(got.status, 502) // it may have run, and the route permits no retry
}

func requestWithoutRetryAfterReset(t *testing.T) callerAnswer {
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("a", resetConnection)
	tg.startUpstreamOf(Upstream{ID: "b", Zone: "z2", Version: "v1"}, streamEvents(1, 2, false))
	return tg.do(tg.newRequest("POST", "/fixed/x", "body"))
}

func TestResumptionByTheCaller(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("a", streamEvents(8, 9, false))
	got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Last-Event", "7"))
	is.Equal(got.body, eventTexts(8, 9))
	req, _ := log.last()
	is.Equal(req.Header.Get("T-Last-Event"), "7")
}

func TestBestModelAnswersAfterLowConfidence(t *testing.T) {
	answerBy := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			confidence := text
			if req.Header.Get("T-Model") == "large" {
				confidence = "99"
			}
			w.Header().Set("T-Confidence", confidence)
			streamEvents(1, 2, false)(w, req)
		}
	}
	tests := []struct {
		desc, confidence, want string
		upstreams, arrivals    int
	}{
		{"confident", "80", "small", 2, 1},
		{"at the threshold", "50", "small", 2, 1},
		{"not confident", "20", "large", 2, 2},
		{"no confidence stated", "", "small", 2, 1},
		{"not confident, on the only upstream", "20", "large", 1, 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			logs := []*requestLog{tg.startUpstream("a", answerBy(test.confidence))}
			if test.upstreams > 1 {
				logs = append(logs, tg.startUpstream("b", answerBy(test.confidence)))
			}
			got := tg.do(tg.newRequest("POST", "/models/x", "body", "T-Model", "*"))
			is.NoErr(got.err)
			is.Equal(got.body, eventTexts(1, 2)) // from one answer only
			arrivals, last := 0, ""
			for _, log := range logs {
				arrivals += log.count()
				for _, req := range log.requests {
					if last != "large" {
						last = req.Header.Get("T-Model")
					}
				}
			}
			is.Equal(arrivals, test.arrivals)
			is.Equal(last, test.want)
		})
	}
}

func TestLowConfidenceIsPassedOnWhenTheRetryBudgetIsUsedUp(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("a", streamEvents(1, 2, false, "T-Confidence", "1"))
	for tg.gateway.retryBudgets.get("svc").tryTake() {
	}
	got := tg.do(tg.newRequest("POST", "/models/x", "body", "T-Model", "*"))
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(log.count(), 1)
}

func TestModelNamedByTheCallerIsKept(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("a", streamEvents(1, 1, false, "T-Confidence", "1"))
	tg.do(tg.newRequest("POST", "/models/x", "body", "T-Model", "middle"))
	req, _ := log.last()
	is.Equal(req.Header.Get("T-Model"), "middle")
	is.Equal(log.count(), 1)
}

func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("x", 10_000) + "\n\n"
	tests := []struct {
		desc, text string
		want       []event
		end        error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []event{{"1", []byte("id: 1\ndata: a\n\n")}, {"2", []byte("id: 2\ndata: b\n\n")}}, io.EOF},
		{"carriage returns", "id: 1\r\n\r\n", []event{{"1", []byte("id: 1\r\n\r\n")}}, io.EOF},
		{"cut within an event", "id: 1\n\nid: 2\nda", []event{{"1", []byte("id: 1\n\n")}}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "id: 1\n", nil, io.ErrUnexpectedEOF},
		{"line longer than the buffer", long, []event{{"", []byte(long)}}, io.EOF},
		{"other first line", "version: 3\nid: 4\n\n", []event{{"4", []byte("version: 3\nid: 4\n\n")}}, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			r := eventReader{reader: bufio.NewReader(strings.NewReader(test.text))}
			for _, want := range test.want {
				got, err := r.next()
				is.NoErr(err)
				is.Equal(got, want)
			}
			_, err := r.next()
			is.Equal(err, test.end)
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("id:\n\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := eventReader{reader: bufio.NewReader(strings.NewReader(text))}
		read := ""
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			read += string(ev.text)
		}
		if !strings.HasPrefix(text, read) {
			t.Fatal("the events differ from what was sent")
		}
	})
}
