package gateway

import (
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// logEndReason adds to an attempt's log line why the gateway ended the run, and updates its metric.
func (d *dispatch) logEndReason(line *zerolog.Event, a *attempt, result *attemptResult) {
	reason := result.endReason()
	if reason == "" {
		return
	}
	d.gateway.metrics.countEndedRun(a.request.Service, reason)
	line.Str("host_end", string(reason)).Bool("stopping", d.gateway.stopping.Load())
	if waited, limit, ok := a.idleTimer.endedWait(); ok {
		line.Int64("waited_ms", waited.Milliseconds()).Int64("limit_ms", limit.Milliseconds())
	}
}

// observeRefusedAttempt logs and counts that a request which had attempts gets no further one.
func (d *dispatch) observeRefusedAttempt(r *Request, previous *attemptResult, refusal error) {
	g, code := d.gateway, resultcode.FromError(refusal).Code
	g.metrics.countRefusedAttempt(r.Service, code.String(), r.answer.started)
	line := g.log.Warn().Str("event", "attempt-refused").Str("request", r.ID).Int("attempt", r.attempts+1).Int("code", int(code)).
		Stringer("previous", previous.outcome).Str("host_end", string(previous.endReason())).Str("run_state", r.runState.State().String()).
		Bool("began", r.answer.started).Int("events", r.answer.events).Int64("left_ms", boottime.Until(r.Deadline).Milliseconds())
	if endsAt, stopping := g.plannedStop.EndsAt(); stopping {
		line.Int64("stop_left_ms", boottime.Until(endsAt).Milliseconds()).Int64("usual_ms", g.plannedStop.UsualTime(r.stopKind()).Milliseconds())
	}
	line.Err(refusal).Msg("")
}
