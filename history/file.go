package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrOrder means that the sequence numbers of a record's events have a gap, or
// that their sequence numbers or times are out of order.
var ErrOrder = errors.New("history: events out of order")

// Write writes events as JSON, one per line.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("history: write: %w", err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("history: write: %w", err)
	}
	return nil
}

// Read reads the output of Write. It returns ErrOrder for a gap or events out of
// order, because checking only a part of a record could miss violations.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var e Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("history: read event %d: %w", len(events)+1, err)
		}
		if !isNext(events, e) {
			return nil, fmt.Errorf("%w: at event %d", ErrOrder, len(events)+1)
		}
		events = append(events, e)
	}
}

func isNext(events []Event, e Event) bool {
	if e.Seq != uint64(len(events))+1 {
		return false
	}
	return len(events) == 0 || e.At >= events[len(events)-1].At
}
