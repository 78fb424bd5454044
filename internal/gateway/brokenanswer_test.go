package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/rawserver"
	"github.com/quetzalweir/quetzalweir/routing"
)

// uploadDocument returns testDocument with room for large uploads and time for slow ones.
func uploadDocument() routing.Document {
	doc := testDocument()
	doc.Limits.MaxBodyBytes = 16 << 20
	for i := range doc.Routes {
		doc.Routes[i].Timeout, doc.Routes[i].Target = 20*time.Second, 10*time.Second
	}
	return doc
}

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 8 << 20

// startRaw starts an upstream of service svc that sends literal answers, and lists it. In their text, ID stands for
// the request's id.
func (tg *testGateway) startRaw(id string, answer rawserver.Answer) *rawserver.Server {
	s := rawserver.Start(tg.t, func(req *http.Request) rawserver.Answer {
		a := answer
		a.Text = strings.ReplaceAll(a.Text, "ID", req.Header.Get("T-Id"))
		return a
	})
	tg.gateway.fleet.ApplyEntry(Upstream{ID: id, Service: "svc", Zone: "z1", Version: "v1", Address: s.Address, Slots: 8}, 1)
	return s
}

// upload sends a large request.
func (tg *testGateway) upload(path string) callerAnswer {
	return tg.do(tg.newRequest("POST", path, strings.Repeat("b", uploadBytes), "T-Deadline", "20000"))
}

// An upstream answered an upload at once without a length and reset the connection while the upload was still being
// written. The system reports a reset once: the write of the upload received it, the reader of the answer saw its
// connection end in order, and callers got a part of the answer as the whole. An upstream that terminates may also close
// the connection in order, which resets it later.
func TestAnswerToAnUploadThatEndsWithAResetIsIncomplete(t *testing.T) {
	const repeats = 4
	for _, path := range []string{"/once/x", "/many/x", "/stream/x", "/fixed/x", "/models/x"} {
		text := "part of the answer"
		if strings.Contains("/stream/x /fixed/x /models/x", path) {
			text = eventTexts(1, 3)
		}
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			for _, end := range []struct {
				lines  string
				ending rawserver.Ending
			}{{"", rawserver.Reset}, {"Connection: close\r\n", rawserver.CloseUnread}, {"", rawserver.Close}, {"", rawserver.HalfClose}} {
				t.Run(fmt.Sprintf("%s after %s, %q", path, delay, end.lines), func(t *testing.T) {
					is := is.New(t)
					tg := newTestGateway(t, uploadDocument())
					tg.startRaw("u1", rawserver.Answer{Text: okHead + end.lines + "\r\n" + text, IgnoresBody: true, Delay: delay, Ending: end.ending})
					complete := 0
					for range repeats {
						tg.gateway.fleet.forgetFailures()
						if got := tg.upload(path); got.err == nil && got.status == http.StatusOK {
							complete++
						}
					}
					is.Equal(complete, 0)
				})
			}
		}
	}
}

// A request that may be repeated is answered by another upstream, within its attempts. One that may run once isn't sent
// again, and its caller gets no part of the answer.
func TestUploadWhoseAnswerIsResetIsRepeatedIfItMayBe(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, uploadDocument())
	broken := tg.startRaw("u1", rawserver.Answer{Text: okHead + "\r\npart", IgnoresBody: true, Delay: 20 * time.Millisecond, Ending: rawserver.Reset})
	sound := tg.startUpstreamOf(Upstream{ID: "u2", Zone: "z2", Version: "v1"}, respondOK("sound"))
	for i := range 8 {
		tg.gateway.fleet.forgetFailures()
		got := tg.upload("/many/x")
		is.NoErr(got.err)
		is.Equal(got.body, "sound")
		is.Equal(sound.count(), i+1)
	}
	is.True(broken.Requests.Load() > 0)
	sent := broken.Requests.Load()
	tg.gateway.fleet.RemoveEntry("u2", 2, false)
	for i := range int64(8) {
		got := tg.upload("/once/x")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.header.Get("Retry-After"), "")
		is.Equal(broken.Requests.Load(), sent+i+1)
	}
}

// A server may answer before it has read an upload, and an answer may end with its connection if that ends in order.
func TestEarlyAnswerToAnUploadIsComplete(t *testing.T) {
	const tooLarge = "HTTP/1.1 413 Content Too Large\r\nT-Id: ID\r\nT-Stamp: stamp\r\n"
	for _, test := range []struct {
		desc   string
		answer rawserver.Answer
		status int
		body   string
	}{
		{"with a length, rest of the upload read", rawserver.Answer{Text: tooLarge + "Content-Length: 9\r\n\r\ntoo large", IgnoresBody: true, Delay: 50 * time.Millisecond, Ending: rawserver.KeepOpen}, 413, "too large"},
		{"with a length, half closed", rawserver.Answer{Text: tooLarge + "Content-Length: 9\r\nConnection: close\r\n\r\ntoo large", IgnoresBody: true, Linger: 100 * time.Millisecond, Ending: rawserver.HalfClose}, 413, "too large"},
		{"ends with its connection", rawserver.Answer{Text: tooLarge + "Connection: close\r\n\r\ntoo large", IgnoresBody: true, Delay: 20 * time.Millisecond, Linger: 100 * time.Millisecond, Ending: rawserver.HalfClose}, 413, "too large"},
		{"success with a length", rawserver.Answer{Text: okHead + "Content-Length: 5\r\n\r\nwhole", IgnoresBody: true, Delay: 50 * time.Millisecond, Ending: rawserver.KeepOpen}, 200, "whole"},
		{"upload read, ends with its connection", rawserver.Answer{Text: okHead + "Connection: close\r\n\r\nwhole", Ending: rawserver.Close}, 200, "whole"},
	} {
		for _, path := range []string{"/once/x", "/many/x"} {
			t.Run(test.desc+path, func(t *testing.T) {
				is := is.New(t)
				tg := newTestGateway(t, uploadDocument())
				u := tg.startRaw("u1", test.answer)
				for i := range 4 {
					got := tg.upload(path)
					is.NoErr(got.err)
					is.Equal(got.status, test.status)
					is.Equal(got.body, test.body)
					if path == "/once/x" {
						is.Equal(u.Requests.Load(), int64(i+1))
					}
				}
			})
		}
	}
}

// A request is written before its answer ends, but the transport may notice that later.
func TestAnswersThatEndWithTheirConnectionAreComplete(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	u := tg.startRaw("u1", rawserver.Answer{Text: okHead + "\r\nwhole", Ending: rawserver.Close})
	for i := range 500 {
		got := tg.do(tg.newRequest("POST", "/once/x", fmt.Sprint("body ", i)))
		is.NoErr(got.err)
		is.Equal(got.body, "whole")
	}
	is.Equal(u.Requests.Load(), int64(500))
}

// A host that relays a connection must not tell the other host that an answer ended in order if it was reset.
func TestRelayedAnswerThatEndsWithAResetIsIncomplete(t *testing.T) {
	tg := newTestGateway(t, uploadDocument())
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		u := tg.startRaw("u1", rawserver.Answer{Text: okHead + "\r\npart", IgnoresBody: true, Delay: delay, Ending: rawserver.Reset})
		for range 20 {
			conn, err := tg.gateway.dialForOther(t.Context(), "h2", u.Address)
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("b", uploadBytes))
			}()
			_, err = io.ReadAll(conn)
			is.New(t).True(err != nil)
			conn.Close()
			<-written
		}
	}
}
