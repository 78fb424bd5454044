package gateway

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// deliver writes a buffered answer to the caller. It does nothing for a stream, which was passed on
// as it arrived.
func (d *dispatch) deliver(r *Request, result attemptResult) error {
	if result.buffered == nil {
		return nil
	}
	return r.answer.writeBuffered(result.buffered)
}

// finalAnswer ends a request for which no further attempt is made: it writes the buffered answer of
// the last attempt, if there is one, or returns the refusal.
func (d *dispatch) finalAnswer(ctx context.Context, r *Request, result attemptResult) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return resultcode.Wrap(resultcode.CallerGone, result.err, "the caller left")
	}
	stopEnded := plannedstop.HasEnded(ctx)
	if r.answer.started {
		if stopEnded {
			return resultcode.Wrap(resultcode.AnswerIncomplete, result.err, "the planned stop's time was over")
		}
		return resultcode.Wrap(resultcode.AnswerIncomplete, result.err, "the stream broke off")
	}
	if result.buffered != nil {
		return d.passOnFailure(r, result.buffered)
	}
	if stopEnded {
		return resultcode.Wrap(resultcode.HostStopping, result.err, "the planned stop's time was over")
	}
	if ctx.Err() != nil {
		return r.reportedError(resultcode.Wrap(resultcode.DeadlineExpired, result.err, "no answer in time"))
	}
	switch result.outcome {
	case outcomeUnsent, outcomeWithheld:
		return resultcode.Wrap(resultcode.NoUpstream, result.err, "no upstream could be reached")
	case outcomeRefused:
		return resultcode.Wrap(resultcode.QueueFull, result.err, "the upstreams took no more work")
	default:
		return resultcode.Wrap(resultcode.OutcomeUnknown, result.err, "no complete answer came")
	}
}

// passOnFailure writes an upstream's complete answer that isn't a success. If its status would guarantee to the caller
// that a request didn't run that did, it returns an error with another status instead.
func (d *dispatch) passOnFailure(r *Request, answer *bufferedAnswer) error {
	if r.runState.State().PermitsStatus(answer.status) {
		return r.answer.writeBuffered(answer)
	}
	e := resultcode.New(resultcode.UpstreamError, "the upstream ran the request and answered %d", answer.status)
	if r.mayRunAgain(runstate.Ran) {
		e.RetryAfter, _ = notice.RetryAfter(answer.header, d.gateway.settings.Headers.RetryAfter)
	}
	return e
}

// reportedError returns the error that is reported to the caller: err, with another code if the code contradicts the
// request's run state.
func (r *Request) reportedError(err error) *resultcode.Error {
	e, state := resultcode.FromError(err), r.runState.State()
	if state == runstate.NotRun && e.Code == resultcode.DeadlineExpired {
		return &resultcode.Error{Code: resultcode.DeadlineUnmeetable, Detail: e.Detail, Err: e.Err}
	}
	if !state.PermitsStatus(resultcode.Lookup(e.Code).Status) {
		return &resultcode.Error{Code: resultcode.OutcomeUnknown, Detail: e.Detail, Err: e.Err}
	}
	return e
}

// logAttempt writes the attempt's log line and updates its metrics.
func (d *dispatch) logAttempt(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	g.metrics.countAttempt(r, result, time.Since(a.startedAt))
	g.metrics.countStatements(a)
	g.metrics.countFetch(a, &result)
	g.metrics.countEngineState(r.Service, &a.choice.engine)
	line := g.log.Info()
	if result.outcome != outcomeDone {
		line = g.log.Warn()
	}
	line.Str("event", "attempt").Str("request", r.ID).Stringer("digest", r.Digest).Int("attempt", r.attempts).
		Str("service", r.Service).Str("upstream", a.choice.upstream.ID).Stringer("entry", a.choice.entryRevision).Str("zone", a.choice.upstream.Zone).
		Str("version", a.choice.upstream.Version).Str("model", r.model).
		Int("among", a.choice.candidateCount).Float64("load", math.Round(10*a.choice.load)/10).
		Str("load_from", string(a.choice.loadSource)).Int64("load_age_ms", a.choice.loadAge.Milliseconds()).
		Int("tokens", r.Prompt.TokensIn).Strs("parts", r.Prompt.sharedPartIDs(maxLoggedParts)).Int64("ahead_ms", a.choice.workAhead.Milliseconds()).Int64("expected_ms", a.choice.placement.ExpectedTime.Milliseconds()).
		Int("missing", a.choice.placement.UncachedTokens).Bool("owner", a.choice.placement.IsOwner).Int("threshold", a.minConfidence).Float64("pressure", math.Round(100*a.queuePressure)/100).
		Str("outcome", result.outcome.String()).Int("status", result.status).Int("confidence", result.confidence).Str("limit", headerText(result.limitHeaders)).
		Str("leaving", headerText(a.statedLeaving())).Str("retry_after", headerText(a.statedRetryAfter())).
		Int64("first_ms", result.firstByte.Milliseconds()).Int64("took_ms", time.Since(a.startedAt).Milliseconds())
	if a.choice.fetchFrom != "" {
		line.Str("fetch_from", a.choice.fetchFrom).Int("fetched_tokens", a.choice.placement.FetchedTokens)
	}
	if a.choice.removedFor > 0 {
		line.Int64("removed_ms", a.choice.removedFor.Milliseconds())
	}
	if a.relayHost != "" {
		line.Str("relay", a.relayHost)
	}
	d.logEndReason(line, a, &result)
	a.choice.engine.log(line)
	if fault := result.answerFault(); fault != "" {
		g.metrics.countBrokenAnswer(r.Service, fault)
		line.Str("fault", string(fault))
	}
	if result.err != nil {
		line.Err(result.err)
	}
	line.Msg("")
}

// maxLoggedParts bounds the parts of a prompt in a log line. The first ones are the ones that most
// requests share.
const maxLoggedParts = 8

// maxLoggedHeader bounds the text of an upstream's header in a log line, in bytes.
const maxLoggedHeader = 64

// headerText returns the values of a header as one text for log lines.
func headerText(values []string) string {
	text := strings.Join(values, ",")
	return text[:min(len(text), maxLoggedHeader)]
}

// statedLeaving returns the values of the header by which an upstream states that it is leaving.
func (a *attempt) statedLeaving() []string {
	return a.answerHeader.Values(a.gateway.settings.Headers.Leaving)
}

// statedRetryAfter returns the values of the header by which an upstream states for how long it
// accepts no requests.
func (a *attempt) statedRetryAfter() []string {
	return a.answerHeader.Values(a.gateway.settings.Headers.RetryAfter)
}
