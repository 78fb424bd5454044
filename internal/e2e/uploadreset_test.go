package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listenAndReset starts an upstream that reads the head of a request, answers at once with a part of a body that has no
// length, and resets the connection while the request's body is still being sent. It returns the upstream's address and
// the number of requests.
func listenAndReset(t *testing.T, delay time.Duration) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = new(atomic.Int64)
	var group sync.WaitGroup
	answer := func(conn *net.TCPConn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		requests.Add(1)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp\r\n\r\npart of the answer", req.Header.Get("X-Attempt-Id"))
		time.Sleep(delay)
		_ = conn.SetLinger(0) // makes Close reset the connection
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { answer(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() { listener.Close(); group.Wait() })
	return listener.Addr().String(), requests
}

// Callers of a gateway got a part of an answer as the whole: the reset of an upstream's connection was reported to the
// write of the upload, so that the read of the answer saw an ordinary end.
func TestUploadWhoseConnectionIsResetGetsNoPartAsTheWhole(t *testing.T) {
	const (
		uploadBytes = 8 << 20 // more than the system buffers for a connection
		repeats     = 10
	)
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			s := newGatewaySystem(t, 1, 1)
			s.document["routes"] = append(s.document["routes"].([]any), testRoute("upload-once", "non_idempotent", "uploads"), testRoute("upload-many", "idempotent", "uploads"))
			s.document["services"] = append(s.document["services"].([]any), map[string]any{"name": "uploads"})
			s.document["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 2 * uploadBytes}
			s.publish(2)
			address, requests := listenAndReset(t, delay)
			entry, err := json.Marshal(map[string]any{"service": "uploads", "address": address, "zone": zone(0), "version": "v1", "slots": 64, "state": "available", "sequence": 1, "cold_remaining_ms": 0})
			if err != nil {
				t.Fatal(err)
			}
			s.store.Put("servers", "uploads-1", entry)
			h := s.gateways[0]
			body := strings.Repeat("b", uploadBytes)
			eventually(t, "the route is in force", func() bool { _ = s.sendBody(h, "upload-once", "key-a", "small"); return requests.Load() > 0 })
			for range repeats {
				is := is.New(t)
				before := requests.Load()
				got := s.sendBody(h, "upload-once", "key-a", body)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.retryAfter, "")
				is.Equal(requests.Load(), before+1) // not sent again
				got = s.sendBody(h, "upload-many", "key-a", body)
				is.True(got.err != nil || got.status == http.StatusBadGateway)
			}
		})
	}
}
