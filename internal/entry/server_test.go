package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller got no answer, or a stream without its end, if more time than the write timeout passed between the
// last write and the end of the handler: the server wrote the rest after the deadline of that write.
func TestWriteTimeoutStartsAgainAtTheEndOfTheHandler(t *testing.T) {
	const timeout = 50 * time.Millisecond
	tests := []struct {
		desc    string
		flushes bool
	}{
		{"complete answer", false},
		{"stream", true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(withWriteTimeout(timeout, func(caller *callerWriter, _ *http.Request) {
				_, _ = io.WriteString(caller, "answer")
				time.Sleep(2 * timeout)
				if test.flushes {
					is.NoErr(caller.FlushError())
					time.Sleep(2 * timeout)
				}
			}))
			defer server.Close()
			resp, err := http.Get(server.URL)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "answer")
		})
	}
}
