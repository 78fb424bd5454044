package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func TestServiceResponses(t *testing.T) {
	tests := []struct {
		desc   string
		faults service.Faults
		status int
		err    error
		state  runstate.State
	}{
		{"answer", service.Faults{}, 200, nil, runstate.Ran},
		{"error status is an answer", service.Faults{Status: 422}, 422, nil, runstate.Ran},
		{"leaving", service.Faults{Leaving: true}, 503, nil, runstate.MayHaveRun},
		{"answer of another request", service.Faults{Crossed: 1}, 0, upstream.ErrMismatch, runstate.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			standin, target := startService(t)
			standin.SetFaults(test.faults)
			var state runstate.Tracker
			response, err := newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", "bid 1", ""), &state)
			is.True(errors.Is(err, test.err))
			is.Equal(response.Status, test.status)
			is.Equal(state.State(), test.state)
			if state.State() == runstate.Ran {
				is.Equal(response.Body, service.ExpectedAnswer("POST", "/bids?lot=17", []byte("bid 1")))
			}
		})
	}
}

func TestHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"Te", "Upgrade", "Proxy-Authorization", "X-Private", "Keep-Alive"} {
			is.Equal(r.Header.Get(name), "")
		}
		is.Equal(r.Header.Get("X-Kept"), "1")
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Kept", "2")
	}))
	defer srv.Close()
	call := serviceCall("r1", "POST", "x", "")
	for _, name := range []string{"Te", "Upgrade", "Proxy-Authorization", "X-Private", "Keep-Alive", "X-Kept"} {
		call.Header.Set(name, "1")
	}
	call.Header.Set("Connection", "upgrade, x-private")
	target := upstream.Target{Address: srv.Listener.Addr().String()}
	response, err := newServiceClient(t).Do(t.Context(), target, call, new(runstate.Tracker))
	is.NoErr(err)
	is.Equal(response.Header.Get("X-Kept"), "2")
	is.Equal(response.Header.Get("X-Private"), "")
	is.Equal(call.Header.Get("X-Private"), "1") // the caller's headers are unchanged
}

// serveRawResponse accepts one connection, writes raw to it and closes it.
func serveRawResponse(t *testing.T, raw string) upstream.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(conn, raw)
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return upstream.Target{Address: listener.Addr().String()}
}

func TestServiceBodyEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		desc   string
		method string
		raw    string
		body   string
		err    error
	}{
		{"whole by length", "POST", head + "Content-Length: 2\r\n\r\nab", "ab", nil},
		{"cut by length", "POST", head + "Content-Length: 3\r\n\r\nab", "", upstream.ErrBroken},
		{"whole by chunks", "POST", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", nil},
		{"cut before the last chunk", "POST", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "", upstream.ErrBroken},
		{"end of the connection", "POST", head + "\r\nab", "", upstream.ErrBroken},
		{"empty", "POST", head + "Content-Length: 0\r\n\r\n", "", nil},
		{"no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", "", nil},
		{"head only", "HEAD", head + "Content-Length: 9\r\n\r\n", "", nil},
		{"too long by length", "POST", head + "Content-Length: 1025\r\n\r\n" + strings.Repeat("x", 1025), "", upstream.ErrTooLarge},
		{"too long by chunks", "POST", head + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat("x", 1025) + "\r\n0\r\n\r\n", "", upstream.ErrTooLarge},
		{"not HTTP", "POST", "hello\r\n\r\n", "", upstream.ErrBroken},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			target := serveRawResponse(t, test.raw)
			response, err := newServiceClient(t).Do(t.Context(), target, serviceCall("r1", test.method, "", ""), new(runstate.Tracker))
			is.True(errors.Is(err, test.err))
			is.Equal(string(response.Body), test.body)
		})
	}
}
