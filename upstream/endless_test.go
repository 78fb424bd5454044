package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// startEndless starts a server that answers a request with head and then sends repeated, with the given pause
// between two writes, until the connection is closed. open is the number of connections on which it does.
func startEndless(t *testing.T, head, repeated string, pause time.Duration) (target Target, open *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open = new(atomic.Int64)
	var group sync.WaitGroup
	serve := func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		open.Add(1)
		defer open.Add(-1)
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, head)
		block := []byte(repeated)
		if pause == 0 {
			block = bytes.Repeat(block, max(1, 16<<10/len(block)))
		}
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() { listener.Close(); group.Wait() })
	return Target{ID: "e1", Address: listener.Addr().String()}, open
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// Bytes that are no answer and don't end are read up to a limit or for a limited time, and their connections are
// closed.
func TestEndlessAnswersOfEnginesEnd(t *testing.T) {
	const (
		okHead = "HTTP/1.1 200 OK\r\n" + HeaderModelVersion + ": m@v\r\n"
		chunk  = "1\r\n.\r\n"
		pause  = 10 * time.Millisecond
	)
	tests := []struct {
		desc, head, repeated string
		pause                time.Duration
	}{
		{"no response line", "", ".", 0},
		{"header line", okHead + "X-Long: ", ".", 0},
		{"header lines", okHead, "X-Many: value\r\n", 0},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n", 0},
		{"body of a failure", "HTTP/1.1 500 Oops\r\n\r\n", ".", 0},
		{"body of a failure of one byte at a time", "HTTP/1.1 500 Oops\r\n\r\n", ".", pause},
		{"chunk extension", okHead + chunkedHead + "1;", ".", 0},
		{"stream without an event", okHead + chunkedHead, chunk, 0},
		{"stream of blank lines", okHead + chunkedHead, "1\r\n\n\r\n", 0},
		{"stream of comments", okHead + chunkedHead, "8\r\n: ping\n\n\r\n", 0},
		{"stream of comments, one at a time", okHead + chunkedHead, "8\r\n: ping\n\n\r\n", pause},
		{"stream of foreign events", okHead + chunkedHead, "13\r\nid: r9:1\ndata: x\n\n\n\r\n", 0},
		{"stream of foreign events, one at a time", okHead + chunkedHead, "13\r\nid: r9:1\ndata: x\n\n\n\r\n", pause},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			target, open := startEndless(t, test.head, test.repeated, test.pause)
			e := NewEngine(EngineOptions{FrameTimeout: time.Second, StallTimeout: 300 * time.Millisecond, MaxFrame: 64 << 10})
			defer e.Close()
			// The client ends the call by its own limits, long before this deadline.
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var state runstate.Tracker
			s, err := e.Open(ctx, target, testCall(), &state)
			if err == nil {
				_, err = readAll(s)
			}
			is.True(err != nil)
			is.NoErr(ctx.Err())
			eventuallyZero(t, open)
		})
	}
}

// A head that doesn't end is waited for until the caller's deadline, as one that doesn't come.
func TestEndlessHeadEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	target, open := startEndless(t, "HTTP/1.1 200 OK\r\nX-Long: ", ".", 10*time.Millisecond)
	e := NewEngine(EngineOptions{})
	defer e.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	var state runstate.Tracker
	_, err := e.Open(ctx, target, testCall(), &state)
	is.True(err != nil)
	eventuallyZero(t, open)
}

// The same of services, whose answers are bounded by the caller's deadline and by MaxBody.
func TestEndlessAnswersOfServicesEnd(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r1\r\n"
	tests := []struct {
		desc, head, repeated string
		pause                time.Duration
	}{
		{"no response line", "", ".", 0},
		{"header line", okHead + "X-Long: ", ".", 0},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n", 0},
		{"body without a length", okHead + "\r\n", ".", 0},
		{"chunked body", okHead + chunkedHead, "1\r\n.\r\n", 0},
		{"body of a failure", "HTTP/1.1 500 Oops\r\n" + HeaderRequestID + ": r1\r\n\r\n", ".", 0},
		{"trailer", okHead + chunkedHead + "1\r\n.\r\n0\r\n", "X-Many: value\r\n", 0},
		{"chunked body of one byte at a time", okHead + chunkedHead, "1\r\n.\r\n", 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			target, open := startEndless(t, test.head, test.repeated, test.pause)
			c := NewService(ServiceOptions{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var state runstate.Tracker
			_, err := c.Do(ctx, target, ServiceCall{RequestID: "r1", Method: "POST", Path: "/x"}, &state)
			is.True(err != nil)
			eventuallyZero(t, open)
		})
	}
}

func eventuallyZero(t *testing.T, n *atomic.Int64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); n.Load() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open", n.Load())
		}
	}
}
