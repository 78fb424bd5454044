package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer for log lines that can be read while a gateway writes to it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// slowStream streams the events from 1 to last, with a pause after each.
func slowStream(pause time.Duration, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		for i := 1; i <= last; i++ {
			_, _ = io.WriteString(w, eventText(i))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-req.Context().Done():
				return
			}
		}
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A planned stop waits for answers in progress. An answer that isn't complete by the time limit of
// the stop is cut off, and the log states the stop as the cause rather than the caller.
func TestPlannedStop(t *testing.T) {
	tests := []struct {
		desc   string
		events int
		cut    bool
		log    string
	}{
		{"answer that ends in time", 4, false, `"result":"ok"`},
		{"answer that outlasts the stop", 1000, true, "the planned stop's time was over"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			for i := range doc.Routes {
				doc.Routes[i].Timeout = time.Minute
			}
			tg := newTestGateway(t, doc)
			tg.startUpstream("a", slowStream(100*time.Millisecond, test.events))
			var log lockedBuffer
			g := tg.gateway
			g.log = zerolog.New(&log)
			g.settings.CallerAddress, g.settings.ReadyAddress = freePort(t), freePort(t)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- g.Run(ctx) }()
			eventually(t, "the gateway listens", func() bool {
				conn, err := net.Dial("tcp", g.settings.CallerAddress)
				if err == nil {
					conn.Close()
				}
				return err == nil
			})
			req := tg.newRequest("POST", "/stream/x", "body", "T-Deadline", "60000")
			req.URL.Host = g.settings.CallerAddress
			answered := make(chan callerAnswer)
			go func() { answered <- tg.do(req) }()
			time.Sleep(150 * time.Millisecond)
			stop()
			got := <-answered
			is.Equal(got.err != nil, test.cut)
			is.NoErr(<-ended)
			eventually(t, "the log states the result", func() bool { return strings.Contains(log.String(), test.log) })
			is.True(!strings.Contains(log.String(), "caller-gone"))
		})
	}
}
