package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// testCall returns the call that the engine tests send.
func testCall() Call {
	return Call{RequestID: "r1", Model: "m", Version: "v", Body: []byte(`{"model":"x","messages":[]}`)}
}

// serve starts a server for the test and returns its target.
func serve(t testing.TB, handler http.HandlerFunc) Target {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return Target{ID: "e1", Address: srv.Listener.Addr().String()}
}

func writeChunk(w io.Writer, requestID string, seq int, text string) {
	fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", requestID, seq, text)
}

func writeEnd(w io.Writer, requestID string, seq int) {
	fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":1}}}\n\n", requestID, seq)
	fmt.Fprintf(w, "id: %s:%d\ndata: [DONE]\n\n", requestID, seq+1)
}

// readAll reads the stream to its end and returns its text.
func readAll(s Stream) (text string, err error) {
	for {
		frame, err := s.Next()
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += frame.Text
	}
}

func TestOpenStreamsWholeAnswer(t *testing.T) {
	is := is.New(t)
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		is.Equal(string(body), `{"model":"m@v","stream":true,"stream_options":{"include_usage":true},"messages":[]}`)
		w.Header().Set(HeaderModelVersion, "m@v")
		w.Header().Set(HeaderLoad, "1/2/3")
		writeChunk(w, "r1", 1, "a ")
		writeChunk(w, "r1", 2, "b")
		writeEnd(w, "r1", 3)
	})
	e := NewEngine(EngineOptions{})
	defer e.Close()
	var state runstate.Tracker
	s, err := e.Open(t.Context(), target, testCall(), &state)
	is.NoErr(err)
	text, err := readAll(s)
	is.NoErr(err)
	is.Equal(text, "a b")
	is.Equal(s.Usage(), Usage{PromptTokens: 3, CompletionTokens: 2, CachedTokens: 1})
	is.Equal(state.State(), runstate.Ran)
	load, ok := s.Load()
	is.True(ok)
	is.Equal(load, Load{Running: 1, Queued: 2, Capacity: 3})
}
