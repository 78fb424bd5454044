package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(upstream.HeaderRequestID)
	priority := r.Header.Get(upstream.HeaderPriority)
	e.arrivals.record(requestID, func(a *Arrival) {
		a.Heads++
		a.Priority = priority
	})
	body, err := e.cutter.ReadBody(r)
	if err != nil {
		return
	}
	req, err := parseRequest(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.arrivals.record(requestID, func(a *Arrival) {
		a.Bodies++
		a.Model = req.Model
	})
	e.faults.waitWhileStalled()
	level, _ := strconv.Atoi(priority)
	if err := e.admit(r.Context(), req.Model, level); err != nil {
		e.refuse(w, requestID, err)
		return
	}
	e.arrivals.record(requestID, func(a *Arrival) { a.Began++ })
	if e.faults.drawFailure(req.Model) {
		e.slots.release()
		http.Error(w, "injected error", http.StatusInternalServerError)
		return
	}
	e.startRun(w, r, requestID, req)
}

// admit waits until the request may run and takes a slot for it. If it returns
// an error, the request hasn't started and holds no slot.
func (e *Engine) admit(ctx context.Context, modelVersion string, priority int) error {
	if e.faults.get().Leaving {
		return errLeaving
	}
	if e.faults.get().RejectRetryAfter != "" {
		return errRejecting
	}
	if !e.versions.has(modelVersion) {
		return errNotLoaded
	}
	if err := e.slots.acquire(ctx, modelVersion, priority); err != nil {
		return err
	}
	if !e.versions.has(modelVersion) {
		e.slots.release()
		return errNotLoaded
	}
	return nil
}

// refuse sends an error response that states that the request wasn't run.
func (e *Engine) refuse(w http.ResponseWriter, requestID string, cause error) {
	e.arrivals.record(requestID, func(a *Arrival) { a.Refused++ })
	h := w.Header()
	h.Set(upstream.HeaderNotRun, "1")
	e.setLoadHeaders(h)
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(cause, errNotLoaded):
		status = http.StatusConflict
	case errors.Is(cause, errQueueFull):
		status = http.StatusTooManyRequests
		h.Set("Retry-After", "1")
	case errors.Is(cause, errRejecting):
		h.Set("Retry-After", e.faults.get().RejectRetryAfter)
	default:
		h.Set("Retry-After", "1")
	}
	http.Error(w, cause.Error(), status)
}

// startRun starts the run and streams its answer. The run continues if the
// connection is closed.
func (e *Engine) startRun(w http.ResponseWriter, r *http.Request, requestID string, req chatRequest) {
	ctx, cancel := context.WithCancel(e.ctx)
	j := newJob(requestID, req.Model, cancel)
	e.jobs.put(j)
	if e.opts.PoisonText != "" && strings.Contains(req.prompt(), e.opts.PoisonText) {
		time.AfterFunc(e.opts.PoisonDelay, e.opts.OnPoison)
	}
	e.runs.Add(1)
	go func() {
		defer e.runs.Done()
		defer cancel()
		e.run(ctx, j, req.prompt())
	}()
	if e.cutter.Take(cut.BeforeAnswer) {
		cut.Abort()
	}
	e.writeHeaders(w, j)
	e.sendFrames(w, r, j, 0, false)
}

func (e *Engine) writeHeaders(w http.ResponseWriter, j *job) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(upstream.HeaderRequestID, j.requestID)
	h.Set(upstream.HeaderModelVersion, j.modelVersion)
	e.setLoadHeaders(h)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	requestID := r.PathValue("id")
	j := e.jobs.get(requestID)
	if j == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	after, ok := parseEventID(r.Header.Get(upstream.HeaderLastEventID), requestID)
	if !ok {
		http.Error(w, "unreadable Last-Event-ID", http.StatusBadRequest)
		return
	}
	e.arrivals.record(requestID, func(a *Arrival) { a.Resumed++ })
	e.faults.waitWhileStalled()
	e.writeHeaders(w, j)
	e.sendFrames(w, r, j, after, true)
}

// parseEventID returns the frame number in "<request id>:<number>".
func parseEventID(eventID, requestID string) (n int, ok bool) {
	digits, ok := strings.CutPrefix(eventID, requestID+":")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n >= 0
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	requestID := r.PathValue("id")
	j := e.jobs.get(requestID)
	if j == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.arrivals.record(requestID, func(a *Arrival) { a.Cancelled++ })
	j.cancel()
	e.jobs.remove(j)
	w.WriteHeader(http.StatusNoContent)
}
