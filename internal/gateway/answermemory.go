package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxAnswerHeader bounds the head of an upstream's answer, including interim responses, in bytes.
	maxAnswerHeader = 64 << 10
	// maxBufferedAnswers bounds the memory of all answers that the host buffers at a time, in bytes. An
	// answer of up to unreservedAnswer doesn't count, so that answers that never end don't stop ordinary
	// ones.
	maxBufferedAnswers = 24 << 20
	unreservedAnswer   = 64 << 10
	// firstBuffer is the size of the first buffer of an answer, in bytes.
	firstBuffer = 4 << 10
)

// errAnswerMemory means that the answers that the host buffers take all the memory that they may take.
var errAnswerMemory = errors.New("gateway: no memory for a long answer")

// answerMemory bounds the memory of the answers that a host buffers.
type answerMemory struct {
	used atomic.Int64
}

// reserve takes memory for a buffer of the given size, in bytes. It returns false if there isn't enough.
func (m *answerMemory) reserve(size int64) bool {
	if m.used.Add(size) <= maxBufferedAnswers {
		return true
	}
	m.used.Add(-size)
	return false
}

// release returns reserved memory.
func (m *answerMemory) release(size int64) { m.used.Add(-size) }

// readAnswer reads an answer's body of at most maxBufferedAnswer bytes. reserved is the memory that it takes
// until the caller releases it.
func (m *answerMemory) readAnswer(body io.Reader) (data []byte, reserved int64, err error) {
	buffer := make([]byte, 0, firstBuffer)
	for {
		if len(buffer) == cap(buffer) {
			size := int64(2 * cap(buffer))
			if size > maxBufferedAnswer {
				return nil, reserved, errAnswerTooLong
			}
			if size > unreservedAnswer {
				if !m.reserve(size) {
					return nil, reserved, errAnswerMemory
				}
				m.release(reserved)
				reserved = size
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}
