package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/standin/rawserver"
)

// Operators see which upstream sent a broken answer and what was wrong with it, in a bounded log line and a counter.
func TestFaultOfABrokenAnswerIsLogged(t *testing.T) {
	for _, test := range []struct{ fault, path, text string }{
		{"status", "/once/x", "HTTP/1.1 000 Broken\r\nT-Id: ID\r\nContent-Length: 2\r\n\r\nxx"},
		{"version", "/once/x", "HTTP/9.9 200 OK\r\nT-Id: ID\r\nContent-Length: 2\r\n\r\nxx"},
		{"field-name", "/once/x", okHead + strings.Repeat("X ", 10_000) + "Bad: 1\r\nContent-Length: 2\r\n\r\nxx"},
		{"malformed", "/once/x", strings.Repeat("no answer ", 1000)},
		{"malformed", "/fixed/x", okHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{"cut-off", "/once/x", okHead + "Content-Length: 4\r\n\r\nxx"},
		{"cut-off", "/fixed/x", okHead + "\r\nid: 1\ndata: e"},
		{"cut-off", "/once/x", ""},
		{"other-request", "/once/x", "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Stamp: stamp\r\nContent-Length: 2\r\n\r\nxx"},
		{"protocol", "/once/x", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 2\r\n\r\nxx"},
		{"too-long", "/fixed/x", okHead + "\r\nid: " + strings.Repeat("1", 2*maxEvent)},
	} {
		t.Run(test.fault+test.path, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			var log lockedBuffer
			tg.gateway.log = zerolog.New(&log)
			tg.startRaw("u1", rawserver.Answer{Text: test.text, Ending: rawserver.Close})
			_ = tg.do(tg.newRequest("POST", test.path, "body"))
			counter := fmt.Sprintf("quetzalweir_gateway_broken_answers_total{service=\"svc\",fault=%q} 1\n", test.fault)
			eventually(t, "the fault is counted", func() bool {
				var metrics bytes.Buffer
				tg.gateway.metrics.write(&metrics)
				return strings.Contains(metrics.String(), counter)
			})
			found := false
			for line := range strings.Lines(log.String()) {
				found = found || strings.Contains(line, fmt.Sprintf(`"fault":%q`, test.fault)) && strings.Contains(line, `"upstream":"u1"`)
				is.True(len(line) < 4<<10)
			}
			is.True(found)
		})
	}
}
