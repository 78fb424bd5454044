package logline

import (
	"io"
	"strconv"
	"sync"

	"github.com/buger/jsonparser"
	"github.com/rs/zerolog"
)

// pairWriter turns zerolog's events, flat JSON objects, into lines of
// key=value pairs: time, level and message first, then the fields in the order
// in which the event got them. It does without reflection, since each request
// writes several lines.
type pairWriter struct {
	out io.Writer
}

// Write implements io.Writer. It takes one event and writes one line.
func (w *pairWriter) Write(event []byte) (int, error) {
	l := lines.Get().(*line)
	defer lines.Put(l)
	l.format(event)
	if _, err := w.out.Write(l.text); err != nil {
		return 0, err
	}
	return len(event), nil
}

// leading are the fields that start a line.
var leading = [...]string{
	zerolog.TimestampFieldName,
	zerolog.LevelFieldName,
	zerolog.MessageFieldName,
}

// keyMalformed is the one key of a line whose event isn't valid JSON.
const keyMalformed = "malformed"

// line holds the buffers of one line.
type line struct {
	text []byte
	// lead are the pairs of the leading fields, rest those of all others, each
	// pair with a space behind it.
	lead [len(leading)][]byte
	rest []byte
	// add is the line's addPair, bound once, so that no event allocates it.
	add func(key, value []byte, kind jsonparser.ValueType, offset int) error
}

var lines = sync.Pool{New: func() any {
	l := &line{}
	l.add = l.addPair
	return l
}}

// format makes the text of the event's line.
func (l *line) format(event []byte) {
	l.reset()
	if err := jsonparser.ObjectEach(event, l.add); err != nil {
		l.reset()
		l.rest = appendPair(l.rest, []byte(keyMalformed), event, jsonparser.Unknown)
	}
	for _, pair := range l.lead {
		l.text = append(l.text, pair...)
	}
	l.text = append(l.text, l.rest...)
	if n := len(l.text); n > 0 {
		l.text = l.text[:n-1]
	}
	l.text = append(l.text, '\n')
}

func (l *line) reset() {
	l.text = l.text[:0]
	l.rest = l.rest[:0]
	for i := range l.lead {
		l.lead[i] = l.lead[i][:0]
	}
}

// addPair takes one field of an event.
func (l *line) addPair(key, value []byte, kind jsonparser.ValueType, _ int) error {
	for i, name := range leading {
		if string(key) == name {
			l.lead[i] = appendPair(l.lead[i][:0], key, value, kind)
			return nil
		}
	}
	l.rest = appendPair(l.rest, key, value, kind)
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

// appendKey replaces what could be taken for the end of a key.
func appendKey(dst, key []byte) []byte {
	for _, c := range key {
		if !isPlain(c) {
			c = '_'
		}
		dst = append(dst, c)
	}
	return dst
}

// appendString appends the value of a JSON string. Printable ASCII without
// escapes reads the same in JSON and in Go.
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

// appendText appends a number, a truth value, or the JSON of anything else.
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

// isVerbatim says that a quoted text may hold the byte as it is.
func isVerbatim(c byte) bool {
	return c >= ' ' && c <= '~' && c != '"' && c != '\\'
}

// isPlain says that a text may hold the byte without quotes around it.
func isPlain(c byte) bool {
	return isVerbatim(c) && c != ' ' && c != '='
}
