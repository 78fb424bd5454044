package devenv

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
)

// writeTimeout is the hosts' timeout for a write to a caller in these tests.
const writeTimeout = 500 * time.Millisecond

func shortWrites(s *entry.Settings) {
	s.CallerWriteTimeout = writeTimeout
	s.MaxBody = 1 << 20
}

// A request on an idle keep-alive connection is answered even if the previous
// answer was sent longer ago than the write timeout.
func TestAnswerAfterAPauseOnOneConnection(t *testing.T) {
	is := is.New(t)
	env := run(t, Options{Settings: shortWrites})
	conn, err := net.Dial("tcp", env.Hosts[0].CallerAddr())
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, stream := range []bool{true, false, true} {
		is.NoErr(writeRequest(conn, fmt.Sprintf(`{"model":"large","stream":%t,"messages":[{"role":"user","content":"a tokens=1"}]}`, stream)))
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(strings.HasSuffix(string(body), "data: [DONE]\n\n"), stream)
		time.Sleep(2 * writeTimeout)
	}
}

func writeRequest(conn net.Conn, body string) error {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, AccountKey, len(body), body)
	return err
}

// A caller that stops reading is disconnected after the write timeout, and its
// request is cancelled at the engine instead of occupying a slot for ever.
func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	is := is.New(t)
	env := run(t, Options{Settings: shortWrites, Engine: engine.Options{TimePerToken: 10 * time.Microsecond}})
	conn, err := net.Dial("tcp", env.Hosts[0].CallerAddr())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	is.NoErr(writeRequest(conn, `{"model":"large","stream":true,"messages":[{"role":"user","content":"endless tokens=1000000"}]}`))
	deadline := time.Now().Add(30 * time.Second)
	for countCancelled(env) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the request is still running")
		}
		time.Sleep(writeTimeout)
	}
}

func countCancelled(env *Env) int {
	n := 0
	for _, e := range env.Engines {
		for _, a := range e.Arrivals().Arrivals {
			n += a.Cancelled
		}
	}
	return n
}

func TestBoundsOnRequests(t *testing.T) {
	env := run(t, Options{Settings: shortWrites})
	tests := []struct {
		desc   string
		change func(*http.Request)
		body   string
		status int
		code   string
	}{
		{desc: "body over the limit", body: `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, status: 413, code: "1003"},
		{desc: "no JSON", body: "{", status: 400, code: "1002"},
		{desc: "no model", body: `{"messages":[]}`, status: 400, code: "1002"},
		{desc: "unknown key", change: setHeader("Authorization", "Bearer x"), status: 401, code: "1001"},
		{desc: "unknown model", body: `{"model":"x","messages":[{"role":"user","content":"a"}]}`, status: 404, code: "1009"},
		{desc: "unknown class", change: setHeader("Quetzalweir-Class", "x"), status: 400, code: "1008"},
		{desc: "bad deadline", change: setHeader("Quetzalweir-Deadline-Ms", "soon"), status: 400, code: "1010"},
		{desc: "expired deadline", change: setHeader("Quetzalweir-Deadline-Ms", "0"), status: 504, code: "1005"},
		{desc: "bad token", change: setHeader("Quetzalweir-Session", "qzt.AQ"), status: 400, code: "1004"},
		{desc: "long request key", change: setHeader("Quetzalweir-Request-Key", strings.Repeat("k", 300)), status: 400, code: "1010"},
		{desc: "unknown path", change: func(r *http.Request) { r.URL.Path = "/v2" }, status: 404, code: "1009"},
		{desc: "huge header", change: setHeader("X-Huge", strings.Repeat("h", 1<<20)), status: 431},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			body := tt.body
			if body == "" {
				body = `{"model":"large","messages":[{"role":"user","content":"a"}]}`
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+env.Hosts[0].CallerAddr()+chatPath, strings.NewReader(body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+AccountKey)
			if tt.change != nil {
				tt.change(req)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(resp.Header.Get("Quetzalweir-Result-Code"), tt.code)
			if tt.code != "" && resp.Header.Get("Quetzalweir-Run-State") == "ran" {
				t.Error("refusal with run state \"ran\"")
			}
		})
	}
	for _, e := range env.Engines {
		if n := len(e.Arrivals().Arrivals); n > 0 {
			t.Errorf("%d refused requests arrived at an engine", n)
		}
	}
}

func setHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}
