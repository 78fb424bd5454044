package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
)

const endMark = "[DONE]"

// job is one run and its answer, which grows while it is read.
type job struct {
	requestID string
	versioned string
	cancel    context.CancelFunc

	mu sync.Mutex
	// frames are the data of the events; the one at index i has number i+1.
	frames [][]byte
	done   bool
	// grown is closed and replaced when the answer grows.
	grown chan struct{}
}

func newJob(requestID, versioned string, cancel context.CancelFunc) *job {
	return &job{requestID: requestID, versioned: versioned, cancel: cancel, grown: make(chan struct{})}
}

func (j *job) append(data []byte, last bool) {
	j.mu.Lock()
	j.frames = append(j.frames, data)
	j.done = last
	close(j.grown)
	j.grown = make(chan struct{})
	j.mu.Unlock()
}

// from returns the frames above number n, whether the last of them ends the
// answer, and a channel that is closed when there are more.
func (j *job) from(n int) (frames [][]byte, done bool, grown <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.frames[min(n, len(j.frames)):], j.done, j.grown
}

func (j *job) eventID(number int) string {
	return j.requestID + ":" + strconv.Itoa(number)
}

// Types of a chunk of an answer.
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
		Model:   j.versioned,
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
	j.append([]byte(endMark), true)
}
