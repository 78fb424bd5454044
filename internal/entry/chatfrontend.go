package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
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
func (f *chatFrontend) Decode(w http.ResponseWriter, req *http.Request, conn *httpintake.Conn) (*Request, error) {
	r, err := newRequest(req, KindModel)
	if err != nil {
		return r, err
	}
	r.Conn = conn
	r.Repeatable = req.Header.Get(headerRepeatable) != "no"
	r.Body, err = readBody(w, req, conn, f.maxBody)
	if err != nil {
		return r, err
	}
	if !conn.Reserve(intake.ForRequest, decodedCopies*int64(len(r.Body))) {
		return r, resultcode.New(resultcode.HostMemory, "the host has no memory to decode the request")
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

// decodedCopies is the number of copies of a body that its decoding makes: the contents of its messages, their
// texts and the prompt.
const decodedCopies = 3

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

// readBody reads the body of a request and accounts its memory.
func readBody(w http.ResponseWriter, req *http.Request, conn *httpintake.Conn, limit int64) ([]byte, error) {
	body, err := conn.ReadBody(w, req, limit, bodyTimeout)
	if err != nil {
		return nil, httpintake.BodyRefusal(err)
	}
	return body, nil
}

// jsonAnswer returns a complete model answer in the form that is stored for
// repeats of the request.
func jsonAnswer(body []byte) upstream.ServiceResponse {
	header := http.Header{"Content-Type": {"application/json"}}
	return upstream.ServiceResponse{Status: http.StatusOK, Header: header, Body: body}
}
