package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/buger/jsonparser"
)

// Fields of a chat-completions request that the client overrides.
const (
	fieldModel         = "model"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
)

// streamFields enables streaming and requests token usage in the last chunk.
const streamFields = `,"stream":true,"stream_options":{"include_usage":true}`

// jsonSpace lists the whitespace characters of JSON (RFC 8259, section 2).
const jsonSpace = " \t\r\n"

// requestBody returns body with the model set to "model@version" and streaming
// enabled. All other fields are copied as raw bytes in their original order.
// Overridden fields are matched case-insensitively and every occurrence is
// removed, because an engine with a lenient JSON decoder could otherwise run a
// model other than the selected one.
func requestBody(body []byte, model, version string) ([]byte, error) {
	body = bytes.Trim(body, jsonSpace)
	if len(body) == 0 || body[0] != '{' || !json.Valid(body) {
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
	err = jsonparser.ObjectEach(body, func(key, value []byte, kind jsonparser.ValueType, _ int) error {
		return copyField(&out, key, value, kind)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBody, err)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// copyField writes a field to out unless the client overrides it. The escapes in
// key are already decoded. value is raw JSON, except that a string comes without
// its quotes.
func copyField(out *bytes.Buffer, key, value []byte, kind jsonparser.ValueType) error {
	if isOverridden(string(key)) {
		return nil
	}
	quoted, err := json.Marshal(string(key))
	if err != nil {
		return err
	}
	out.WriteByte(',')
	out.Write(quoted)
	out.WriteByte(':')
	if kind != jsonparser.String {
		out.Write(value)
		return nil
	}
	out.WriteByte('"')
	out.Write(value)
	out.WriteByte('"')
	return nil
}

// VersionedModel returns the model name in the form "model@version", which
// engines expect.
func VersionedModel(model, version string) string {
	return model + "@" + version
}

func isOverridden(key string) bool {
	for _, name := range []string{fieldModel, fieldStream, fieldStreamOptions} {
		if strings.EqualFold(key, name) {
			return true
		}
	}
	return false
}
