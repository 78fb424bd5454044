package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// event is one server-sent event. Its slices are valid until the next call of
// eventReader.next.
type event struct {
	id   []byte
	data []byte
}

// eventReader reads server-sent events (WHATWG HTML, section 9.2) of limited
// size. It uses the same buffers for all events.
type eventReader struct {
	reader *bufio.Reader
	// maxSize limits the size of one event, in bytes, including line ends and
	// comments.
	maxSize int
	size    int
	line    []byte
	id      []byte
	data    []byte
}

const eventBufferSize = 8 << 10

func newEventReader(r io.Reader, maxSize int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferSize), maxSize: maxSize}
}

// next returns the next event that has data. A truncated event is not returned:
// the error is io.EOF if the stream ends between events and
// io.ErrUnexpectedEOF if it ends inside an event.
func (r *eventReader) next() (event, error) {
	r.reset()
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) > 0 {
			hasData = r.parseField(line, hasData) || hasData
			continue
		}
		if hasData {
			return event{id: r.id, data: r.data}, nil
		}
		r.reset()
	}
}

func (r *eventReader) reset() {
	r.size = 0
	r.id = r.id[:0]
	r.data = r.data[:0]
}

// parseField adds one line to the event and reports whether the line is a data
// field. hasData is true if the event already has a data field.
func (r *eventReader) parseField(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		r.id = append(r.id[:0], value...)
	case "data":
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		return true
	}
	return false
}

// readLine returns the next line without its line terminator, LF or CRLF.
func (r *eventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		r.size += len(part)
		if r.size > r.maxSize {
			return nil, fmt.Errorf("%w: event exceeds %d bytes", ErrTooLarge, r.maxSize)
		}
		if err == nil && len(r.line) == 0 {
			return trimLineEnd(part), nil
		}
		r.line = append(r.line, part...)
		if err == nil {
			return trimLineEnd(r.line), nil
		}
		if err == io.EOF && r.size > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'})
}
