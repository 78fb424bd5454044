// Package latebody has request bodies of callers that send the end of a body late.
package latebody

import (
	"io"
	"time"
)

// Body is a body whose last byte is sent at a given time.
type Body struct {
	text  string
	endAt time.Time
}

// New returns a body with the text, whose last byte is sent at the given time.
func New(text string, endAt time.Time) *Body { return &Body{text: text, endAt: endAt} }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.text) == 0 {
		return 0, io.EOF
	}
	if len(b.text) == 1 {
		time.Sleep(time.Until(b.endAt))
	}
	n := copy(p, b.text[:max(1, len(b.text)-1)])
	b.text = b.text[n:]
	return n, nil
}
