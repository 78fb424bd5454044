package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// heldRequest is a request that is or was in the queue of holds.
type heldRequest struct {
	item admission.Item
	crit criteria
	// wide is set if the last estimate considered all upstreams (expectedStartBefore).
	wide bool
	// since is when the request was put into the queue; position is its position then.
	since    time.Time
	position int
	// decision receives the decision to send or reject the request.
	decision chan admission.Decision
	// observe logs and counts the decision to send the request. It is called after the next request
	// can be decided on, since writing a log line can take long. isStarted is set when it was called.
	observe   func()
	isStarted bool
}

// hold waits until the request is to be sent, and returns an error if it is refused or its caller
// left. It returns nil for a request that wasn't held; otherwise the caller has to call
// holds.started when the engine is chosen. Requests that have begun are neither held nor refused. It records the arrival of requests for the
// shares of accounts even if requests aren't held.
func (d *dispatch) hold(ctx context.Context, r *Request, models *modelSequence) (*heldRequest, error) {
	g := d.gateway
	r.held = nil
	if r.Prompt.TokensIn == 0 || !r.progress().MayRefuse() {
		return nil, nil
	}
	holds := g.fleet.isActive(g.settings.Features.HoldRequests, r.Service)
	if !holds && !g.fleet.isActive(g.settings.Features.AccountShares, r.Service) {
		return nil, nil
	}
	r.model = models.current()
	r.regions = g.allowedRegions(r)
	h := &heldRequest{crit: d.buildCriteria(r, r.model, models.atBest()), decision: make(chan admission.Decision, 1)}
	e, wide := g.fleet.expectedStartBefore(h.crit, r.Deadline)
	h.wide = wide
	d.recordArrival(r, e)
	if !holds {
		return nil, nil
	}
	h.item = d.holdItem(r, e)
	decision := g.holds.offer(h, e.Estimate)
	if decision.Verdict != admission.Keep {
		r.sendSoonest = h.wide
		return nil, d.endHold(r, h, decision)
	}
	var err error
	select {
	case decision = <-h.decision:
		r.sendSoonest = h.wide
		err = d.endHold(r, h, decision)
	case <-ctx.Done():
		g.holds.leave(h)
		err = d.abandonHold(ctx, r, h)
	}
	if err != nil {
		return nil, err
	}
	r.held = h
	return h, nil
}

// recordArrival records, once for each request, the engine time that it needs, and whether its
// caller returned at the time that it was told.
func (d *dispatch) recordArrival(r *Request, e startEstimate) {
	if r.arrived {
		return
	}
	r.arrived = true
	g, now := d.gateway, boottime.Now()
	if g.fleet.isActive(g.settings.Features.AccountShares, r.Service) {
		r.unsentDemand = e.work
		g.shares.recordDemand(r.Service, r.accountName(), e.work, now)
	}
	if g.fleet.isActive(g.settings.Features.ReturnSchedule, r.Service) {
		r.returning = g.returns.redeem(r.Service, r.Digest, now)
	}
}

// recordSent records the engine time of an attempt, and returns a function that takes it back, to be
// called if the attempt ends without having run.
func (d *dispatch) recordSent(r *Request, a *attempt) (takeBack func()) {
	g := d.gateway
	if !r.arrived {
		return func() {}
	}
	work, sentAt := a.choice.placement.PrefillTime, boottime.Now()
	g.returns.recordSent(r.Service, work, sentAt)
	if !g.fleet.isActive(g.settings.Features.AccountShares, r.Service) {
		return func() { g.returns.recordNotRun(r.Service, work, sentAt, boottime.Now()) }
	}
	demand := r.unsentDemand
	r.unsentDemand = 0
	g.shares.recordSent(r.Service, r.accountName(), demand, work, sentAt)
	return func() {
		now := boottime.Now()
		r.unsentDemand = demand
		g.returns.recordNotRun(r.Service, work, sentAt, now)
		g.shares.recordNotRun(r.Service, r.accountName(), demand, work, sentAt, now)
	}
}

// holdItem returns the request as the queue takes it.
func (d *dispatch) holdItem(r *Request, e startEstimate) admission.Item {
	return admission.Item{
		Service: r.Service, Priority: r.rank(), OverShare: d.overShare(r), Returning: r.returning,
		Work: e.work, Target: r.Route.Target, Arrived: r.Arrived, Deadline: r.Deadline,
		HeldBefore: r.heldFor, BodyBytes: len(r.Body),
	}
}

// overShare reports whether the request's account uses more than its share.
func (d *dispatch) overShare(r *Request) bool {
	g := d.gateway
	return g.fleet.isActive(g.settings.Features.AccountShares, r.Service) && g.shares.overShare(r.Service, r.accountName(), boottime.Now())
}

// endHold logs and counts the decision on a request that was held or is refused, and returns the
// refusal, or nil if the request is to be sent.
func (d *dispatch) endHold(r *Request, h *heldRequest, decision admission.Decision) error {
	if decision.Verdict == admission.Send {
		h.observe = func() { d.observeHold(r, h, decision, 0) }
		return nil
	}
	if decision.Cause == admission.CauseExpired {
		d.observeHold(r, h, decision, 0)
		return r.reportedError(resultcode.New(resultcode.DeadlineExpired, "no engine began the request in time"))
	}
	retry := d.saturatedRetryAfter(r, h, decision)
	d.observeHold(r, h, decision, retry)
	d.gateway.metrics.countSaturated(r.Service, decision.Cause)
	e := resultcode.New(resultcode.EnginesSaturated, "no engine has room for the request: %s", decision.Cause)
	e.RetryAfter = retry
	return e
}

// causeCallerLeft is the cause in the log line of a held request whose caller left.
const causeCallerLeft admission.Cause = "caller-left"

// abandonHold ends a request whose caller left or whose deadline passed while it was held.
func (d *dispatch) abandonHold(ctx context.Context, r *Request, h *heldRequest) error {
	err := d.finalAnswer(ctx, r, attemptResult{outcome: outcomeAbandoned, err: context.Cause(ctx)})
	cause := admission.CauseExpired
	if resultcode.FromError(err).Code == resultcode.CallerGone {
		cause = causeCallerLeft
	}
	d.observeHold(r, h, admission.Decision{Cause: cause}, 0)
	return err
}

// saturatedRetryAfter returns the Retry-After of a refusal: the time that is reserved for the
// caller's return, or the time in which there is expected to be room.
func (d *dispatch) saturatedRetryAfter(r *Request, h *heldRequest, decision admission.Decision) time.Duration {
	g, now := d.gateway, boottime.Now()
	remaining := r.Deadline.Sub(now)
	if g.fleet.isActive(g.settings.Features.ReturnSchedule, r.Service) {
		reserved := g.returns.reserve(returnRequest{
			service: r.Service, digest: r.Digest, rank: h.item.Priority, overShare: h.item.OverShare,
			work: h.item.Work, earliest: decision.RetryAfter, remaining: remaining,
		}, now)
		if reserved > 0 {
			return reserved
		}
	}
	return admission.SpreadRetryAfter(decision.RetryAfter, remaining, rand.Float64())
}

// observeHold writes the log line of a request that was held or refused, and updates its metrics.
func (d *dispatch) observeHold(r *Request, h *heldRequest, decision admission.Decision, retryAfter time.Duration) {
	g, held := d.gateway, time.Duration(0)
	if h.position > 0 {
		held = boottime.Since(h.since)
		r.heldFor += held
		g.metrics.countHold(r.Service, held)
	}
	line := g.log.Info()
	if decision.Verdict == admission.Reject {
		line = g.log.Warn()
	}
	line.Str("event", "held").Str("request", r.ID).Str("service", r.Service).Str("route", r.Route.Name).
		Int64("held_ms", held.Milliseconds()).Str("why", string(decision.Cause)).Bool("refused", decision.Verdict == admission.Reject).
		Int64("expected_ms", decision.Estimate.FirstEvent.Milliseconds()).Int64("wait_ms", decision.Estimate.Wait.Milliseconds()).
		Int("position", h.position).Bool("over_share", h.item.OverShare).Bool("returning", h.item.Returning).
		Int64("retry_after_ms", retryAfter.Milliseconds()).Msg("")
}
