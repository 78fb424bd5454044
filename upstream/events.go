package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// event is one server-sent event. Its slices are valid until the next read.
type event struct {
	id   []byte
	data []byte
}

// eventReader reads server-sent events (WHATWG HTML, section 9.2) of bounded
// size. It keeps its buffers from event to event.
type eventReader struct {
	reader *bufio.Reader
	// limit bounds the bytes of one event, line ends and comments included.
	limit int
	size  int
	line  []byte
	id    []byte
	data  []byte
}

const eventBuffer = 8 << 10

func newEventReader(r io.Reader, limit int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer), limit: limit}
}

// next returns the next event with data. An event that the stream's end cuts
// is not returned: io.EOF stands for a clean end between events,
// io.ErrUnexpectedEOF for one inside an event.
func (r *eventReader) next() (event, error) {
	r.reset()
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) > 0 {
			hasData = r.field(line, hasData) || hasData
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

// field takes one line into the event and says whether it held data.
func (r *eventReader) field(line []byte, hasData bool) bool {
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

// readLine returns the next line without its end, which is LF or CRLF.
func (r *eventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		r.size += len(part)
		if r.size > r.limit {
			return nil, fmt.Errorf("%w: event over %d bytes", ErrTooLarge, r.limit)
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
