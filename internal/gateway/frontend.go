package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// ServeHTTP handles one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	names := &g.settings.Headers
	r := &Request{
		ID:      req.Header.Get(names.RequestID),
		Arrived: boottime.Now(),
		Method:  req.Method,
		Target:  requestTarget(req),
		Host:    req.Host,
		Header:  req.Header,
		Prompt:  parsePrompt(req.Header, names),
		Session: req.Header.Get(names.Session),
	}
	r.answer = newAnswerWriter(w, req, g.stopping.Load(), req.Header.Get(names.LastEventID))
	conn, detach := g.intake.Attach(req)
	defer detach()
	r.conn = conn
	ctx, release := g.plannedStop.RequestContext(req.Context())
	defer release()
	err := g.process(ctx, r)
	g.finish(r, err)
}

// process runs the pipeline for the request.
func (g *Gateway) process(ctx context.Context, r *Request) error {
	if r.conn == nil {
		return resultcode.New(resultcode.HostMemory, "the host has no memory for another request")
	}
	if r.ID == "" {
		return resultcode.New(resultcode.BadHeader, "the request has no id")
	}
	return g.pipeline(ctx, r)
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(req *http.Request) string {
	if len(req.RequestURI) > 0 && req.RequestURI[0] == '/' {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// finish writes the request's log line and, if err is set, the refusal.
func (g *Gateway) finish(r *Request, err error) {
	code, status := resultcode.OK, r.answer.status
	var reported *resultcode.Error
	if err != nil {
		reported = r.reportedError(err)
		code, err = reported.Code, reported
		if !r.answer.started {
			status = resultcode.Lookup(code).Status
		}
	}
	route, service := "", r.Service
	version := uint64(0)
	if r.Route != nil {
		route = r.Route.Name
	}
	if r.Table != nil {
		version = r.Table.Version
	}
	elapsed := boottime.Since(r.Arrived)
	g.metrics.countRequest(route, code.String(), elapsed)
	line := g.log.Info()
	if err != nil {
		line = g.log.Warn().AnErr("error", err)
	}
	line.Str("event", "answer").Str("request", r.ID).Stringer("digest", r.Digest).Str("route", route).Str("service", service).
		Int("code", int(code)).Str("result", code.String()).Int("status", status).Str("run_state", r.runState.State().String()).
		Int("attempts", r.attempts).Str("model", r.model).Str("account", r.accountName()).Str("session", r.Session).
		Uint64("document", version).Int("events", r.answer.events).Int64("pause_ms", r.answer.longestPause.Milliseconds()).
		Int64("took_ms", elapsed.Milliseconds()).Bool("stopping", r.answer.closesConnection).Msg("")
	if reported != nil {
		g.refuse(r, reported)
	}
}

func (r *Request) accountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// refuse writes a refusal. If the answer has begun or the caller has disconnected, it aborts the
// connection instead, so that the answer doesn't look complete.
func (g *Gateway) refuse(r *Request, e *resultcode.Error) {
	if r.answer.started || e.Code == resultcode.CallerGone {
		panic(http.ErrAbortHandler)
	}
	header := r.answer.writer.Header()
	header.Set(g.settings.Headers.RequestID, r.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retry := retryAfter(e); retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	if closes := r.conn.ClosesAfter(e.Code); closes || r.answer.closesConnection || g.stopping.Load() {
		header.Set("Connection", "close")
	}
	r.answer.writer.WriteHeader(resultcode.Lookup(e.Code).Status)
	// A write error means that the caller has disconnected.
	_, _ = r.answer.writer.Write([]byte(e.Code.String() + "\n"))
}

// retryAfter returns the time after which the caller should send the request again; 0 if the error
// states none and doesn't guarantee that the request didn't run.
func retryAfter(e *resultcode.Error) time.Duration {
	if e.RetryAfter > 0 || !runstate.GuaranteesNotRun(resultcode.Lookup(e.Code).Status) {
		return e.RetryAfter
	}
	return defaultRetryAfter
}

// defaultRetryAfter is about the time in which an upstream finishes a few queued requests, or in
// which a host that just started receives the tables of the store.
const defaultRetryAfter = 300 * time.Millisecond
