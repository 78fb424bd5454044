package logline

import (
	"io"
	"strconv"
	"sync"

	"github.com/buger/jsonparser"
	"github.com/rs/zerolog"
)

// pairWriter converts zerolog's events, which are flat JSON objects, into lines of key=value
// pairs: time, level and message first, then the other fields in their order. It avoids
// reflection, since each request writes several lines.
type pairWriter struct {
	out io.Writer
}

// Write implements io.Writer. It takes one event and writes one line.
func (w *pairWriter) Write(event []byte) (int, error) {
	l := linePool.Get().(*line)
	defer linePool.Put(l)
	l.format(event)
	if _, err := w.out.Write(l.text); err != nil {
		return 0, err
	}
	return len(event), nil
}

// leading lists the fields at the start of a line.
var leadingFields = [...]string{
	zerolog.TimestampFieldName,
	zerolog.LevelFieldName,
	zerolog.MessageFieldName,
}

// keyMalformed is the only key of a line whose event isn't valid JSON.
const keyMalformed = "malformed"

// line holds the buffers for formatting one line.
type line struct {
	text []byte
	// leadingPairs holds the pairs of the leading fields, otherPairs those of all others, each
	// pair followed by a space.
	leadingPairs [len(leadingFields)][]byte
	otherPairs   []byte
	// add is the line's addPair method as a function value, created once because creating it
	// for each event would allocate memory.
	add func(key, value []byte, kind jsonparser.ValueType, offset int) error
}

var linePool = sync.Pool{New: func() any {
	l := &line{}
	l.add = l.addPair
	return l
}}

// format formats the event as a line.
func (l *line) format(event []byte) {
	l.reset()
	if err := jsonparser.ObjectEach(event, l.add); err != nil {
		l.reset()
		l.otherPairs = appendPair(l.otherPairs, []byte(keyMalformed), event, jsonparser.Unknown)
	}
	for _, pair := range l.leadingPairs {
		l.text = append(l.text, pair...)
	}
	l.text = append(l.text, l.otherPairs...)
	if n := len(l.text); n > 0 {
		l.text = l.text[:n-1]
	}
	l.text = append(l.text, '\n')
}

func (l *line) reset() {
	l.text = l.text[:0]
	l.otherPairs = l.otherPairs[:0]
	for i := range l.leadingPairs {
		l.leadingPairs[i] = l.leadingPairs[i][:0]
	}
}

// addPair adds one field of an event to the line's pairs.
func (l *line) addPair(key, value []byte, kind jsonparser.ValueType, _ int) error {
	for i, name := range leadingFields {
		if string(key) == name {
			l.leadingPairs[i] = appendPair(l.leadingPairs[i][:0], key, value, kind)
			return nil
		}
	}
	l.otherPairs = appendPair(l.otherPairs, key, value, kind)
	return nil
}

// appendPair appends key=value and a space.
func appendPair(dst, key, value []byte, kind jsonparser.ValueType) []byte {
	dst = appendKey(dst, key)
	dst = append(dst, '=')
	if kind == jsonparser.String {
		dst = appendString(dst, value)
	} else {
		dst = appendText(dst, value)
	}
	return append(dst, ' ')
}

// appendKey appends a key, with _ in place of each character that could be taken for the end of
// the key.
func appendKey(dst, key []byte) []byte {
	for _, c := range key {
		if !isPlain(c) {
			c = '_'
		}
		dst = append(dst, c)
	}
	return dst
}

// appendString appends the value of a JSON string, in quotes if necessary. Printable ASCII
// without escapes is the same in JSON and in Go syntax.
func appendString(dst, escaped []byte) []byte {
	switch {
	case allBytes(escaped, isPlain) && len(escaped) > 0:
		return append(dst, escaped...)
	case allBytes(escaped, isVerbatim):
		dst = append(dst, '"')
		dst = append(dst, escaped...)
		return append(dst, '"')
	}
	text, err := jsonparser.Unescape(escaped, nil)
	if err != nil {
		text = escaped
	}
	return strconv.AppendQuote(dst, string(text))
}

// appendText appends a number, a boolean, or the JSON of any other value.
func appendText(dst, text []byte) []byte {
	if allBytes(text, isPlain) && len(text) > 0 {
		return append(dst, text...)
	}
	return strconv.AppendQuote(dst, string(text))
}

func allBytes(text []byte, ok func(byte) bool) bool {
	for _, c := range text {
		if !ok(c) {
			return false
		}
	}
	return true
}

// isVerbatim reports whether a quoted string may contain the byte unescaped.
func isVerbatim(c byte) bool {
	return c >= ' ' && c <= '~' && c != '"' && c != '\\'
}

// isPlain reports whether an unquoted value may contain the byte.
func isPlain(c byte) bool {
	return isVerbatim(c) && c != ' ' && c != '='
}
