package gateway

import (
	"errors"
	"io"

	"github.com/quetzalweir/quetzalweir/intake"
)

const (
	// maxAnswerHeader bounds the head of an upstream's answer, including interim responses, in bytes.
	maxAnswerHeader = 64 << 10
	// firstBuffer is the size of the first buffer of an answer, in bytes.
	firstBuffer = 4 << 10
)

// errAnswerMemory means that callers take all the memory that they may take.
var errAnswerMemory = errors.New("gateway: no memory for the answer")

// readAnswer reads an answer's body of at most maxBufferedAnswer bytes. Its memory is accounted for the
// caller's connection until the request ends.
func (r *Request) readAnswer(body io.Reader) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := int64(max(firstBuffer, 2*cap(buffer)))
			if size > maxBufferedAnswer {
				return nil, errAnswerTooLong
			}
			if !r.conn.Reserve(intake.ForAnswer, size) {
				return nil, errAnswerMemory
			}
			released := int64(cap(buffer))
			buffer = append(make([]byte, 0, size), buffer...)
			r.conn.Release(intake.ForAnswer, released)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
