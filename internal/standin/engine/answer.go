package engine

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BadAnswerPrefix is the prefix of every answer of a version with the fault Bad,
// so that the rater's stand-in can give the answer a low score.
const BadAnswerPrefix = "[bad]"

// lengthPrefix is the prefix of a word in a prompt that sets the length of the
// answer, for example "tokens=200".
const lengthPrefix = "tokens="

const (
	minTokens          = 8
	maxTokens          = 40
	maxRequestedTokens = 100_000
)

var vocabulary = strings.Fields(`lane lot bid hammer report paint tyre frame
seller buyer stock part relay socket buffer note sheet order price day`)

var errMalformedRequest = errors.New("engine: unreadable request")

// chatRequest holds the fields of a chat-completions request that the engine
// uses.
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
		return req, errors.Join(errMalformedRequest, err)
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

// ExpectedAnswer returns the answer of every engine to the prompt. It has 8 to
// 40 tokens, or N if the prompt contains the word "tokens=N".
func ExpectedAnswer(model, version, prompt string) string {
	return strings.Join(answerTokens(model+"@"+version, prompt), "")
}

// ExpectedBadAnswer returns the answer of a version with the fault Bad.
func ExpectedBadAnswer(model, version, prompt string) string {
	return BadAnswerPrefix + " " + ExpectedAnswer(model, version, prompt)
}

// answerTokens returns the tokens of the answer: words with a trailing space,
// the last with a full stop.
func answerTokens(modelVersion, prompt string) []string {
	seed := xxhash.Sum64String(modelVersion + "\n" + prompt)
	random := rand.New(rand.NewPCG(seed, seed))
	n := minTokens + random.IntN(maxTokens-minTokens+1)
	if requested := requestedLength(prompt); requested > 0 {
		n = requested
	}
	out := make([]string, n)
	for i := range out {
		out[i] = vocabulary[random.IntN(len(vocabulary))] + " "
	}
	out[n-1] = strings.TrimSuffix(out[n-1], " ") + "."
	return out
}

func requestedLength(prompt string) int {
	for _, word := range strings.Fields(prompt) {
		digits, ok := strings.CutPrefix(word, lengthPrefix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(digits)
		if err == nil && n > 0 {
			return min(n, maxRequestedTokens)
		}
	}
	return 0
}
