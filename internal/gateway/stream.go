package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errEventOrder means that a stream's events don't go on where they should.
var errEventOrder = errors.New("gateway: events out of order")

// errCallerWrite means that the caller no longer takes the answer.
var errCallerWrite = errors.New("gateway: write to the caller")

// event is one event of a stream with the blank line that ends it.
type event struct {
	id   string
	text []byte
}

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
}

// next returns the next whole event. At the end of the stream it returns
// io.EOF; if that comes within an event, io.ErrUnexpectedEOF.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			ev.text = append(ev.text, line...)
			if len(ev.text) > maxEvent {
				return event{}, errTooLong
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.text)+len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		ev.text = append(ev.text, line...)
		content := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(content) == 0 {
			return ev, nil
		}
	}
}

// stream runs an attempt whose answer is passed on event by event.
func (a *attempt) stream(ctx context.Context, accept func(attemptResult) bool) attemptResult {
	resp, err := a.send(ctx)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer resp.Body.Close()
	if !success(resp.StatusCode) || a.notRun(resp) {
		return a.readWhole(ctx, resp)
	}
	a.state.Raise(runstate.Ran)
	result := a.head(resp)
	a.gateway.fleet.began(&a.choice, result.firstByte)
	if !accept(result) {
		result.outcome = outcomeAbandoned
		result.err = errLowConfidence
		return result
	}
	result.err = a.relay(resp, &result)
	switch {
	case result.err == nil:
		result.outcome = outcomeDone
	case a.idle.expired():
		result.outcome, result.err = outcomeSilent, errSilent
	case ctx.Err() != nil || errors.Is(result.err, errCallerWrite):
		result.outcome = outcomeAbandoned
	default:
		result.outcome = outcomeBroken
	}
	return result
}

// errLowConfidence means that the answer was dropped before the caller had any
// of it, because another model is likely to do better.
var errLowConfidence = errors.New("gateway: confidence below the threshold")

// relay passes events on until the stream ends.
func (a *attempt) relay(resp *http.Response, result *attemptResult) error {
	events := eventReader{reader: bufio.NewReader(resp.Body)}
	out := a.request.answer
	limit, longest := a.pauseLimit(), time.Duration(0)
	defer func() { a.gateway.pauses.of(a.request.timesKey()).observe(longest) }()
	for {
		asked := time.Now()
		a.idle.start(limit)
		ev, err := events.next()
		a.idle.stop() // a caller that takes its time is no silence of the upstream
		longest = max(longest, time.Since(asked))
		if errors.Is(err, io.EOF) {
			// A stream without events is an answer all the same.
			return out.begin(resp.StatusCode, resp.Header)
		}
		if err != nil {
			return err
		}
		if result.firstByte = a.firstByte(result.firstByte, out); out.passed(ev) {
			continue
		}
		if err := out.follows(ev); err != nil {
			return err
		}
		if err := out.begin(resp.StatusCode, resp.Header); err != nil {
			return err
		}
		if err := out.event(ev); err != nil {
			return err
		}
	}
}

// firstByte keeps the time to the first event.
func (a *attempt) firstByte(known time.Duration, out *answerWriter) time.Duration {
	if out.events > 0 {
		return known
	}
	return time.Since(a.began)
}

// eventNumber reads an event's id; ok is false where it isn't a number.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// passed says that the caller has the event already.
func (w *answerWriter) passed(ev event) bool {
	n, ok := eventNumber(ev.id)
	last, known := eventNumber(w.lastEventID)
	return ok && known && n <= last
}

// follows checks that no event is missing before this one.
func (w *answerWriter) follows(ev event) error {
	n, ok := eventNumber(ev.id)
	last, known := eventNumber(w.lastEventID)
	if ok && known && n != last+1 {
		return fmt.Errorf("%w: %d after %d", errEventOrder, n, last)
	}
	return nil
}
