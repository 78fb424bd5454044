package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// chatFrontend implements the chat-completions HTTP API, with server-sent events
// for streamed answers.
type chatFrontend struct {
	// maxBody is the maximum size of a request's body, in bytes.
	maxBody int64
}

// chatRequest holds the fields of a chat-completions request that routing needs.
// The body is forwarded unchanged.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Decode implements Frontend.
func (f *chatFrontend) Decode(w http.ResponseWriter, req *http.Request) (*Request, error) {
	r, err := newRequest(req, KindModel)
	if err != nil {
		return r, err
	}
	r.Repeatable = req.Header.Get(headerRepeatable) != "no"
	r.Body, err = readBody(w, req, f.maxBody)
	if err != nil {
		return r, err
	}
	var body chatRequest
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return r, resultcode.Wrap(resultcode.MalformedBody, err, "the body isn't a chat-completions request: %v", err)
	}
	if err := checkDuplicateKeys(r.Body); err != nil {
		return r, err
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return r, resultcode.New(resultcode.MalformedBody, "the body needs model and messages")
	}
	r.Route = body.Model
	r.Prompt = promptText(body.Messages)
	r.Sink = newChatSink(w, body.Stream)
	return r, nil
}

// promptText returns the concatenated roles and texts of the messages, which are used
// to match prefixes and to rate the answer.
func promptText(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// contentText returns the text of a message. Content that consists of parts is
// returned as JSON.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// Finish implements Frontend.
func (f *chatFrontend) Finish(w http.ResponseWriter, r *Request, err error) {
	sink, ok := r.Sink.(*chatSink)
	switch {
	case ok && err == nil:
		sink.finish(r)
	case ok && sink.Started():
		sink.abort(r, err)
	default:
		writeError(w, r, err)
	}
}

func readBody(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, resultcode.Wrap(resultcode.BodyTooLarge, err, "the body is over %d bytes", limit)
	}
	if err != nil {
		return nil, resultcode.Wrap(resultcode.MalformedBody, err, "the body couldn't be read")
	}
	return body, nil
}

// jsonAnswer returns a complete model answer in the form that is stored for
// repeats of the request.
func jsonAnswer(body []byte) upstream.ServiceResponse {
	header := http.Header{"Content-Type": {"application/json"}}
	return upstream.ServiceResponse{Status: http.StatusOK, Header: header, Body: body}
}
