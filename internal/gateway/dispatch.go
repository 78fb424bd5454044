package gateway

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// dispatch sends the request to upstreams until one answers or no further attempt is permitted.
type dispatch struct {
	gateway *Gateway
}

const (
	// lowestPriority is the last priority that upstreams distinguish.
	lowestPriority = 9
	// levelsPerRank is the number of priorities into which each of the operators' ranks is split.
	levelsPerRank = 3
)

// priority returns the priority that is sent to upstreams, 0 to 9. Within each of the operators'
// ranks, requests for the smaller models go first and long prompts for the largest model last: the
// prefill of thousands of tokens takes hundreds of milliseconds, in which no later prompt begins.
// Whole routes are put last rather than single requests, so that it isn't always a route's largest
// requests that are late.
func (r *Request) priority(largest bool) int {
	rank := r.rank()
	if (r.Table.LowestPriority()+1)*levelsPerRank > lowestPriority+1 {
		// There aren't enough priorities to split the ranks: the operators' order takes
		// precedence.
		return min(lowestPriority, rank)
	}
	level := levelsPerRank * rank
	switch {
	case largest && r.relativePromptSize > 1:
		level += 2
	case largest:
		level++
	}
	return level
}

// rank returns the operators' rank of the request, 0 first.
func (r *Request) rank() int {
	rank := r.Route.Priority
	if r.Account != nil && r.Account.Priority != nil {
		rank = *r.Account.Priority
	}
	return max(0, rank) // a document may use negative ranks; work is counted by priority
}

func (d *dispatch) serve(ctx context.Context, r *Request, _ next) error {
	g := d.gateway
	g.budgets.get(r.Service).countRequest()
	r.relativePromptSize = g.sizes.get(r.Service).observe(r.Route.Name, r.Prompt.TokensIn)
	models := g.planModels(r)
	var result attemptResult
	for {
		previous := result
		var err error
		result, err = d.tryOnce(ctx, r, models)
		switch {
		case err != nil && r.attempts > 0 && errors.Is(err, errNoneAvailable):
			return d.finalAnswer(ctx, r, previous) // returns the earlier attempt's answer, if there is one
		case err != nil:
			return err
		}
		switch {
		case result.outcome == outcomeDone:
			return d.deliver(r, result)
		case errors.Is(result.err, errLowConfidence):
			models.advance()
		}
		if retry := d.shouldRetry(ctx, r, result); !retry {
			return d.finalAnswer(ctx, r, result)
		}
	}
}

// tryOnce makes one attempt at the most suitable upstream.
func (d *dispatch) tryOnce(ctx context.Context, r *Request, models *modelSteps) (attemptResult, error) {
	if err := d.admit(ctx, r); err != nil {
		return attemptResult{}, err
	}
	defer d.gateway.guard.Leave(r.Digest)
	a, err := d.startAttempt(r, models)
	if err != nil {
		return attemptResult{}, err
	}
	target := a.choice.upstream.guardUpstream()
	d.gateway.guard.Begin(target, r.Digest)
	var result attemptResult
	if r.Route.Kind == routing.Stream {
		result = a.runStream(ctx, func(head attemptResult) bool {
			d.gateway.rollouts.observeHead(r, &a.choice, head.firstByte)
			a.headSeen = true
			return d.acceptHead(r, a, models, head)
		})
	} else {
		result = a.runBuffered(ctx)
	}
	if result.outcome != outcomeRefused {
		r.state.Raise(a.state.State())
	}
	d.gateway.guard.End(target, r.Digest, result.guardOutcome())
	if result.notReached() {
		r.notReached++
	}
	d.observe(r, a, result)
	d.logAttempt(r, a, result)
	return result, nil
}

// admit reports an error if the request is quarantined or its deadline has passed.
func (d *dispatch) admit(ctx context.Context, r *Request) error {
	if boottime.Until(r.Deadline) <= 0 {
		// The host was suspended since the request arrived, and its timers haven't fired yet.
		return d.refusal(r, resultcode.New(resultcode.DeadlineExpired, "no answer in time"))
	}
	switch err := d.gateway.guard.Admit(ctx, r.Digest, r.Service); {
	case err == nil:
		return nil
	case errors.Is(err, guard.ErrQuarantined):
		return resultcode.Wrap(resultcode.RequestQuarantined, err, "upstreams ended that ran this request")
	default:
		return d.finalAnswer(ctx, r, attemptResult{outcome: outcomeAbandoned, err: err})
	}
}

// startAttempt chooses the upstream of the next attempt and its timeout.
func (d *dispatch) startAttempt(r *Request, models *modelSteps) (*attempt, error) {
	g := d.gateway
	r.model = models.current()
	r.regions = g.allowedRegions(r)
	w := d.criteria(r, r.model, models.best())
	picked, ok := g.fleet.choose(w)
	if !ok {
		counts := g.fleet.countUpstreams(r.Service, r.regions)
		g.log.Warn().Str("event", "no-upstream").Str("request", r.ID).Str("service", r.Service).Int("attempt", r.attempts+1).
			Int("in_service", counts.inService).Int("cold", counts.cold).Int("evacuated", counts.evacuated).Int("limited", counts.limited).Bool("bound", r.regions.restricted()).Msg("")
		return nil, d.refusal(r, d.noUpstream(r, counts))
	}
	r.attempts++
	r.tried = append(r.tried, picked.upstream.ID)
	canRetry := r.Route.Repeatable() && r.attemptsLeft() && picked.among > 1
	return &attempt{
		gateway:     g,
		request:     r,
		choice:      picked,
		startedAt:   time.Now(),
		largest:     models.best(),
		headTimeout: max(g.responseTimes.get(r.responseTimeKey()).headTimeout(r.Route.Target), expectedFactor*picked.placed.Expected),
		mayGiveUp:   func() bool { return canRetry && g.budgets.get(r.Service).tryTake() },
	}, nil
}

// errNoneAvailable means that the request may not be sent to any upstream now.
var errNoneAvailable = errors.New("gateway: no upstream is available")

// noUpstream returns the refusal of a request for which no upstream is available.
func (d *dispatch) noUpstream(r *Request, counts upstreamCounts) *resultcode.Error {
	if counts.inService == 0 && r.regions.restricted() {
		return resultcode.Wrap(resultcode.NoUpstream, errNoneAvailable, "no upstream is in service in the regions that the route and the account allow")
	}
	if counts.limited == 0 || counts.limited < counts.inService-counts.cold-counts.evacuated {
		return resultcode.Wrap(resultcode.NoUpstream, errNoneAvailable, "no upstream is in service")
	}
	e := resultcode.Wrap(resultcode.UpstreamsLimited, errNoneAvailable, "nothing is left of the upstreams' limits")
	e.RetryAfter = d.gateway.fleet.limitRetryAfter(r.Service)
	return e
}

// criteria returns the criteria by which an upstream is chosen for the request.
func (d *dispatch) criteria(r *Request, model string, largest bool) criteria {
	g := d.gateway
	w := criteria{service: r.Service, zone: g.settings.Zone, exclude: r.tried, rank: r.rank(), regions: r.regions, admits: g.rollouts.admits(r)}
	if r.Prompt.TokensIn > 0 {
		w.prompt = r.Prompt.placementPrompt(r.Route.PrefixAffinity)
		w.model = cmp.Or(model, r.Prompt.Model)
		w.keys = placement.PrefixKeys(w.model, w.prompt)
		w.price = r.Table.Price(r.Service, w.model)
		w.priority = r.priority(largest)
		w.target = r.Route.Target
		w.bytes = len(r.Body)
	}
	return w
}

// responseTimeKey returns the key under which the request's response times are averaged.
func (r *Request) responseTimeKey() string { return r.Service + "/" + r.model + "/" + r.Route.Name }

// observe records what the attempt shows of its upstream, its model and its version.
func (d *dispatch) observe(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	g.fleet.release(a.choice, result)
	d.observeVersion(r, a, result)
	if result.outcome == outcomeSilent {
		g.responseTimes.get(r.responseTimeKey()).observeTimeout(time.Since(a.startedAt))
	}
	if result.outcome != outcomeDone {
		return
	}
	g.responseTimes.get(r.responseTimeKey()).observe(result.firstByte)
}

// observeVersion counts the attempt's result for or against the upstream's version. An
// upstream's end that a request caused isn't counted: three of them had stopped roll-outs of
// sound versions.
func (d *dispatch) observeVersion(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	if result.outcome != outcomeBroken && result.outcome != outcomeUnknown {
		g.rollouts.observe(r, &a.choice, result, a.headSeen)
		return
	}
	if g.rollouts.evaluating(r.Service) {
		g.guard.AttributeInterruption(a.choice.upstream.guardUpstream(), guard.Attribution{
			Version: func() { g.rollouts.observe(r, &a.choice, result, a.headSeen) },
		})
	}
}

// acceptHead decides by the head of an answer whether the caller gets it.
func (d *dispatch) acceptHead(r *Request, a *attempt, models *modelSteps, head attemptResult) bool {
	if r.answer.started || head.confidence < 0 || models.last() || !r.attemptsLeft() {
		return true
	}
	upgrade, ok := d.gateway.fleet.upgrade(d.criteria(r, models.next(), true))
	if !ok {
		return true // no upstream could do better now
	}
	upgrade.Threshold = float64(d.gateway.settings.AcceptConfidence)
	upgrade.Expected += boottime.Since(r.Arrived)
	upgrade.Target = r.Route.Target
	a.threshold, a.pressure = int(upgrade.RequiredConfidence()), upgrade.Pressure
	if head.confidence >= a.threshold {
		return true
	}
	return !d.gateway.budgets.get(r.Service).tryTake()
}

// shouldRetry reports whether another attempt is permitted: the request didn't run or may be
// repeated, and the attempts, the time and the retry budget aren't used up.
func (d *dispatch) shouldRetry(ctx context.Context, r *Request, result attemptResult) bool {
	if ctx.Err() != nil || !r.attemptsLeft() {
		return false
	}
	if errors.Is(result.err, errLowConfidence) || errors.Is(result.err, errResponseTimeout) {
		return true // the budget was charged when the attempt was given up
	}
	if result.outcome == outcomeAbandoned || d.gateway.guard.VerdictDue(r.Digest) {
		return false
	}
	if r.state.State() != runstate.NotRun && !r.Route.Repeatable() {
		return false
	}
	if r.answer.started && !r.Route.Resumable {
		return false
	}
	if boottime.Until(r.Deadline) < minAttemptTime {
		return false
	}
	if result.outcome == outcomeUnsent {
		return true // no upstream received the request, so this isn't a repeat
	}
	return d.gateway.budgets.get(r.Service).tryTake()
}

// maxNotReached bounds the attempts that aren't counted because their upstream was no longer
// running. When a quarter of all upstreams end at once, with three attempts one request in 64
// finds no upstream although the others have capacity.
const maxNotReached = 4

// attemptsLeft reports whether the request may be sent to another upstream. Operators bound the
// number of upstreams that may run it.
func (r *Request) attemptsLeft() bool {
	return r.attempts-min(r.notReached, maxNotReached) < r.Route.MaxAttempts
}

// minAttemptTime is the least remaining time that is worth another attempt: a round trip and an
// upstream's shortest processing time.
const minAttemptTime = 30 * time.Millisecond
