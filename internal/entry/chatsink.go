package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Wire forms of server-sent events.
var (
	eventData = []byte("data: ")
	eventEnd  = []byte("\n\n")
	endMark   = []byte("data: [DONE]\n\n")
)

// outcomeTrailers announces the trailers of a streamed answer.
const outcomeTrailers = headerRunState + ", " + headerResultCode

// chatSink writes a chat answer: frame by frame when the caller asked for a
// stream, else whole at the end.
type chatSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	started bool
	text    strings.Builder
	// whole is set when a whole answer stands in for frames, in a replay.
	whole []byte
	line  []byte
}

func newChatSink(w http.ResponseWriter, stream bool) *chatSink {
	return &chatSink{w: w, control: http.NewResponseController(w), stream: stream}
}

// Frame implements Sink.
func (s *chatSink) Frame(r *Request, f upstream.Frame) error {
	s.text.WriteString(f.Text)
	if !s.stream {
		return nil
	}
	if !s.started {
		s.begin(r)
	}
	return s.event(f.Data)
}

func (s *chatSink) begin(r *Request) {
	h := s.w.Header()
	setDecided(h, r)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcomeTrailers)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
}

func (s *chatSink) event(data []byte) error {
	s.line = append(s.line[:0], eventData...)
	s.line = append(s.line, data...)
	s.line = append(s.line, eventEnd...)
	return s.write(s.line)
}

func (s *chatSink) write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}

// Service implements Sink; a chat answer is never one of a service.
func (s *chatSink) Service(*Request, upstream.ServiceAnswer) {}

// Started implements Sink.
func (s *chatSink) Started() bool { return s.started }

// Reset implements Sink.
func (s *chatSink) Reset() { s.text.Reset() }

// Text implements Sink.
func (s *chatSink) Text() string { return s.text.String() }

// Answer implements Sink.
func (s *chatSink) Answer(r *Request) upstream.ServiceAnswer {
	s.seal(r)
	return jsonAnswer(s.whole)
}

// Replay implements Sink.
func (s *chatSink) Replay(_ *Request, answer upstream.ServiceAnswer) {
	s.whole = answer.Body
}

// seal makes the whole answer, once the last frame is in.
func (s *chatSink) seal(r *Request) {
	if s.whole != nil {
		return
	}
	s.whole, _ = json.Marshal(newCompletion(r, s.text.String()))
}

// finish writes the end of a whole answer.
func (s *chatSink) finish(r *Request) {
	if s.stream {
		s.finishStream(r)
		return
	}
	s.seal(r)
	h := s.w.Header()
	setDecided(h, r)
	setOutcome(h, r, resultcode.OK)
	h.Set("Content-Type", "application/json")
	s.w.WriteHeader(http.StatusOK)
	_, _ = s.w.Write(s.whole)
}

func (s *chatSink) finishStream(r *Request) {
	if !s.started {
		s.seal(r)
		s.begin(r)
		_ = s.event(replayChunk(s.whole))
	}
	setOutcome(s.w.Header(), r, resultcode.OK)
	_ = s.write(endMark)
}

// abort ends a stream that can't be completed: the caller gets an error event
// and trailers, then a broken connection, never the end mark.
func (s *chatSink) abort(r *Request, err error) {
	e := resultcode.ForState(resultcode.From(err), r.state.State())
	body, _ := json.Marshal(newRefusal(r, e))
	_, _ = s.w.Write([]byte("event: error\n"))
	_ = s.event(body)
	panic(http.ErrAbortHandler)
}

// completion is a whole chat-completions answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newCompletion(r *Request, text string) completion {
	return completion{
		ID:      r.ID,
		Object:  "chat.completion",
		Created: r.Arrived.Unix(),
		Model:   r.Model + "@" + r.Version.Name,
		Choices: []completionChoice{{
			Message:      &completionMessage{Role: "assistant", Content: text},
			FinishReason: "stop",
		}},
		Usage: completionUsage{
			PromptTokens:     r.Usage.PromptTokens,
			CompletionTokens: r.Usage.CompletionTokens,
			TotalTokens:      r.Usage.PromptTokens + r.Usage.CompletionTokens,
		},
	}
}

// replayChunk turns a whole answer into the one chunk of a streamed replay.
func replayChunk(whole []byte) []byte {
	var c completion
	if json.Unmarshal(whole, &c) != nil || len(c.Choices) == 0 {
		return whole
	}
	c.Object = "chat.completion.chunk"
	c.Choices[0].Delta = c.Choices[0].Message
	c.Choices[0].Message = nil
	chunk, _ := json.Marshal(c)
	return chunk
}
