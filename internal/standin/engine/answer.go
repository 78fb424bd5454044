package engine

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BadMark begins each answer of a version that a fault makes bad, so that a
// stand-in of the rater can give it a low score.
const BadMark = "[bad]"

// lengthPrefix begins the word of a prompt that sets the answer's length, for
// example "tokens=200".
const lengthPrefix = "tokens="

const (
	minTokens = 8
	maxTokens = 40
	tokenCap  = 100_000
)

var vocabulary = strings.Fields(`lane lot bid hammer report paint tyre frame
seller buyer stock part relay socket buffer note sheet order price day`)

var errRequest = errors.New("engine: unreadable request")

// chatRequest is the part of a chat-completions request that counts here.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func parseRequest(body []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, errors.Join(errRequest, err)
	}
	return req, nil
}

func (r chatRequest) prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// ExpectedAnswer returns the text that every engine gives for the prompt. It
// has 8 to 40 tokens, or N if the prompt has the word "tokens=N".
func ExpectedAnswer(model, version, prompt string) string {
	return strings.Join(answerTokens(model+"@"+version, prompt), "")
}

// ExpectedBadAnswer returns the text that a version made bad gives.
func ExpectedBadAnswer(model, version, prompt string) string {
	return BadMark + " " + ExpectedAnswer(model, version, prompt)
}

// answerTokens returns the answer's tokens, each a word with its space.
func answerTokens(versioned, prompt string) []string {
	seed := xxhash.Sum64String(versioned + "\n" + prompt)
	random := rand.New(rand.NewPCG(seed, seed))
	n := minTokens + random.IntN(maxTokens-minTokens+1)
	if fixed := fixedLength(prompt); fixed > 0 {
		n = fixed
	}
	out := make([]string, n)
	for i := range out {
		out[i] = vocabulary[random.IntN(len(vocabulary))] + " "
	}
	out[n-1] = strings.TrimSuffix(out[n-1], " ") + "."
	return out
}

func fixedLength(prompt string) int {
	for _, word := range strings.Fields(prompt) {
		digits, ok := strings.CutPrefix(word, lengthPrefix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(digits)
		if err == nil && n > 0 {
			return min(n, tokenCap)
		}
	}
	return 0
}
