package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Parts of server-sent events.
var (
	eventData = []byte("data: ")
	eventEnd  = []byte("\n\n")
	streamEnd = []byte("data: [DONE]\n\n")
)

// outcomeTrailers lists the trailers of a streamed answer, for the Trailer header.
const outcomeTrailers = headerRunState + ", " + headerResultCode

// chatSink writes a chat answer to the caller. If the caller asked for a stream, it
// writes each frame as it arrives. Otherwise it writes the complete answer at the end.
type chatSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	started bool
	text    strings.Builder
	// completion is the complete answer as JSON. It is set once all frames have
	// arrived, or by Replay, which gets a complete answer instead of frames.
	completion []byte
	eventBuf   []byte
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
		s.startStream(r)
	}
	return s.writeEvent(f.Data)
}

func (s *chatSink) startStream(r *Request) {
	h := s.w.Header()
	setRequestHeaders(h, r)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcomeTrailers)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
}

func (s *chatSink) writeEvent(data []byte) error {
	s.eventBuf = append(s.eventBuf[:0], eventData...)
	s.eventBuf = append(s.eventBuf, data...)
	s.eventBuf = append(s.eventBuf, eventEnd...)
	return s.write(s.eventBuf)
}

func (s *chatSink) write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}

// Service implements Sink. It does nothing: chat requests don't call services.
func (s *chatSink) Service(*Request, upstream.ServiceResponse) {}

// Started implements Sink.
func (s *chatSink) Started() bool { return s.started }

// Reset implements Sink.
func (s *chatSink) Reset() { s.text.Reset() }

// Text implements Sink.
func (s *chatSink) Text() string { return s.text.String() }

// Answer implements Sink.
func (s *chatSink) Answer(r *Request) upstream.ServiceResponse {
	s.buildCompletion(r)
	return jsonAnswer(s.completion)
}

// Replay implements Sink.
func (s *chatSink) Replay(_ *Request, answer upstream.ServiceResponse) {
	s.completion = answer.Body
}

// buildCompletion encodes the complete answer after the last frame.
func (s *chatSink) buildCompletion(r *Request) {
	if s.completion != nil {
		return
	}
	s.completion, _ = json.Marshal(newCompletion(r, s.text.String()))
}

// finish writes the complete answer, or the end of the stream.
func (s *chatSink) finish(r *Request) {
	if s.stream {
		s.finishStream(r)
		return
	}
	s.buildCompletion(r)
	h := s.w.Header()
	setRequestHeaders(h, r)
	setResultHeaders(h, r, resultcode.OK)
	h.Set("Content-Type", "application/json")
	s.w.WriteHeader(http.StatusOK)
	_, _ = s.w.Write(s.completion)
}

func (s *chatSink) finishStream(r *Request) {
	if !s.started {
		s.buildCompletion(r)
		s.startStream(r)
		_ = s.writeEvent(replayChunk(s.completion))
	}
	setResultHeaders(s.w.Header(), r, resultcode.OK)
	_ = s.write(streamEnd)
}

// abort ends a stream that can't be completed: it writes an error event and breaks
// the connection without the end-of-stream marker.
func (s *chatSink) abort(r *Request, err error) {
	e := r.reportedError(err)
	body, _ := json.Marshal(newErrorResponse(r, e))
	_, _ = s.w.Write([]byte("event: error\n"))
	_ = s.writeEvent(body)
	panic(http.ErrAbortHandler)
}

// completion is a complete chat-completions answer.
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

// replayChunk converts a complete answer to a chunk. The chunk is the only one of the
// stream if the caller asked for a stream and the answer is a replay.
func replayChunk(answer []byte) []byte {
	var c completion
	if json.Unmarshal(answer, &c) != nil || len(c.Choices) == 0 {
		return answer
	}
	c.Object = "chat.completion.chunk"
	c.Choices[0].Delta = c.Choices[0].Message
	c.Choices[0].Message = nil
	chunk, _ := json.Marshal(c)
	return chunk
}
