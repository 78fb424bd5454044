package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// closeDelimited answers with neither a length nor chunks: the answer ends with its connection.
func closeDelimited(contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer.WriteString("HTTP/1.1 200 OK\r\nT-Id: " + req.Header.Get("T-Id") + "\r\nT-Stamp: stamp\r\nContent-Type: " + contentType + "\r\nConnection: close\r\n\r\n" + text)
		buffer.Flush()
	}
}

// An answer may end with its connection. It is whole if the upstream closed the connection, but not if that was
// reset, or if a stream ended within an event.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name, path, contentType, text string
		whole                         bool
	}{
		{"text", "/many/x", "text/plain", "answer", true},
		{"stream", "/fixed/x", "text/event-stream", eventTexts(1, 3), true},
		{"stream that ends within an event", "/fixed/x", "text/event-stream", eventTexts(1, 2) + "id: 3\ndata: e", false},
		{"stream that ends before the blank line", "/fixed/x", "text/event-stream", eventTexts(1, 2) + "id: 3\ndata: e3\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			tg.startUpstream("u1", closeDelimited(c.contentType, c.text))
			got := tg.do(tg.newRequest("POST", c.path, "body"))
			is.Equal(got.err == nil && got.status == http.StatusOK, c.whole)
			if c.whole {
				is.Equal(got.body, c.text)
			}
		})
	}
}

// A stream that may be resumed goes on at another upstream if it ended within an event.
func TestStreamThatEndsWithinAnEventIsResumed(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("u1", closeDelimited("text/event-stream", eventTexts(1, 2)+"id: 3\nda"))
	tg.startUpstreamOf(Upstream{ID: "u2", Zone: "z2", Version: "v1"}, func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("T-Last-Event") == "2" {
			streamEvents(3, 4, false)(w, req)
			return
		}
		streamEvents(1, 4, false)(w, req)
	})
	got := tg.do(tg.newRequest("POST", "/stream/x", "body"))
	is.NoErr(got.err)
	is.Equal(got.body, eventTexts(1, 4))
}

// An answer without a length whose connection is reset isn't whole.
func TestAnswerThatEndsWithAResetIsIncomplete(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	reset := func(w http.ResponseWriter, req *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		buffer.WriteString("HTTP/1.1 200 OK\r\nT-Id: " + req.Header.Get("T-Id") + "\r\nT-Stamp: stamp\r\nConnection: close\r\n\r\nhalf")
		buffer.Flush()
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	tg.startUpstream("u1", reset)
	got := tg.do(tg.newRequest("POST", "/once/x", "body"))
	is.True(got.err != nil || got.status != http.StatusOK)
}
