package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/rawserver"
)

// invalidHeads are heads that are no valid HTTP/1.1 answer. In them, HEAD stands for the lines of a sound answer.
var invalidHeads = []struct{ desc, head string }{
	{"status 000", "HTTP/1.1 000 Broken\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"status 099", "HTTP/1.1 099 Broken\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"status 101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\nHEADConnection: Upgrade\r\nUpgrade: other\r\n\r\nxx"},
	{"status 600", "HTTP/1.1 600 Broken\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"status 999", "HTTP/1.1 999 Broken\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"another version of HTTP", "HTTP/9.9 200 OK\r\nHEADContent-Length: 2\r\n\r\nxx"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nHEADX Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"blank after a name", "HTTP/1.1 200 OK\r\nHEADX-Bad : 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"blank before Transfer-Encoding's colon", "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n2\r\nxx\r\n0\r\n\r\n"},
	{"blank in Transfer-Encoding", "HTTP/1.1 200 OK\r\nHEADTransfer Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nxx\r\n0\r\n\r\n"},
	{"blank before Content-Length's colon", "HTTP/1.1 200 OK\r\nHEADContent-Length : 4\r\nConnection: close\r\n\r\nxx"},
	{"blank in the name of a trailer", "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\nX Bad: 1\r\n\r\n"},
	{"control byte in the name of a trailer", "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\nX\x01Bad: 1\r\n\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nHEADX\x01Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nHEADX\x00Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"tab in a name", "HTTP/1.1 200 OK\r\nHEADX\tBad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nHEADX\x7fBad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"slash in a name", "HTTP/1.1 200 OK\r\nHEADX/Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"byte beyond ASCII in a name", "HTTP/1.1 200 OK\r\nHEADX\xe9Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"empty name", "HTTP/1.1 200 OK\r\nHEAD: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nHEADX-Bad: a\x01b\r\nContent-Length: 2\r\n\r\nxx"},
}

// An upstream in trouble sent answers with statuses that don't exist and with invalid names of header fields. Callers
// got them as answers, in some cases with the framing of the body as its content, or no answer at all.
func TestInvalidAnswerIsNoAnswer(t *testing.T) {
	for _, invalid := range invalidHeads {
		for _, path := range []string{"/once/x", "/many/x", "/stream/x", "/fixed/x", "/models/x"} {
			t.Run(invalid.desc+path, func(t *testing.T) {
				is := is.New(t)
				tg := newTestGateway(t, testDocument())
				text := strings.Replace(invalid.head, "HEAD", "T-Id: ID\r\nT-Stamp: stamp\r\n", 1)
				if strings.Contains("/stream/x /fixed/x /models/x", path) {
					text = strings.ReplaceAll(text, "Content-Length: 2", fmt.Sprint("Content-Length: ", len(eventText(1))))
					text = strings.ReplaceAll(text, "\r\n2\r\nxx", fmt.Sprintf("\r\n%x\r\n%s", len(eventText(1)), eventText(1)))
					text = strings.ReplaceAll(text, "\r\n\r\nxx", "\r\n\r\n"+eventText(1))
				}
				u1 := tg.startRaw("u1", rawserver.Answer{Text: text, Ending: rawserver.Close})
				got := tg.do(tg.newRequest("POST", path, "body"))
				isTrailer := strings.Contains(invalid.desc, "trailer")
				switch {
				case isTrailer && path != "/once/x" && path != "/many/x":
					is.True(got.err != nil) // the events were passed on
				default:
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
				}
				is.Equal(got.header.Get("T-Stamp"), map[bool]string{true: "stamp"}[got.status == http.StatusOK])
				if path == "/once/x" || path == "/fixed/x" {
					is.Equal(u1.Requests.Load(), int64(1))
				}
				is.Equal(got.header.Get("X-Bad")+got.header.Get("X Bad"), "")
			})
		}
	}
}

// A request that may be repeated and got an invalid answer is answered by another upstream.
func TestRequestWithInvalidAnswerIsRepeatedIfItMayBe(t *testing.T) {
	for _, invalid := range invalidHeads {
		t.Run(invalid.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			text := strings.Replace(invalid.head, "HEAD", "T-Id: ID\r\nT-Stamp: stamp\r\n", 1)
			u1 := tg.startRaw("u1", rawserver.Answer{Text: text, Ending: rawserver.Close})
			log := tg.startUpstreamOf(Upstream{ID: "u2", Zone: "z2", Version: "v1"}, respondOK("sound"))
			for range 8 {
				tg.gateway.fleet.forgetFailures()
				got := tg.do(tg.newRequest("POST", "/many/x", "body"))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, "sound")
			}
			is.True(u1.Requests.Load() > 0)
			is.Equal(log.count(), 8)
		})
	}
}

// An answer that names another request beside this one may belong to either.
func TestAnswerThatNamesTwoRequestsIsNoAnswer(t *testing.T) {
	for _, test := range []struct {
		ids    string
		status int
	}{
		{"T-Id: ID\r\nT-Id: other\r\n", http.StatusBadGateway},
		{"T-Id: other\r\nT-Id: ID\r\n", http.StatusBadGateway},
		{"T-Id: ID\r\nT-Id: ID\r\n", http.StatusOK},
		{"", http.StatusBadGateway},
	} {
		t.Run(test.ids, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			tg.startRaw("u1", rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n" + test.ids + "T-Stamp: stamp\r\nContent-Length: 2\r\n\r\nxx", Ending: rawserver.Close})
			got := tg.do(tg.newRequest("POST", "/once/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.status, test.status)
		})
	}
}

// The upstream is to blame for its invalid answers, not the request, which runs at the next one that is sound.
func TestRequestWithInvalidAnswersIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	for i := range 12 {
		tg.startRaw(fmt.Sprint("u", i), rawserver.Answer{Text: "HTTP/1.1 000 Broken\r\nT-Id: ID\r\nT-Not-Run: 1\r\nT-Leaving: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n", Ending: rawserver.Close})
	}
	for range 60 {
		got := tg.do(tg.newRequest("POST", "/once/x", "body"))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway) // what the head states isn't used, so the request may have run
		is.Equal(got.header.Get("Retry-After"), "")
	}
	for i := range 12 {
		tg.gateway.fleet.RemoveEntry(fmt.Sprint("u", i), 2, false)
	}
	tg.startUpstream("sound", respondOK("sound"))
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, "sound")
}

// A probe checks the path to an upstream, which carried the answer whatever its status is.
func TestProbeWithInvalidAnswerShowsThatThePathIsUsable(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	u := tg.startRaw("u1", rawserver.Answer{Text: "HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\n", Ending: rawserver.Close})
	p := tg.gateway.egress
	is.NoErr(p.probe(t.Context(), p.dialDirect, probeTarget{address: u.Address, healthPath: "/health"}))
}

// An engine's answer to a request to copy a run that isn't valid doesn't tell whether the run was stopped.
func TestInvalidAnswerToARequestToCopyIsUnknown(t *testing.T) {
	for _, invalid := range invalidHeads {
		t.Run(invalid.desc, func(t *testing.T) {
			tg := newTestGateway(t, testDocument())
			tg.gateway.settings.RunCopies = testRunCopies()
			u := tg.startRaw("u1", rawserver.Answer{Text: strings.Replace(invalid.head, "HEAD", "", 1), Ending: rawserver.Close})
			mover := &streamMover{ctx: t.Context(), attempt: &attempt{gateway: tg.gateway, request: &Request{ID: "r1"}, choice: choice{upstream: Upstream{ID: "u1", Service: "svc", Address: u.Address}}}}
			_, result := mover.copyRun(&Upstream{Address: "127.0.0.1:1"}, 4*time.Second)
			is.New(t).Equal(result, copyUnknown)
		})
	}
}
