package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessUpstream is an upstream that sends bytes after the head of its answer until the gateway closes the
// connection.
type endlessUpstream struct {
	listener net.Listener
	// head and repeated are what it sends, with ID in place of the request's id. pause is the time between two
	// writes of repeated.
	head, repeated string
	pause          time.Duration
	// ignoresBody is set if it doesn't read the bodies of requests.
	ignoresBody bool
	sent        atomic.Int64
	// open is the number of connections on which an answer is being sent. unused is that of the connections
	// without a request, which the gateway opened for a request that it didn't send by then.
	open     atomic.Int64
	unused   atomic.Int64
	requests atomic.Int64
}

func startEndlessUpstream(t *testing.T, head, repeated string, pause time.Duration) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{head: head, repeated: repeated, pause: pause}
	u.start(t)
	return u
}

// start makes the upstream listen until the test ends.
func (u *endlessUpstream) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u.listener = listener
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				u.serve(conn)
			})
		}
	})
	t.Cleanup(func() { listener.Close(); group.Wait() })
}

func (u *endlessUpstream) serve(conn net.Conn) {
	u.unused.Add(1)
	req, err := http.ReadRequest(bufio.NewReader(conn))
	u.unused.Add(-1)
	if err != nil {
		return
	}
	u.open.Add(1)
	defer u.open.Add(-1)
	if !u.ignoresBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	u.requests.Add(1)
	if _, err := io.WriteString(conn, strings.ReplaceAll(u.head, "ID", req.Header.Get("T-Id"))); err != nil {
		return
	}
	block := []byte(u.repeated)
	if u.pause == 0 {
		block = bytes.Repeat(block, max(1, 16<<10/len(block)))
	}
	for {
		n, err := conn.Write(block)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(u.pause)
	}
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Stamp: stamp\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunkOfDot = "1\r\n.\r\n"
)

// endlessAnswers are answers with bytes that never end.
var endlessAnswers = []struct {
	desc, path, head, repeated string
	pause                      time.Duration
}{
	{"header line", "/many/x", okHead + "X-Long: ", ".", 0},
	{"header lines", "/many/x", okHead, "X-Many: value\r\n", 0},
	{"interim responses", "/many/x", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n", 0},
	{"no response line", "/many/x", "", ".", 0},
	{"body without a length", "/many/x", okHead + "Connection: close\r\n\r\n", ".", 0},
	{"chunked body", "/many/x", okHead + "Transfer-Encoding: chunked\r\n\r\n", chunkOfDot, 0},
	{"body of a failure", "/many/x", "HTTP/1.1 500 Oops\r\nT-Id: ID\r\nT-Stamp: stamp\r\n\r\n", ".", 0},
	{"body of a rejection", "/many/x", "HTTP/1.1 503 Full\r\nT-Id: ID\r\nT-Not-Run: 1\r\n\r\n", ".", 0},
	{"chunk extension", "/many/x", okHead + "Transfer-Encoding: chunked\r\n\r\n1;", ".", 0},
	{"trailer", "/many/x", okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunkOfDot + "0\r\n", "X-Many: value\r\n", 0},
	{"header line of one byte at a time", "/many/x", okHead + "X-Long: ", ".", 20 * time.Millisecond},
	{"body of one byte at a time", "/many/x", okHead + "Connection: close\r\n\r\n", ".", 20 * time.Millisecond},
	{"stream without an event", "/fixed/x", streamHead, chunkOfDot, 0},
	{"stream of blank lines", "/fixed/x", streamHead, "1\r\n\n\r\n", 0},
	{"stream of comments", "/fixed/x", streamHead, "7\r\n: ping\n\r\n2\r\n\n\n\r\n", 0},
	{"stream of blank lines after an event", "/fixed/x", streamHead + "1a\r\nid: 1\ndata: 0123456789ab\n\n\r\n", "1\r\n\n\r\n", 0},
	{"stream of comments, one at a time", "/fixed/x", streamHead, "8\r\n: ping\n\n\r\n", 20 * time.Millisecond},
}

// Bytes that are no answer and don't end, from many upstreams' answers at a time, took up to 10 MB of memory a head
// and 16 MB a body. Memory and time are bounded, the connections closed, the callers told, and no request is
// quarantined.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const (
		atATime = 100
		// maxHeapGrowth is what a host with 284 MB can spare, in bytes.
		maxHeapGrowth = 96 << 20
		// maxTime is far above the callers' deadline of 1.5 s.
		maxTime = 20 * time.Second
	)
	for _, answer := range endlessAnswers {
		t.Run(answer.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			u := startEndlessUpstream(t, answer.head, answer.repeated, answer.pause)
			tg.gateway.fleet.ApplyEntry(Upstream{ID: "u1", Service: "svc", Zone: "z1", Version: "v1", Address: u.listener.Addr().String(), Slots: 2 * atATime}, 1)

			stopSampling, growth := sampleHeap()
			began := time.Now()
			var group sync.WaitGroup
			var complete atomic.Int64
			for range atATime {
				req := tg.newRequest("POST", answer.path, "body")
				group.Go(func() {
					resp, err := tg.client.Do(req)
					if err != nil {
						return
					}
					defer resp.Body.Close()
					if _, err := io.Copy(io.Discard, resp.Body); err == nil && isSuccess(resp.StatusCode) {
						complete.Add(1)
					}
				})
			}
			group.Wait()
			took := time.Since(began)
			stopSampling()
			t.Logf("%s, heap grew by %d kB, %d requests, %d kB sent, %d unused connections", took.Round(time.Millisecond), growth.Load()>>10, u.requests.Load(), u.sent.Load()>>10, u.unused.Load())
			is.Equal(complete.Load(), int64(0))
			is.True(took <= maxTime)
			is.True(growth.Load() <= maxHeapGrowth)
			eventually(t, "connections closed", func() bool { return u.open.Load() == 0 })

			// The requests weren't to blame: the same one runs at a sound upstream.
			tg.gateway.fleet.RemoveEntry("u1", 2, false)
			tg.startUpstream("u2", func(w http.ResponseWriter, req *http.Request) {
				if strings.HasPrefix(answer.path, "/fixed") {
					streamEvents(1, 2, false)(w, req)
					return
				}
				respondOK("sound")(w, req)
			})
			got := tg.do(tg.newRequest("POST", answer.path, "body"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
		})
	}
}

// The same while an upload is being written that the upstream doesn't read.
func TestEndlessAnswersToUploadsAreBounded(t *testing.T) {
	// maxHeapGrowth is the memory of two uploads, which are copied while they are read, and of two answers.
	const maxHeapGrowth = 2 * (3*uploadBytes + 2*maxBufferedAnswer)
	for _, answer := range endlessAnswers {
		if answer.pause > 0 {
			continue
		}
		t.Run(answer.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, uploadDocument())
			u := &endlessUpstream{head: answer.head, repeated: answer.repeated, ignoresBody: true}
			u.start(t)
			tg.gateway.fleet.ApplyEntry(Upstream{ID: "u1", Service: "svc", Zone: "z1", Version: "v1", Address: u.listener.Addr().String(), Slots: 8}, 1)
			stopSampling, growth := sampleHeap()
			var group sync.WaitGroup
			for range 2 {
				req := tg.newRequest("POST", answer.path, strings.Repeat("b", uploadBytes), "T-Deadline", "5000")
				group.Go(func() {
					resp, err := tg.client.Do(req)
					if err != nil {
						return
					}
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					is.True(err != nil || !isSuccess(resp.StatusCode))
				})
			}
			group.Wait()
			stopSampling()
			is.True(growth.Load() <= maxHeapGrowth)
			eventually(t, "connections closed", func() bool { return u.open.Load() == 0 })
		})
	}
}

// sampleHeap records the largest growth of the heap, in bytes, until stop is called.
func sampleHeap() (stop func(), growth *atomic.Int64) {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	runtime.GC()
	before := heap()
	growth = new(atomic.Int64)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				growth.Store(max(growth.Load(), heap()-before))
			}
		}
	}()
	return func() { close(done); <-stopped }, growth
}

// Bytes after a complete answer on a kept connection belong to no request: the connection is closed.
func TestBytesAfterAnAnswerEndItsConnection(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	u := startEndlessUpstream(t, okHead+"Content-Length: 5\r\n\r\nsound", ".", 0)
	tg.gateway.fleet.ApplyEntry(Upstream{ID: "u1", Service: "svc", Zone: "z1", Version: "v1", Address: u.listener.Addr().String(), Slots: 8}, 1)
	for i := range 20 {
		got := tg.do(tg.newRequest("POST", "/once/x", "body"))
		is.NoErr(got.err)
		if got.status == http.StatusOK {
			is.Equal(got.body, "sound")
			continue
		}
		t.Log(fmt.Sprint("request ", i, ": ", got.status))
	}
	eventually(t, "connections closed", func() bool { return u.open.Load() == 0 })
}

// The calls that aren't callers' end as well: status checks, requests to copy a run, and requests to free a copy.
func TestEndlessAnswersToOtherCallsEnd(t *testing.T) {
	for _, answer := range []struct {
		desc, head string
		pause      time.Duration
	}{
		{"header line", okHead + "X-Long: ", 0},
		{"body", okHead + "\r\n", 0},
		{"body of one byte at a time", okHead + "\r\n", 10 * time.Millisecond},
	} {
		t.Run(answer.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			g := tg.gateway
			g.settings.RunCopies = testRunCopies()
			u := startEndlessUpstream(t, answer.head, ".", answer.pause)
			source := Upstream{ID: "u1", Service: "svc", Zone: "z1", Version: "v1", Address: u.listener.Addr().String()}
			closed := func() bool { return u.requests.Load() > 0 && u.open.Load() == 0 }
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()

			_ = g.egress.probe(ctx, g.egress.dialDirect, probeTarget{address: source.Address, healthPath: "/health"})
			eventually(t, "the status check's connection closed", closed)

			mover := &streamMover{ctx: ctx, attempt: &attempt{gateway: g, request: &Request{ID: "r1"}, choice: choice{upstream: source}}}
			_, _, err := mover.requestCopy(&Upstream{Address: "127.0.0.1:1"}, 500*time.Millisecond)
			is.True(err != nil)
			eventually(t, "the copy's connection closed", closed)

			sent := u.requests.Load()
			g.freeUnusedCopy(&choice{continueFrom: &runCopy{source: source, handle: "h"}}, &attemptResult{outcome: outcomeRefused})
			eventually(t, "request to free the copy sent", func() bool { return u.requests.Load() > sent })
			eventually(t, "its connection closed", closed)
		})
	}
}
