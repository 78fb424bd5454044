package httpintake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/intake"
)

const (
	testMemory = 8 << 20
	testWait   = 10 * time.Second
)

// testServer is a server of a pool that answers each request with the length of its body, or with the error of
// ReadBody.
type testServer struct {
	t       *testing.T
	pool    *Pool
	metrics *metrics.Set
	address string
	log     syncBuffer
	// answer is the body of successful answers; empty for the length of the request's body.
	answer []byte
}

type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

const testBodyTimeout = 200 * time.Millisecond

func startTestServer(t *testing.T, answer []byte, change func(o *ServerOptions)) *testServer {
	t.Helper()
	s := &testServer{t: t, metrics: metrics.NewSet(), answer: answer}
	limits := intake.NewLimits(4*testMemory, intake.Sockets{Callers: 16, Checks: 16})
	s.pool = New(Options{Limits: limits, Log: zerolog.New(&s.log), Metrics: s.metrics, Prefix: "test_"})
	options := ServerOptions{
		Name: "callers", MaxHead: func() int { return 8 << 10 },
		HeadTimeout: func() time.Duration { return testWait }, IdleTimeout: func() time.Duration { return testWait },
		WriteTimeout: testWait,
	}
	if change != nil {
		change(&options)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := s.pool.NewServer(http.HandlerFunc(s.serve), options)
	go func() { _ = server.Serve(s.pool.Listener(listener, options)) }()
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, req *http.Request) {
	conn, detach := s.pool.Attach(req)
	defer detach()
	body, err := conn.ReadBody(w, req, 1<<20, testBodyTimeout)
	if err != nil {
		if conn.BodyUnread() {
			w.Header().Set("Connection", "close")
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if s.answer != nil {
		_, _ = w.Write(s.answer)
		return
	}
	fmt.Fprintf(w, "%d bytes", len(body))
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testWait)); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// send sends text on a new connection and returns the status and body of the answer.
func (s *testServer) send(text string) (status int, body string, err error) {
	conn := s.dial()
	// The server may answer before it has read all.
	go func() { _, _ = io.WriteString(conn, text) }()
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(r *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func (s *testServer) count(stage intake.Stage, reason endReason) uint64 {
	return s.metrics.GetOrCreateCounter(fmt.Sprintf(`test_intake_ended_total{listener="callers",stage=%q,reason=%q}`, stage, string(reason))).Get()
}

// awaitNoMemory waits until nothing is accounted.
func (s *testServer) awaitNoMemory() {
	s.t.Helper()
	eventually(s.t, "nothing is accounted", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.ledger.Used() == 0
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testWait); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time: ", what)
		}
	}
}

func post(lines string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" }

func TestBodiesAreReadWhole(t *testing.T) {
	large := strings.Repeat("b", 1<<20)
	for _, test := range []struct {
		desc, text string
		size       int
	}{
		{"no body", post(""), 0},
		{"with a length", post("Content-Length: 4\r\n") + "body", 4},
		{"as large as permitted", post("Content-Length: 1048576\r\n") + large, 1 << 20},
		{"chunked", post("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n", 4},
		{"chunked, as large as permitted", post("Transfer-Encoding: chunked\r\n") + "100000\r\n" + large + "\r\n0\r\n\r\n", 1 << 20},
	} {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, nil, nil)
			status, body, err := s.send(test.text)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, fmt.Sprintf("%d bytes", test.size))
		})
	}
}

// Requests follow each other on a connection, also if one begins in the packet that ends the one before.
func TestRequestsOfAConnectionFollowEachOther(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, nil)
	conn := s.dial()
	first, second := post("Content-Length: 4\r\n")+"body", post("Content-Length: 2\r\n")+"bo"
	_, err := io.WriteString(conn, first+second[:20])
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"4 bytes", "2 bytes", "4 bytes"} {
		_, body, err := readAnswer(reader)
		is.NoErr(err)
		is.Equal(body, want)
		switch want {
		case "4 bytes":
			_, err = io.WriteString(conn, second[20:])
		case "2 bytes":
			_, err = io.WriteString(conn, first)
		}
		is.NoErr(err)
	}
	conn.Close()
	s.awaitNoMemory()
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	for _, head := range []string{
		"GET /" + strings.Repeat("x", 100<<10),
		"GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 20<<10),
	} {
		is := is.New(t)
		s := startTestServer(t, nil, nil)
		status, _, err := s.send(head)
		is.NoErr(err)
		is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
		is.Equal(s.count(intake.Head, reasonTooLarge), uint64(1))
		s.awaitNoMemory()
	}
}

func TestHeadThatStopsEnds(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, func(o *ServerOptions) { o.HeadTimeout = func() time.Duration { return testBodyTimeout } })
	status, _, err := s.send("GET / HTTP/1.1\r\nHos")
	is.True(!isTimeout(err))
	is.True(status != http.StatusOK)
	is.Equal(s.count(intake.Head, reasonTimeout), uint64(1))
	s.awaitNoMemory()
}

func TestUnusedConnectionEnds(t *testing.T) {
	is := is.New(t)
	short := func() time.Duration { return testBodyTimeout }
	s := startTestServer(t, nil, func(o *ServerOptions) { o.HeadTimeout, o.IdleTimeout = short, short })
	conn := s.dial()
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, post(""))
	is.NoErr(err)
	_, _, err = readAnswer(reader)
	is.NoErr(err)
	_, err = reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
	_, err = s.dial().Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestBodyThatStopsIsRefused(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, nil)
	status, body, err := s.send(post("Content-Length: 100\r\n") + "half")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, ErrBodyTimeout.Error()+"\n")
	s.awaitNoMemory()
}

// The caller is answered in favor of whom others end, and the others are told that there was no memory.
func TestBodiesThatStopYieldToOthers(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, nil)
	part := strings.Repeat("b", 1<<20-1)
	answers := make(chan string, 12)
	for range cap(answers) {
		conn := s.dial()
		go func() { _, _ = io.WriteString(conn, post("Content-Length: 1048576\r\n")+part) }()
		go func() {
			_, body, err := readAnswer(bufio.NewReader(conn))
			if err != nil {
				body = err.Error()
			}
			answers <- body
		}()
	}
	for range cap(answers) {
		body := <-answers
		is.True(body == ErrNoMemory.Error()+"\n" || body == ErrBodyTimeout.Error()+"\n")
	}
	status, body, err := s.send(post("Connection: close\r\nContent-Length: 4\r\n") + "body")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "4 bytes")
	s.awaitNoMemory()
}

func TestAnswerThatIsNotReadEnds(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, make([]byte, 32<<20), func(o *ServerOptions) { o.WriteTimeout = testBodyTimeout })
	conn := s.dial()
	_, err := io.WriteString(conn, post(""))
	is.NoErr(err)
	eventually(t, "the answer is given up", func() bool { return s.count(intake.Writing, reasonTimeout) == 1 })
	s.awaitNoMemory()
}

// A connection beyond the limit takes the place of one that has sent nothing.
func TestUnusedConnectionYieldsToANewOne(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, nil)
	var conns []net.Conn
	for range 16 {
		conns = append(conns, s.dial())
	}
	status, _, err := s.send(post(""))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	ended := 0
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
		if _, err := conn.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
			ended++
		}
	}
	is.Equal(ended, 1)
}

// Many ends of a kind make one line, with the address that most of them come from.
func TestEndsAreLoggedInABoundedNumberOfLines(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, nil, nil)
	for i := range 1000 {
		s.pool.ends.record(endRecord{"callers", intake.Body, reasonYielded}, &net.TCPAddr{IP: net.IPv4(10, 0, byte(i%3), byte(i%100)), Port: i})
	}
	for range 20 {
		s.pool.ends.record(endRecord{"callers", intake.Body, reasonYielded}, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 0), Port: 1})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.pool.Run(ctx)
	eventually(t, "a line is logged", func() bool { return strings.Contains(s.log.String(), `"count":1020`) })
	is.Equal(strings.Count(s.log.String(), "\n"), 1)
	is.True(strings.Contains(s.log.String(), `"address":"10.0.0.0"`))
}
