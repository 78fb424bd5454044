package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrInvalidDelta means that a delta can't be applied to the base text.
var ErrInvalidDelta = errors.New("manifest: invalid delta")

// delta describes how to build one canonical text, the target, from lines of
// another, the base. As each entry of a document's lists has its own line, the
// delta of a change to one account is about as long as that account's line.
type delta struct {
	Steps []deltaStep `json:"steps"`
}

// deltaStep copies the lines From up to, but not including, To of the base and
// then appends Text.
type deltaStep struct {
	From int    `json:"from,omitempty"`
	To   int    `json:"to,omitempty"`
	Text string `json:"text,omitempty"`
}

// Delta returns the encoded delta from which ApplyDelta builds target out of base.
func Delta(base, target []byte) []byte {
	lines := splitLines(base)
	baseIndex := make(map[string]int, len(lines))
	for i, line := range lines {
		baseIndex[string(line)] = i
	}
	b := deltaBuilder{}
	for _, line := range splitLines(target) {
		b.addLine(lines, baseIndex, line)
	}
	data, err := json.Marshal(b.delta())
	if err != nil {
		panic("manifest: encode delta: " + err.Error()) // can't happen: integers and strings only
	}
	return data
}

func splitLines(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte{'\n'})
}

type deltaBuilder struct{ steps []stepBuilder }

// stepBuilder is a deltaStep that may still be extended.
type stepBuilder struct {
	from, to int
	text     []byte
}

// addLine adds a line of the target: it extends the copied range or the text of
// the last step if possible, and starts a new step otherwise.
func (b *deltaBuilder) addLine(base [][]byte, baseIndex map[string]int, line []byte) {
	if len(b.steps) == 0 {
		b.steps = append(b.steps, stepBuilder{})
	}
	last := &b.steps[len(b.steps)-1]
	copying := len(last.text) == 0 && last.to > 0 && last.to < len(base)
	i, found := baseIndex[string(line)]
	switch {
	case copying && bytes.Equal(base[last.to], line):
		last.to++
	case found:
		b.steps = append(b.steps, stepBuilder{from: i, to: i + 1})
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

// ApplyDelta returns the target of a delta between base and that target. It
// doesn't verify that base is the text that the delta was made from; the caller
// verifies that by the digest of the result.
func ApplyDelta(base, data []byte) ([]byte, error) {
	var d delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidDelta, err)
	}
	lines := splitLines(base)
	var out bytes.Buffer
	for _, step := range d.Steps {
		if step.From < 0 || step.To < step.From || step.To > len(lines) {
			return nil, fmt.Errorf("%w: lines %d to %d of a base of %d lines", ErrInvalidDelta, step.From, step.To, len(lines))
		}
		for _, line := range lines[step.From:step.To] {
			out.Write(line)
		}
		out.WriteString(step.Text)
		if out.Len() > MaxDocumentBytes {
			return nil, fmt.Errorf("%w: the result has more than %d bytes", ErrInvalidDelta, MaxDocumentBytes)
		}
	}
	return out.Bytes(), nil
}
