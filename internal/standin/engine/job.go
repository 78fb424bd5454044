package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
)

const endOfStream = "[DONE]"

// job is one run and its answer, which can be read while the run appends to it.
type job struct {
	requestID    string
	modelVersion string
	cancel       context.CancelFunc

	mu sync.Mutex
	// frames holds the data of the frames generated so far; frames[i] has number
	// i+1.
	frames [][]byte
	done   bool
	// changed is closed and replaced when a frame is appended.
	changed chan struct{}
}

func newJob(requestID, modelVersion string, cancel context.CancelFunc) *job {
	return &job{requestID: requestID, modelVersion: modelVersion, cancel: cancel, changed: make(chan struct{})}
}

func (j *job) append(data []byte, last bool) {
	j.mu.Lock()
	j.frames = append(j.frames, data)
	j.done = last
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
}

// framesAfter returns the frames with numbers above n, whether the answer is
// complete, and a channel that is closed when another frame is appended.
func (j *job) framesAfter(n int) (frames [][]byte, done bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.frames[min(n, len(j.frames)):], j.done, j.changed
}

func (j *job) eventID(number int) string {
	return j.requestID + ":" + strconv.Itoa(number)
}

// The JSON types of a chat-completions chunk.
type (
	chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	}
	delta struct {
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		Details          promptDetails `json:"prompt_tokens_details"`
	}
	promptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

func (j *job) chunk(choices []choice, u *usage) []byte {
	data, err := json.Marshal(chunk{
		ID:      j.requestID,
		Object:  "chat.completion.chunk",
		Model:   j.modelVersion,
		Choices: choices,
		Usage:   u,
	})
	if err != nil {
		panic(err) // the types above always marshal
	}
	return data
}

func (j *job) appendToken(token string) {
	j.append(j.chunk([]choice{{Delta: delta{Content: token}}}, nil), false)
}

func (j *job) appendEnd(u usage) {
	j.append(j.chunk([]choice{}, &u), false)
	j.append([]byte(endOfStream), true)
}
