package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/streampace"
)

// Engines that copy runs to each other spare a moved stream the second prefill: the source stops the
// run and copies its state to the destination, which continues it.

// RunCopies describes the requests by which engines copy runs to each other. The zero value means that
// they don't.
type RunCopies struct {
	// MoveRequest returns the path and the body of the POST request that stops the run of a request
	// and copies it to the engine at the address.
	MoveRequest func(requestID, to string) (path string, body []byte)
	// Handle returns the handle of the copy from the response; an error if there is none.
	Handle func(body []byte) (handle string, err error)
	// HandlePath returns the path whose DELETE request frees a copy.
	HandlePath func(handle string) string
	// Reference returns the value of Headers.ContinueFrom for a copy that the engine at the address
	// made.
	Reference func(address, handle string) string
}

const (
	// maxCopyTime bounds the time in which a run is copied, and maxCopyPortion the same as a portion
	// of the time until the deadline. The caller gets no event in that time, and reading the prompt
	// again takes less.
	maxCopyTime    = time.Second
	maxCopyPortion = 0.25
	// copyDrainTime is how long the relay may still pass on events that the source sent before it
	// stopped the run. The source closes the stream then, so that this rarely matters.
	copyDrainTime = 100 * time.Millisecond
	// freeCopyTimeout bounds a request to free a copy.
	freeCopyTimeout = time.Second
	// maxCopyResponse bounds the response to a request to copy a run, in bytes.
	maxCopyResponse = 4 << 10
)

// errCopyUnsent means that no byte of a request to copy a run was sent.
var errCopyUnsent = errors.New("gateway: the request to copy the run wasn't sent")

// runCopy is a copy of a run that the source made and stopped.
type runCopy struct {
	source Upstream
	handle string
}

// copyResult is the result of a request to copy a run, as logged.
type copyResult string

const (
	// copyDone: the destination has the copy.
	copyDone copyResult = "done"
	// copyReturned: the source stopped the run, and only the source can continue it.
	copyReturned copyResult = "returned"
	// copyRefused: the source didn't stop the run, or doesn't have it.
	copyRefused copyResult = "refused"
	// copyUnknown: there is no usable copy, and the run may have been stopped.
	copyUnknown copyResult = "unknown"
)

// copiesRuns reports whether the engines of the attempt's service copy runs to each other.
func (a *attempt) copiesRuns() bool {
	g, service := a.gateway, a.request.Table.Service(a.request.Service)
	return g.settings.RunCopies.MoveRequest != nil && g.settings.Headers.ContinueFrom != "" && service != nil && service.Engines.Moves
}

// moveByCopy lets the source copy the run to the successor's engine and ends the attempt. If the source
// stopped the run but couldn't copy it, the source itself continues it. If there is no copy, the stream is resumed at the
// successor's engine without one, for which a retry was charged before; it is given back if there is a copy.
func (m *streamMover) moveByCopy(next *successor, stream *streampace.Stream, sit streampace.Situation, reason streampace.Reason) {
	a := m.attempt
	g := a.gateway
	m.movable = false // a stream is moved at most once
	handle, result := m.copyRun(&next.choice.upstream, sit.TimeLeft)
	if result == copyReturned {
		if again, ok := g.fleet.chooseAgain(&a.choice); ok {
			next.release()
			next = &successor{run: a, choice: again}
		} else {
			result = copyUnknown // the source isn't listed any more
		}
	}
	if result == copyDone {
		next.giveBackRetry()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = result != copyRefused
	switch result {
	case copyDone, copyReturned:
		next.choice.continueFrom, next.choice.fetchFrom = &runCopy{source: a.choice.upstream, handle: handle}, ""
		if m.setMoved(next, stream, sit, reason) {
			time.AfterFunc(copyDrainTime, func() { a.cancel(errStreamMoved) })
		}
		return
	}
	if m.ctx.Err() != nil || m.ended && result == copyRefused {
		next.release()
		return
	}
	if m.setMoved(next, stream, sit, reason) {
		a.cancel(errStreamMoved)
	}
}

// copyRun sends the source the request to stop the run and to copy it, and logs the result.
func (m *streamMover) copyRun(to *Upstream, timeLeft time.Duration) (handle string, result copyResult) {
	a := m.attempt
	began := time.Now()
	handle, status, err := m.requestCopy(to, min(maxCopyTime, time.Duration(maxCopyPortion*float64(timeLeft))))
	switch {
	case errors.Is(err, errCopyUnsent):
		result = copyRefused
	case err != nil:
		result = copyUnknown
	case status == http.StatusOK:
		result = copyDone
	case status == http.StatusServiceUnavailable:
		result = copyReturned
	default:
		result = copyRefused
	}
	a.gateway.log.Info().Str("event", "stream-copy").Str("request", a.request.ID).Str("from", a.choice.upstream.ID).Str("to", to.ID).
		Str("result", string(result)).Int("status", status).Int64("took_ms", time.Since(began).Milliseconds()).AnErr("error", err).Msg("")
	a.gateway.metrics.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_stream_copies_total{service=%q,result=%q}`, a.request.Service, result)).Inc()
	return handle, result
}

// requestCopy sends the request to copy the run. It returns the handle and the status of the response;
// an error if there is no handle.
func (m *streamMover) requestCopy(to *Upstream, timeout time.Duration) (handle string, status int, err error) {
	a, copies := m.attempt, &m.attempt.gateway.settings.RunCopies
	// The attempt's own context can't be used: it belongs to the call of the attempt.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	call := new(sealedconn.Call)
	path, body := copies.MoveRequest(a.request.ID, to.Address)
	resp, err := a.gateway.callEngine(call.Trace(ctx), http.MethodPost, &a.choice.upstream, path, body)
	if err != nil && call.Abandon() != sealedconn.Written {
		return "", 0, fmt.Errorf("%w: %w", errCopyUnsent, err)
	}
	if err != nil {
		return "", 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyResponse+1))
	if err == nil && len(data) > maxCopyResponse {
		err = errAnswerTooLong
	}
	if err != nil {
		return "", resp.StatusCode, fmt.Errorf("gateway: response to the request to copy a run: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		return "", resp.StatusCode, nil
	}
	handle, err = copies.Handle(data)
	return handle, resp.StatusCode, err
}

// callEngine sends a request that isn't a caller's to an engine.
func (g *Gateway) callEngine(ctx context.Context, method string, u *Upstream, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.connHost()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("gateway: request to an engine: %w", err)
	}
	req.Host = u.Address
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(g.settings.Headers.ExpectInstance, u.ID)
	return g.egress.RoundTrip(req)
}

// chooseAgain chooses the engine of an earlier choice again, and counts the request as in flight
// there. It returns false if the engine isn't listed any more.
func (f *Fleet) chooseAgain(from *choice) (choice, bool) {
	s := f.shard(from.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(from)
	if m == nil {
		return choice{}, false
	}
	c := *from
	c.chosenAt, c.prefill = boottime.Now(), nil
	m.startRequest(&c)
	m.recordSent(c.chosenAt)
	return c, true
}

// freeUnusedCopy frees the copy from which the choice was to continue a run, if the attempt's result
// means that it wasn't used.
func (g *Gateway) freeUnusedCopy(c *choice, result *attemptResult) {
	if c.continueFrom == nil || !result.notReached() && result.outcome != outcomeRefused {
		return
	}
	unused := *c.continueFrom
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeCopyTimeout)
		defer cancel()
		resp, err := g.callEngine(ctx, http.MethodDelete, &unused.source, g.settings.RunCopies.HandlePath(unused.handle), nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		g.log.Info().Str("event", "stream-copy-freed").Str("from", unused.source.ID).Str("handle", headerText([]string{unused.handle})).Int("status", status).AnErr("error", err).Msg("")
	}()
}
