package gateway

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/routing"
)

// dispatch sends the request to upstreams until one answers or no further attempt is permitted.
type dispatch struct {
	gateway *Gateway
}

const (
	// lowestPriority is the number of the least urgent priority that upstreams distinguish; 0 is
	// the most urgent one.
	lowestPriority = 9
	// levelsPerRank is the number of priorities into which each rank of the operators is split.
	levelsPerRank = 3
)

// priority returns the priority that is sent to upstreams, 0 to 9. Within each rank of the
// operators, requests for the cheaper models go first and long prompts for the best model last: the
// prefill of thousands of tokens takes hundreds of milliseconds, in which the engine begins no
// other prompt. Whether a prompt counts as long depends on the mean prompt size of its route, not
// on its own size. Otherwise the largest requests of a route would always be the late ones.
func (r *Request) priority(bestModel bool) int {
	rank := r.rank()
	if (r.Table.LowestPriority()+1)*levelsPerRank > lowestPriority+1 {
		// There are too many ranks to split them. The order of the ranks takes precedence.
		return min(lowestPriority, rank)
	}
	level := levelsPerRank * rank
	switch {
	case bestModel && r.relativePromptSize > 1:
		level += 2
	case bestModel:
		level++
	}
	return level
}

// rank returns the rank that the operators declared for the request's account, or else for its
// route; 0 is the most urgent.
func (r *Request) rank() int {
	rank := r.Route.Priority
	if r.Account != nil && r.Account.Priority != nil {
		rank = *r.Account.Priority
	}
	return max(0, rank) // a document may declare negative ranks, and ranks are used as indices
}

func (d *dispatch) serve(ctx context.Context, r *Request, _ handleFunc) error {
	g := d.gateway
	g.retryBudgets.get(r.Service).countRequest()
	r.relativePromptSize = g.promptSizes.get(r.Service).observe(r.Route.Name, r.Prompt.TokensIn)
	models := g.planModels(r)
	defer d.releaseSuccessor(r)
	began := time.Now()
	var result attemptResult
	for {
		previous := result
		var err error
		result, err = d.makeAttempt(ctx, r, models)
		for err != nil && d.awaitUpstream(ctx, r, &previous, err) {
			result, err = d.makeAttempt(ctx, r, models)
		}
		if err != nil && r.attempts > 0 {
			d.observeRefusedAttempt(r, &previous, err)
		}
		switch {
		case err != nil && r.attempts > 0 && errors.Is(err, errNoneAvailable):
			return d.endWithoutUpstream(ctx, r, previous, err)
		case err != nil:
			return err
		}
		switch {
		case result.outcome == outcomeDone:
			g.plannedStop.ObserveRequest(r.stopKind(), time.Since(began))
			return d.deliver(r, result)
		case errors.Is(result.err, errLowConfidence):
			models.advance()
		}
		if retry := d.shouldRetry(ctx, r, result); !retry {
			return d.finalAnswer(ctx, r, result)
		}
	}
}

// awaitUpstream waits until an upstream is expected to accept a request that was refused an attempt for the lack of one. It returns
// false if the request doesn't wait, or ended meanwhile. A complete failure of the previous attempt is answered at once.
func (d *dispatch) awaitUpstream(ctx context.Context, r *Request, previous *attemptResult, refusal error) bool {
	var none noneAvailable
	if previous.buffered != nil || !errors.As(refusal, &none) || !r.progress().ShouldWait(none.wait, d.gateway.plannedStop.TimeLeft(r.Deadline, boottime.Now())) {
		return false
	}
	d.gateway.metrics.countUpstreamWait(r.Service)
	return wait.For(ctx, max(none.wait, failover.MinWait)) == nil
}

// endWithoutUpstream ends a request for whose next attempt no upstream is available: with the
// refusal, which has the reason and the time to come back, if the previous attempt wasn't accepted,
// and with the result of that attempt otherwise.
func (d *dispatch) endWithoutUpstream(ctx context.Context, r *Request, previous attemptResult, refusal error) error {
	notAccepted := previous.outcome == outcomeRefused || previous.outcome == outcomeWithheld
	if notAccepted && ctx.Err() == nil && !r.answer.started {
		return refusal
	}
	return d.finalAnswer(ctx, r, previous)
}

// makeAttempt makes one attempt, at the most suitable upstream. It returns an error if no attempt
// was made.
func (d *dispatch) makeAttempt(ctx context.Context, r *Request, models *modelSequence) (attemptResult, error) {
	if err := d.admit(ctx, r); err != nil {
		return attemptResult{}, err
	}
	admitted := true
	defer func() {
		if admitted {
			d.gateway.guard.Leave(r.Digest, r.partDigests...)
		}
	}()
	mayRefuse := r.progress().MayRefuse()
	if mayRefuse {
		if err := d.memoryRefusal(r); err != nil {
			return attemptResult{}, err
		}
	}
	held, err := d.hold(ctx, r, models)
	if err != nil {
		return attemptResult{}, err
	}
	defer d.gateway.holds.started(held) // also if no engine is chosen
	if held != nil {
		d.gateway.guard.Leave(r.Digest, r.partDigests...)
		if err := d.admitAfterHold(ctx, r); err != nil {
			admitted = false
			return attemptResult{}, err
		}
	}
	if mayRefuse {
		if err := d.lateRefusal(r); err != nil {
			return attemptResult{}, err
		}
	}
	a, err := d.startAttempt(r, models)
	if err != nil {
		return attemptResult{}, err
	}
	takeBack := d.recordSent(r, a)
	d.gateway.rollouts.observeStart(r, &a.choice)
	target := a.choice.upstream.guardUpstream()
	d.gateway.guard.Begin(target, r.Digest, r.partDigests...)
	var result attemptResult
	if r.Route.Kind == routing.Stream {
		result = a.runStream(ctx, func(head attemptResult) bool {
			d.gateway.holds.wake(r)
			d.gateway.rollouts.observeHead(r, &a.choice, head.firstByte)
			a.headCounted = true
			accepted := d.acceptHead(r, a, models, head)
			if !accepted {
				d.gateway.rollouts.observeFirstEvent(r, &a.choice, head.firstByte)
			}
			return accepted
		})
	} else {
		result = a.runBuffered(ctx)
	}
	r.recordMove()
	if result.outcome != outcomeRefused {
		r.runState.Raise(a.runState.State())
	}
	d.gateway.guard.End(target, r.Digest, result.guardOutcome(), r.partDigests...)
	if result.notReached() {
		r.notReached++
	}
	if result.outcome == outcomeRefused || result.notReached() {
		takeBack()
	}
	d.observeResult(r, a, result)
	d.gateway.freeUnusedCopy(&a.choice, &result)
	d.logAttempt(r, a, result)
	return result, nil
}

// admit returns an error if the request is quarantined or its deadline has passed. It may wait
// until the guard permits another attempt for requests with this digest.
func (d *dispatch) admit(ctx context.Context, r *Request) error {
	if boottime.Until(r.Deadline) <= 0 {
		// The host was suspended after the request arrived, and its timers haven't fired yet.
		return resultcode.New(resultcode.DeadlineExpired, "no answer in time")
	}
	switch err := d.gateway.guard.Admit(ctx, r.Digest, r.Service, r.partDigests...); {
	case err == nil:
		return nil
	case errors.Is(err, guard.ErrQuarantined):
		return resultcode.Wrap(resultcode.RequestQuarantined, err, "upstreams ended that ran this request")
	default:
		return d.finalAnswer(ctx, r, attemptResult{outcome: outcomeAbandoned, err: err})
	}
}

// admitAfterHold is admit for a request that was held: its caller may have left, its deadline have
// passed or a verdict on it have arrived since the decision to send it.
func (d *dispatch) admitAfterHold(ctx context.Context, r *Request) error {
	if ctx.Err() != nil {
		return d.finalAnswer(ctx, r, attemptResult{outcome: outcomeAbandoned, err: context.Cause(ctx)})
	}
	return d.admit(ctx, r)
}

// startAttempt chooses the upstream for the next attempt and returns the attempt, which isn't sent
// yet.
func (d *dispatch) startAttempt(r *Request, models *modelSequence) (*attempt, error) {
	g := d.gateway
	r.model = models.current()
	r.regions = g.allowedRegions(r)
	crit := d.buildCriteria(r, r.model, models.atBest())
	crit.begun = !r.progress().MayRefuse()
	picked, ok := d.takeSuccessor(r, &crit)
	switch {
	case ok:
	case r.sendSoonest:
		r.sendSoonest = false
		picked, ok = g.fleet.chooseSoonest(crit, r.Deadline)
	default:
		picked, ok = g.fleet.choose(crit)
	}
	g.holds.started(r.held)
	if !ok {
		counts := g.fleet.countUpstreams(r.Service, r.regions, crit.admitsVersion)
		g.log.Warn().Str("event", "no-upstream").Str("request", r.ID).Str("service", r.Service).Int("attempt", r.attempts+1).
			Int("in_service", counts.inService).Int("cold", counts.cold).Int("evacuated", counts.evacuated).Int("limited", counts.limited).Int("leaving", counts.leaving).Int("backing_off", counts.backingOff).Bool("bound", r.regions.restricted()).Msg("")
		return nil, d.noUpstreamRefusal(r, counts)
	}
	g.withholdFetch(r, &picked)
	r.attempts++
	r.triedIDs = append(r.triedIDs, picked.upstream.ID)
	if picked.fetchFrom != "" {
		r.fetchSources = append(r.fetchSources, picked.fetchFrom)
	}
	return &attempt{
		gateway:     g,
		request:     r,
		choice:      picked,
		startedAt:   time.Now(),
		bestModel:   models.atBest(),
		headTimeout: max(g.responseTimes.get(r.responseTimeKey()).headTimeout(r.Route.Target), expectedFactor*picked.placement.ExpectedTime),
	}, nil
}

// errNoneAvailable means that this host may not send the request to any upstream now.
var errNoneAvailable = errors.New("gateway: no upstream is available")

// noneAvailable is errNoneAvailable with the time after which an upstream is expected to accept a request. Refused callers are
// told a later time, over which their returns are spread.
type noneAvailable struct{ wait time.Duration }

// Error implements error.
func (e noneAvailable) Error() string { return errNoneAvailable.Error() }

// Is makes the error match errNoneAvailable.
func (e noneAvailable) Is(target error) bool { return target == errNoneAvailable }

// noUpstreamRefusal returns the refusal of a request for which no upstream is available.
func (d *dispatch) noUpstreamRefusal(r *Request, counts upstreamCounts) *resultcode.Error {
	if counts.inService == 0 && r.regions.restricted() {
		return resultcode.Wrap(resultcode.NoUpstream, errNoneAvailable, "no upstream is in service in the regions that the route and the account allow")
	}
	if counts.inService == 0 && counts.leaving > 0 {
		return resultcode.Wrap(resultcode.UpstreamsLeaving, errNoneAvailable, "all upstreams of the service are leaving")
	}
	switch fleet := d.gateway.fleet; {
	case counts.allLimited():
		wait := fleet.limitRetryAfter(r.Service)
		e := resultcode.Wrap(resultcode.UpstreamsLimited, noneAvailable{wait}, "nothing is left of the upstreams' limits")
		e.RetryAfter = wait
		return e
	case counts.allHeldBack():
		wait := fleet.backoffWait(r.Service, r.regions)
		retryAfter := notice.RetryAfterRefusal(wait)
		if counts.limited > 0 {
			limitWait := fleet.limitRetryAfter(r.Service)
			wait, retryAfter = min(wait, limitWait), min(retryAfter, limitWait)
		}
		e := resultcode.Wrap(resultcode.UpstreamsBackingOff, noneAvailable{wait}, "all upstreams of the service accept no requests for some time")
		e.RetryAfter = retryAfter
		return e
	case counts.cold > 0: // a cold upstream may get some requests in each second
		return resultcode.Wrap(resultcode.NoUpstream, noneAvailable{defaultRetryAfter}, "the upstreams in service are cold")
	default:
		return resultcode.Wrap(resultcode.NoUpstream, errNoneAvailable, "no upstream is in service")
	}
}

// buildCriteria returns the criteria by which an upstream is chosen for the request.
func (d *dispatch) buildCriteria(r *Request, model string, bestModel bool) criteria {
	g := d.gateway
	crit := criteria{service: r.Service, zone: g.settings.Zone, excludedIDs: r.triedIDs, rank: r.rank(), regions: r.regions, admitsVersion: g.rollouts.versionFilter(r)}
	r.keepVersion(&crit)
	if r.Prompt.TokensIn > 0 {
		crit.prompt = r.Prompt.placementPrompt(r.Route.PrefixAffinity)
		crit.model = cmp.Or(model, r.Prompt.Model)
		crit.keys = placement.PrefixKeys(crit.model, crit.prompt)
		crit.price = r.Table.Price(r.Service, crit.model)
		crit.priority = r.priority(bestModel)
		crit.target = r.Route.Target
		crit.bodyBytes = len(r.Body)
		crit.fetches, crit.usedSources = g.fetchesParts(r), r.fetchSources
		crit.outputTokens, crit.engines = r.outputTokens(&g.settings.Headers), engineSpec(r.Table, r.Service)
	}
	return crit
}

// responseTimeKey returns the key under which the response times and pauses of requests like this
// one are averaged.
func (r *Request) responseTimeKey() string { return r.Service + "/" + r.model + "/" + r.Route.Name }

// observeResult records the result of the attempt for its upstream, its version and the mean
// response times.
func (d *dispatch) observeResult(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	g.fleet.release(a.choice, result)
	g.holds.wake(r)
	d.observeVersion(r, a, result)
	if result.outcome == outcomeSilent {
		g.responseTimes.get(r.responseTimeKey()).observeTimeout(time.Since(a.startedAt))
	}
	if result.outcome != outcomeDone {
		return
	}
	g.responseTimes.get(r.responseTimeKey()).observe(result.firstByte)
}

// observeVersion counts the attempt's result as evidence on the upstream's version. If the upstream
// terminated because of a poison request, the result isn't counted: otherwise three upstreams that
// one poison request terminated are enough to stop the roll-out of a sound version.
func (d *dispatch) observeVersion(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	if result.isBadAnswer() || !isRelayFailure(result.err) && result.outcome != outcomeBroken && result.outcome != outcomeUnknown {
		g.rollouts.observeResult(r, &a.choice, result, a.headCounted)
		return
	}
	g.rollouts.observeCutOff(r, &a.choice)
	if isRelayFailure(result.err) {
		return
	}
	if g.rollouts.evaluating(r.Service) {
		g.guard.AttributeInterruption(a.choice.upstream.guardUpstream(), guard.Attribution{
			OnVersionCause: func() { g.rollouts.observeResult(r, &a.choice, result, a.headCounted) },
		})
	}
}

// acceptHead reports whether an answer with this head is passed on to the caller. If it returns
// false, the attempt on the next model is reserved. The answer of
// a request that may run once is always passed on; its confidence decides on the model of later ones.
func (d *dispatch) acceptHead(r *Request, a *attempt, models *modelSequence, head attemptResult) bool {
	if r.answer.started || head.confidence < 0 || models.atLast() {
		return true
	}
	mayDrop := r.mayDropAnswer()
	if mayDrop && !a.mayEndRun(failover.Confidence) {
		return true
	}
	escalation, ok := d.gateway.fleet.escalation(d.buildCriteria(r, models.next(), true))
	if !ok {
		return true // no upstream is available for the better model
	}
	escalation.Threshold = float64(d.gateway.settings.AcceptConfidence)
	escalation.ExpectedTime += boottime.Since(r.Arrived)
	escalation.Target = r.Route.Target
	escalation.Saturation = d.gateway.holds.saturation(r.Service)
	a.minConfidence, a.queuePressure = int(escalation.RequiredConfidence()), escalation.Pressure
	if !mayDrop {
		d.gateway.singleRuns(r).Observe(head.confidence >= a.minConfidence)
		return true
	}
	if head.confidence >= a.minConfidence {
		return true
	}
	next := a.reserveSuccessor(failover.Confidence, models.next(), true)
	return next == nil || !next.commit()
}

// shouldRetry reports whether another attempt is permitted: the request didn't run or may be
// repeated, and the permitted attempts, the time until the deadline and the retry budget aren't
// used up. It charges the retry budget unless the attempt was charged already or sent nothing.
func (d *dispatch) shouldRetry(ctx context.Context, r *Request, result attemptResult) bool {
	if ctx.Err() != nil || !r.attemptsLeft() || !r.mayRunAgain(r.runState.State()) {
		return false
	}
	if r.successor != nil {
		return true // reserved and charged before the run was ended
	}
	if result.outcome == outcomeAbandoned || d.gateway.guard.VerdictDue(r.Digest, r.partDigests...) {
		return false
	}
	if r.answer.started && !r.Route.Resumable {
		return false
	}
	if d.gateway.plannedStop.TimeLeft(r.Deadline, boottime.Now()) < failover.MinAttemptTime {
		return false
	}
	if result.outcome == outcomeUnsent || result.outcome == outcomeWithheld {
		return true // no upstream received the request, so this isn't a repeat
	}
	return d.gateway.retryBudgets.get(r.Service).tryTake()
}

// maxNotReached bounds the attempts of a request that aren't counted because they didn't reach
// their upstream. If they were counted, then after the termination of a quarter of all upstreams at
// once, one request in 64 would use up its three attempts on terminated upstreams although the
// others have capacity.
const maxNotReached = 4

// attemptsLeft reports whether the request may be sent to another upstream. Operators bound the
// number of upstreams that may run a request of the route (MaxAttempts).
func (r *Request) attemptsLeft() bool { return r.attemptsLeftAfter(0) }

// attemptsLeftAfter reports whether attemptsLeft is true after the given number of further attempts.
func (r *Request) attemptsLeftAfter(attempts int) bool {
	return r.attempts+attempts-min(r.notReached, maxNotReached) < r.Route.MaxAttempts
}
