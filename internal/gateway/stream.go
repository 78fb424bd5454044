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

const (
	// maxEvent bounds one event of a stream, in bytes. Events hold a few tokens.
	maxEvent = 256 << 10
	// maxEmptyEvents bounds the blank lines and comments between two events of a stream, in bytes.
	maxEmptyEvents = 64 << 10
)

// errNoEvents means that a stream consists of blank lines and comments.
var errNoEvents = errors.New("gateway: the stream has too many blank lines and comments")

// errEventOrder means that the ids of a stream's events aren't consecutive.
var errEventOrder = errors.New("gateway: events out of order")

// errCallerWrite means that the answer couldn't be written to the caller.
var errCallerWrite = errors.New("gateway: writing to the caller")

// event is one event of a stream including the blank line that ends it.
type event struct {
	id   string
	text []byte
}

// isEmpty reports whether the event consists of a blank line and comments.
func (ev *event) isEmpty() bool {
	for line := range bytes.Lines(ev.text) {
		if line[0] != ':' && line[0] != '\r' && line[0] != '\n' {
			return false
		}
	}
	return true
}

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
}

// next returns the next whole event. It returns io.EOF if the stream ended after an event, and
// io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := r.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			ev.text = append(ev.text, line...)
			if len(ev.text) > maxEvent {
				return event{}, errAnswerTooLong
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

// nextWithContent returns the next event that isn't empty. Empty ones before it are passed on if the caller has
// received an event.
func (r *eventReader) nextWithContent(out *answerWriter) (event, error) {
	for size := 0; ; {
		ev, err := r.next()
		if err != nil || !ev.isEmpty() {
			return ev, err
		}
		if size += len(ev.text); size > maxEmptyEvents {
			return event{}, errNoEvents
		}
		if err := out.writeEmptyEvent(ev); err != nil {
			return event{}, err
		}
	}
}

// runStream runs an attempt whose answer is passed on event by event. accept decides by the
// answer's head whether the answer is passed on at all.
func (a *attempt) runStream(ctx context.Context, accept func(attemptResult) bool) attemptResult {
	resp, err := a.send(ctx)
	if err != nil {
		return a.failureResult(ctx, err)
	}
	defer resp.Body.Close()
	if !isSuccess(resp.StatusCode) || a.notRun(resp) {
		return a.readBuffered(ctx, resp)
	}
	a.runState.Raise(runstate.Ran)
	result := a.parseHead(resp)
	a.gateway.fleet.headReceived(&a.choice, result.firstByte)
	a.gateway.fleet.headLoadReceived(&a.choice, result.load)
	if !accept(result) {
		result.outcome = outcomeAbandoned
		result.err = errLowConfidence
		return result
	}
	result.err = a.relay(resp, &result)
	switch {
	case result.err == nil:
		result.outcome = outcomeDone
	case errors.Is(result.err, errStreamMoved):
		result.outcome = outcomeAbandoned
	case a.idleTimer.expired():
		result.outcome, result.err = outcomeSilent, errResponseTimeout
	case ctx.Err() != nil || errors.Is(result.err, errCallerWrite):
		result.outcome = outcomeAbandoned
	default:
		result.outcome = outcomeBroken
	}
	return result
}

// errLowConfidence means that the answer was dropped before any of it was sent to the caller,
// because its confidence was too low and the request is to run on a better model.
var errLowConfidence = errors.New("gateway: confidence below the threshold")

// relay passes the stream's events on to the caller until the stream ends, without those that the
// caller has received from an earlier attempt. It sets result.firstByte.
func (a *attempt) relay(resp *http.Response, result *attemptResult) error {
	events := eventReader{reader: bufio.NewReader(resp.Body)}
	out := a.request.answer
	limit, longest := a.pauseLimit(), time.Duration(0)
	mover := a.gateway.newStreamMover(resp.Request.Context(), a)
	defer mover.end()
	defer func() { a.gateway.streamPauses.get(a.request.responseTimeKey()).observe(longest) }()
	pace := eventPace{attempt: a}
	for {
		waitStart := time.Now()
		a.idleTimer.start(limit)
		mover.startWait(out)
		ev, err := events.nextWithContent(out)
		a.idleTimer.stop() // the caller's read time doesn't count as the upstream's idle time
		waited := time.Since(waitStart)
		longest = max(longest, waited)
		if errors.Is(err, io.EOF) {
			if err := mover.complete(out); err != nil {
				return err
			}
			// A stream without events is a valid answer.
			return out.writeHead(resp.StatusCode, resp.Header)
		}
		if err != nil {
			if mover.end() {
				return errStreamMoved
			}
			return err
		}
		mover.endWait()
		pace.observe(waited)
		if result.firstByte = a.timeToFirstEvent(result.firstByte, out); out.alreadySent(ev) {
			continue
		}
		if err := out.checkSequence(ev); err != nil {
			return err
		}
		if err := out.writeHead(resp.StatusCode, resp.Header); err != nil {
			return err
		}
		if err := out.writeEvent(ev); err != nil {
			return err
		}
	}
}

// eventPace observes the times of a stream's first events as evidence on the upstream's version.
type eventPace struct {
	attempt *attempt
	events  int
	// waited is the time waited for the events after the first.
	waited time.Duration
}

// observe records an event, given the time waited for it.
func (p *eventPace) observe(waited time.Duration) {
	a := p.attempt
	p.events++
	if p.events == 1 {
		a.gateway.rollouts.observeFirstEvent(a.request, &a.choice, time.Since(a.startedAt))
		return
	}
	p.waited += waited
	if p.events == gapEvents {
		a.gateway.rollouts.observeEventGap(a.request, &a.choice, p.waited/(gapEvents-1))
	}
}

// timeToFirstEvent returns the time since the attempt began, or current if an event of the answer
// was passed on already.
func (a *attempt) timeToFirstEvent(current time.Duration, out *answerWriter) time.Duration {
	if out.events > 0 {
		return current
	}
	return time.Since(a.startedAt)
}

// eventNumber parses an event's id. The second result is false if it isn't a number.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// alreadySent reports whether the event was passed on to the caller already.
func (w *answerWriter) alreadySent(ev event) bool {
	n, ok := eventNumber(ev.id)
	last, known := eventNumber(w.lastEventID)
	return ok && known && n <= last
}

// checkSequence returns an error if events are missing between the last one that was passed on and
// this one.
func (w *answerWriter) checkSequence(ev event) error {
	n, ok := eventNumber(ev.id)
	last, known := eventNumber(w.lastEventID)
	if ok && known && n != last+1 {
		return fmt.Errorf("%w: %d after %d", errEventOrder, n, last)
	}
	return nil
}
