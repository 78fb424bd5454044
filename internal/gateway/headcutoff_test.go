package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// An upstream that ends within the head of its answer closes the connection there. The caller must not get that as a
// complete answer, whichever byte was the last.
func TestAnswerWhoseHeadIsCutOffIsIncomplete(t *testing.T) {
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nT-Id: " + id + "\r\nT-Stamp: stamp\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n"
	}
	for _, path := range []string{"/once/x", "/many/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			var cut atomic.Int64 // the number of bytes that are sent
			tg.startUpstream("u1", func(w http.ResponseWriter, req *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				text := head(req.Header.Get("T-Id"))
				buffer.WriteString(text[:min(int(cut.Load()), len(text))])
				buffer.Flush()
			})
			for sent := range len(head("r100")) + 1 {
				cut.Store(int64(sent))
				tg.gateway.fleet.forgetFailures()
				got := tg.do(tg.newRequest("POST", path, fmt.Sprint("body ", sent)))
				is.True(got.err != nil || got.status >= http.StatusInternalServerError) // neither success nor an empty answer
			}
		})
	}
}
