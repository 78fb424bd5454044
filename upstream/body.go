package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Fields of a chat-completions request that the client sets itself.
const (
	fieldModel         = "model"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
)

// streamFields switches streaming on, with the usage in the last chunk.
const streamFields = `,"stream":true,"stream_options":{"include_usage":true}`

// requestBody returns body with the model "model@version" and streaming on.
// All other fields are copied as raw bytes. Names are compared without case
// and a field given twice counts once, so that an engine with a lenient
// decoder can't be led to another model than the one that was decided on.
func requestBody(body []byte, model, version string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBody, err)
	}
	if fields == nil {
		return nil, ErrBody
	}
	name, err := json.Marshal(VersionedModel(model, version))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBody, err)
	}
	var out bytes.Buffer
	out.Grow(len(body) + len(name) + len(streamFields) + len(`{"model":}`))
	out.WriteString(`{"model":`)
	out.Write(name)
	out.WriteString(streamFields)
	for _, key := range sortedKeys(fields) {
		if overridden(key) {
			continue
		}
		quoted, err := json.Marshal(key)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBody, err)
		}
		out.WriteByte(',')
		out.Write(quoted)
		out.WriteByte(':')
		out.Write(fields[key])
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// VersionedModel returns the name "model@version" that engines use.
func VersionedModel(model, version string) string {
	return model + "@" + version
}

func overridden(key string) bool {
	for _, name := range []string{fieldModel, fieldStream, fieldStreamOptions} {
		if strings.EqualFold(key, name) {
			return true
		}
	}
	return false
}

func sortedKeys(fields map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
