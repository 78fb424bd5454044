package upstream

import (
	"bytes"

	"github.com/buger/jsonparser"
)

var usageKey = []byte(`"usage"`)

// chunkText returns the delta content of the first choice, or "" if the chunk
// has none.
func chunkText(data []byte) string {
	text, err := jsonparser.GetString(data, "choices", "[0]", "delta", "content")
	if err != nil {
		return ""
	}
	return text
}

// chunkUsage returns the token usage in a chunk; ok is false if the chunk has
// none.
func chunkUsage(data []byte) (usage Usage, ok bool) {
	if !bytes.Contains(data, usageKey) {
		return Usage{}, false
	}
	object, kind, _, err := jsonparser.Get(data, "usage")
	if err != nil || kind != jsonparser.Object {
		return Usage{}, false
	}
	usage.PromptTokens = tokenCount(object, "prompt_tokens")
	usage.CompletionTokens = tokenCount(object, "completion_tokens")
	usage.CachedTokens = tokenCount(object, "prompt_tokens_details", "cached_tokens")
	return usage, true
}

// tokenCount returns the number at path, or 0 if it is missing or negative.
func tokenCount(object []byte, path ...string) int {
	n, err := jsonparser.GetInt(object, path...)
	if err != nil || n < 0 {
		return 0
	}
	return int(n)
}
