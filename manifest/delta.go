package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrDelta means that a delta can't be applied to a text.
var ErrDelta = errors.New("manifest: bad delta")

// delta makes one canonical text out of another, line by line. As each entry
// of a document's lists has a line of its own, a change of one account costs
// about that account's line.
type delta struct {
	Steps []deltaStep `json:"steps"`
}

// deltaStep copies the lines from From up to, not including, To of the base,
// and then adds Text.
type deltaStep struct {
	From int    `json:"from,omitempty"`
	To   int    `json:"to,omitempty"`
	Text string `json:"text,omitempty"`
}

// Delta returns what ApplyDelta needs to make target out of base.
func Delta(base, target []byte) []byte {
	lines := splitLines(base)
	index := make(map[string]int, len(lines))
	for i, line := range lines {
		index[string(line)] = i
	}
	b := deltaBuilder{}
	for _, line := range splitLines(target) {
		b.add(lines, index, line)
	}
	data, err := json.Marshal(b.delta())
	if err != nil {
		panic("manifest: encode delta: " + err.Error()) // plain structs only
	}
	return data
}

func splitLines(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte{'\n'})
}

type deltaBuilder struct{ steps []openStep }

// openStep is a deltaStep whose text still grows.
type openStep struct {
	from, to int
	text     []byte
}

// add extends the last step by a line where that is possible.
func (b *deltaBuilder) add(base [][]byte, index map[string]int, line []byte) {
	if len(b.steps) == 0 {
		b.steps = append(b.steps, openStep{})
	}
	last := &b.steps[len(b.steps)-1]
	copies := len(last.text) == 0 && last.to > 0 && last.to < len(base)
	i, found := index[string(line)]
	switch {
	case copies && bytes.Equal(base[last.to], line):
		last.to++
	case found:
		b.steps = append(b.steps, openStep{from: i, to: i + 1})
	default:
		last.text = append(last.text, line...)
	}
}

func (b *deltaBuilder) delta() delta {
	d := delta{Steps: make([]deltaStep, len(b.steps))}
	for i, step := range b.steps {
		d.Steps[i] = deltaStep{From: step.from, To: step.to, Text: string(step.text)}
	}
	return d
}

// ApplyDelta returns the target of a delta that was made from base. It does
// not say whether base was the right one: the digest of the result does.
func ApplyDelta(base, data []byte) ([]byte, error) {
	var d delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	lines := splitLines(base)
	var out bytes.Buffer
	for _, step := range d.Steps {
		if step.From < 0 || step.To < step.From || step.To > len(lines) {
			return nil, fmt.Errorf("%w: lines %d to %d of %d", ErrDelta, step.From, step.To, len(lines))
		}
		for _, line := range lines[step.From:step.To] {
			out.Write(line)
		}
		out.WriteString(step.Text)
		if out.Len() > MaxBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrDelta, MaxBytes)
		}
	}
	return out.Bytes(), nil
}
